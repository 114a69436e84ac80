/*
 * The stand-in plain backend server, which echoes each request and counts the calls that it began to run.
 */
package org.bramleyspur.testbed.plain

import io.netty.channel.nio.NioEventLoopGroup
import io.netty.handler.stream.ChunkedWriteHandler
import org.bramleyspur.testbed.engine.RunCounter
import org.bramleyspur.testbed.http.boundPort
import org.bramleyspur.testbed.http.listenHttp
import java.net.InetSocketAddress
import java.util.UUID
import java.util.concurrent.TimeUnit

/**
 * Settings of a stand-in plain server.
 *
 * @property delayMs milliseconds from the end of the request body to the response
 * @property slots maximum number of concurrent calls; further ones are refused with 429 and not run
 * @property failureStatus status of every response if above 0
 */
data class PlainSettings(
    val delayMs: Long = 0,
    val slots: Int = 16,
    val failureStatus: Int = 0,
    val bootId: String = UUID.randomUUID().toString(),
)

/** Counts and slots of a plain server. Must be accessed on its event loop only. */
internal class PlainState(val settings: PlainSettings) {
    val byRequest = RunCounter()
    val byKey = RunCounter()
    var running = 0
}

/** A stand-in plain server that listens on [address] and runs on its own event loop. */
class PlainServer(address: InetSocketAddress, settings: PlainSettings) : AutoCloseable {
    private val eventLoops = NioEventLoopGroup(1)
    private val state = PlainState(settings)
    private val channel = listenHttp(eventLoops, address) { it.addLast(ChunkedWriteHandler(), PlainHandler(state)) }

    /** Port that the server listens on. */
    val port: Int get() = channel.boundPort

    /** Waits until the listener is closed. */
    fun await() {
        channel.closeFuture().sync()
    }

    override fun close() {
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }
}
