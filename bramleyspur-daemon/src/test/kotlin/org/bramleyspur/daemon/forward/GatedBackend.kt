package org.bramleyspur.daemon.forward

import org.bramleyspur.daemon.caller.readBodyOf
import org.bramleyspur.daemon.caller.readHead
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/** A backend server on loopback whose responses wait for [startGate], and their [end] for [endGate]. */
internal class GatedBackend(private val start: String, private val end: String) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    val received = CountDownLatch(1)
    val startGate = CountDownLatch(1)
    val endGate = CountDownLatch(1)
    val address: String = "127.0.0.1:${server.localPort}"

    init {
        thread(isDaemon = true) {
            while (!server.isClosed) {
                val socket = runCatching { server.accept() }.getOrNull() ?: return@thread
                thread(isDaemon = true) { runCatching { serve(socket) } }
            }
        }
    }

    private fun serve(socket: Socket) = socket.use {
        val input = it.getInputStream().buffered()
        while (true) {
            val head = readHead(input) ?: return@use
            readBodyOf(head, input) { _, _ -> }
            received.countDown()
            for ((gate, text) in listOf(startGate to start, endGate to end)) {
                gate.await(GATE_LIMIT_S, TimeUnit.SECONDS)
                it.getOutputStream().write(text.encodeToByteArray())
                it.getOutputStream().flush()
            }
        }
    }

    fun open() {
        startGate.countDown()
        endGate.countDown()
    }

    override fun close() {
        open()
        server.close()
    }

    private companion object {
        const val BACKLOG = 50
        const val GATE_LIMIT_S = 10L
    }
}
