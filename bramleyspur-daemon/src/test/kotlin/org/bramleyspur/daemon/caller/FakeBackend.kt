/*
 * A backend server for tests: a blocking HTTP/1.1 server on a free loopback port. The test writes the raw bytes of each
 * response.
 */
package org.bramleyspur.daemon.caller

import java.io.BufferedInputStream
import java.io.IOException
import java.io.OutputStream
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

/**
 * Handles each request of each connection with [respond] until it closes the connection. The network buffers about
 * [receiveBufferBytes] of a request that is not read, or as much as the system permits if it is 0.
 */
internal class FakeBackend(receiveBufferBytes: Int = 0, private val respond: FakeCall.() -> Unit) : AutoCloseable {
    private val listener = ServerSocket()
    private val sockets = CopyOnWriteArrayList<Socket>()

    /** Heads of the received requests, in order. */
    val requestHeads = CopyOnWriteArrayList<String>()

    /** Number of accepted connections. */
    val connections: Int get() = sockets.size

    /** Number of request body bytes read. */
    val bodyBytesRead = AtomicLong()

    val port: Int get() = listener.localPort

    init {
        if (receiveBufferBytes > 0) listener.receiveBufferSize = receiveBufferBytes
        listener.bind(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64)
        thread(isDaemon = true, name = "fake-backend") { accept() }
    }

    /** Number of received requests whose request line starts with [prefix]. */
    fun requestCount(prefix: String) = requestHeads.count { it.startsWith(prefix) }

    override fun close() {
        listener.close()
        sockets.forEach { it.close() }
    }

    private fun accept() {
        try {
            while (true) {
                val socket = listener.accept()
                sockets += socket
                thread(isDaemon = true, name = "fake-connection") { serve(socket) }
            }
        } catch (_: IOException) {
            return
        }
    }

    private fun serve(socket: Socket) {
        val input = BufferedInputStream(socket.getInputStream())
        try {
            while (!socket.isClosed) {
                val head = readHead(input) ?: return socket.close()
                requestHeads += head
                FakeCall(this, head, input, socket).respond()
            }
        } catch (_: IOException) {
            socket.close()
        }
    }
}

/** One request received by a [FakeBackend]. */
internal class FakeCall(
    private val backend: FakeBackend,
    val head: String,
    private val input: BufferedInputStream,
    private val socket: Socket,
) {
    private val output: OutputStream = socket.getOutputStream()
    val method: String = head.substringBefore(' ')
    val path: String = head.substringAfter(' ').substringBefore(' ')

    /** Value of the header [name], empty when there is none. */
    fun header(name: String) = headerOf(head, name)

    /** Reads the complete body, passing each part to [onPart]; returns its size in bytes. */
    fun readBody(onPart: (ByteArray, Int) -> Unit = { _, _ -> }): Long {
        val size = readBodyOf(head, input) { data, length ->
            backend.bodyBytesRead.addAndGet(length.toLong())
            onPart(data, length)
        }
        return size
    }

    /** Number of requests received by the backend server so far, including this one. */
    fun requestCount() = backend.requestHeads.size

    /** Reads the complete body as text. */
    fun bodyText(): String {
        val text = StringBuilder()
        readBody { data, length -> text.append(String(data, 0, length)) }
        return text.toString()
    }

    fun write(text: String) = write(text.toByteArray())

    fun write(bytes: ByteArray) {
        output.write(bytes)
        output.flush()
    }

    /** Responds with [status] and [body], with a `Content-Length` header. */
    fun reply(status: Int, body: String, headers: String = "") {
        val sent = if (method == "HEAD") "" else body
        write("HTTP/1.1 $status Status\r\n${headers}Content-Length: ${body.length}\r\n\r\n$sent")
    }

    /** Blocks until the other side closes the connection. */
    fun awaitDisconnect() {
        while (input.read() >= 0) Unit
    }

    fun close() = socket.close()

    /** Ends what is sent in order, and leaves the rest of the request unread. */
    fun endOutput() = socket.shutdownOutput()

    /** Resets the connection. */
    fun reset() {
        socket.setSoLinger(true, 0)
        socket.close()
    }
}
