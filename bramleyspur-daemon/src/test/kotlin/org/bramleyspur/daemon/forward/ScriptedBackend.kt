package org.bramleyspur.daemon.forward

import java.io.BufferedInputStream
import java.io.IOException
import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketTimeoutException
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

/**
 * Response of a [ScriptedBackend] to one request: sends [bytes], then after a pause of the whole server
 * [afterPause], then [endlessly] until the peer closes the connection, or else closes it if [close] is set.
 */
internal class Script(
    val bytes: String,
    val close: Boolean = false,
    val endlessly: String = "",
    val pauseMs: Long = 0,
    val afterPause: String = "",
)

/**
 * A backend server on loopback that responds to its requests with [scripts] in order; the last one repeats. Each script
 * is made from the head of the request.
 */
internal class ScriptedBackend(scripts: List<(head: String) -> Script>) : AutoCloseable {
    constructor(vararg scripts: Script) : this(scripts.map { script -> { _: String -> script } })

    private val remaining = ArrayDeque(scripts)
    private val server = ServerSocket(0, 50, InetAddress.getLoopbackAddress())

    /** Heads of the received requests. */
    val requests = CopyOnWriteArrayList<String>()

    /** Number of connections that the peer closed while the server was silent. */
    val closedWhileSilent = AtomicInteger()

    @Volatile
    private var silentUntilNs = System.nanoTime()

    /** Number of responses without end whose connection the peer has not closed. */
    val openEndlessResponses = AtomicInteger()

    /** Number of bytes that were written of responses without end. */
    val endlessBytes = AtomicLong()
    val address: String = "127.0.0.1:${server.localPort}"

    private val acceptor = thread(isDaemon = true) {
        while (!server.isClosed) {
            val socket = runCatching { server.accept() }.getOrNull() ?: return@thread
            thread(isDaemon = true) { serve(socket) }
        }
    }

    private fun serve(socket: Socket) {
        try {
            socket.use { respond(it) }
        } catch (_: IOException) {
            // The peer has closed the connection.
        }
    }

    private fun respond(socket: Socket) {
        val input = BufferedInputStream(socket.getInputStream())
        while (true) {
            val head = readHead(input) ?: return
            requests += head
            awaitEndOfSilence(socket, input)
            val script = nextScript()(head)
            socket.getOutputStream().write(script.bytes.encodeToByteArray())
            if (script.pauseMs > 0) silentUntilNs = System.nanoTime() + script.pauseMs * NS_PER_MS
            awaitEndOfSilence(socket, input)
            socket.getOutputStream().write(script.afterPause.encodeToByteArray())
            if (script.endlessly.isNotEmpty()) return repeatUntilClosed(socket, script.endlessly)
            if (script.close) return
        }
    }

    /** Waits until the server is not silent; ends at once if the peer closes the connection. */
    private fun awaitEndOfSilence(socket: Socket, input: InputStream) {
        var leftMs = silentForMs()
        while (leftMs > 0) {
            socket.soTimeout = leftMs.toInt()
            try {
                if (input.read() < 0) throw IOException("closed by the peer")
            } catch (_: SocketTimeoutException) {
                // The peer waits.
            } catch (closed: IOException) {
                closedWhileSilent.incrementAndGet()
                throw closed
            }
            leftMs = silentForMs()
        }
        socket.soTimeout = 0
    }

    private fun silentForMs() = (silentUntilNs - System.nanoTime()) / NS_PER_MS

    private fun repeatUntilClosed(socket: Socket, text: String) {
        openEndlessResponses.incrementAndGet()
        val chunk = text.repeat(1 + CHUNK_BYTES / text.length).encodeToByteArray()
        try {
            while (true) {
                socket.getOutputStream().write(chunk)
                endlessBytes.addAndGet(chunk.size.toLong())
            }
        } catch (_: IOException) {
            openEndlessResponses.decrementAndGet()
        }
    }

    @Synchronized
    private fun nextScript(): (String) -> Script =
        if (remaining.size > 1) remaining.removeFirst() else remaining.first()

    private fun readHead(input: BufferedInputStream): String? {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) {
            val byte = input.read()
            if (byte < 0) return null
            head.append(byte.toChar())
        }
        val length = Regex("(?i)content-length: (\\d+)").find(head)?.groupValues?.get(1)?.toInt() ?: 0
        input.readNBytes(length)
        return head.toString()
    }

    /** Stops accepting connections; none is accepted after the return. */
    override fun close() {
        server.close()
        acceptor.join()
    }

    private companion object {
        const val CHUNK_BYTES = 4_096
        const val NS_PER_MS = 1_000_000L
    }
}
