package org.bramleyspur.daemon.http

import java.io.IOException
import java.net.InetAddress
import java.net.Socket
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

/** A client that sends [start] and then [next] without end to [port] of the loopback address, and reads nothing. */
internal class Sender(port: Int, start: String, next: String) : AutoCloseable {
    private val socket = Socket(InetAddress.getLoopbackAddress(), port)

    /** Number of bytes that were sent. */
    val bytes = AtomicLong()

    /** Whether the server has closed the connection. */
    @Volatile
    var closedByServer = false
        private set

    init {
        val part = next.repeat(1 + PART_BYTES / next.length).encodeToByteArray()
        thread(isDaemon = true) {
            try {
                socket.getOutputStream().write(start.encodeToByteArray())
                while (true) {
                    socket.getOutputStream().write(part)
                    bytes.addAndGet(part.size.toLong())
                }
            } catch (_: IOException) {
                closedByServer = !socket.isClosed
            }
        }
    }

    override fun close() = socket.close()

    private companion object {
        const val PART_BYTES = 4_096
    }
}
