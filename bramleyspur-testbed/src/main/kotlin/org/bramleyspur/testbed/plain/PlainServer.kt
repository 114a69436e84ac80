/*
 * The stand-in plain backend server: it echoes what it received and counts what it began to run.
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
 * Behaviour of a stand-in plain server.
 *
 * @property delayMs milliseconds from the end of the request body to the answer
 * @property slots calls that run at once; further ones are refused with 429 and not run
 * @property failureStatus status of every answer when above 0
 */
data class PlainSettings(
    val delayMs: Long = 0,
    val slots: Int = 16,
    val failureStatus: Int = 0,
    val bootId: String = UUID.randomUUID().toString(),
)

/** Counts and slots of a plain server, on its event loop. */
internal class PlainState(val settings: PlainSettings) {
    val byRequest = RunCounter()
    val byKey = RunCounter()
    var running = 0
}

/** A listening stand-in plain server on one event loop of its own. */
class PlainServer(address: InetSocketAddress, settings: PlainSettings) : AutoCloseable {
    private val group = NioEventLoopGroup(1)
    private val state = PlainState(settings)
    private val channel = listenHttp(group, address) { it.addLast(ChunkedWriteHandler(), PlainHandler(state)) }

    /** The port that the server listens on. */
    val port: Int get() = channel.boundPort

    /** Waits until the listener is closed. */
    fun await() {
        channel.closeFuture().sync()
    }

    override fun close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }
}
