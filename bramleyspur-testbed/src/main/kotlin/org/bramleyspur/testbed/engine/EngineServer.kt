package org.bramleyspur.testbed.engine

import io.netty.channel.nio.NioEventLoopGroup
import org.bramleyspur.testbed.http.aggregator
import org.bramleyspur.testbed.http.boundPort
import org.bramleyspur.testbed.http.listenHttp
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

/** A stand-in engine that listens on [address] and runs on its own event loop. */
class EngineServer(address: InetSocketAddress, settings: EngineSettings) : AutoCloseable {
    private val eventLoops = NioEventLoopGroup(1)
    private val engine = Engine(settings, eventLoops.next())
    private val channel = listenHttp(eventLoops, address) { it.addLast(aggregator(), EngineHandler(engine)) }

    init {
        eventLoops.next().submit { engine.start() }.sync()
    }

    /** Port that the engine listens on. */
    val port: Int get() = channel.boundPort

    /** Waits until the listener is closed. */
    fun await() {
        channel.closeFuture().sync()
    }

    override fun close() {
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }
}
