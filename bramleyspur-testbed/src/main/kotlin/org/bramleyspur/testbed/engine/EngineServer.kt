package org.bramleyspur.testbed.engine

import io.netty.channel.nio.NioEventLoopGroup
import org.bramleyspur.testbed.http.aggregator
import org.bramleyspur.testbed.http.boundPort
import org.bramleyspur.testbed.http.listenHttp
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

/** A listening stand-in engine on one event loop of its own. */
class EngineServer(address: InetSocketAddress, settings: EngineSettings) : AutoCloseable {
    private val group = NioEventLoopGroup(1)
    private val engine = Engine(settings, group.next())
    private val channel = listenHttp(group, address) { it.addLast(aggregator(), EngineHandler(engine)) }

    init {
        group.next().submit { engine.start() }.sync()
    }

    /** The port that the engine listens on. */
    val port: Int get() = channel.boundPort

    /** Waits until the listener is closed. */
    fun await() {
        channel.closeFuture().sync()
    }

    override fun close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }
}
