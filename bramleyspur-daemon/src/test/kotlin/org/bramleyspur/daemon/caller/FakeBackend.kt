/*
 * A backend server of the tests: a blocking HTTP/1.1 server on a free loopback port whose answers the test writes byte
 * by byte.
 */
package org.bramleyspur.daemon.caller

import java.io.BufferedInputStream
import java.io.IOException
import java.io.OutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

/** Serves each request of each connection with [answer], until that closes the connection. */
internal class FakeBackend(private val answer: FakeCall.() -> Unit) : AutoCloseable {
    private val listener = ServerSocket(0, 64, InetAddress.getLoopbackAddress())
    private val sockets = CopyOnWriteArrayList<Socket>()

    /** Heads of the requests seen, in order. */
    val heads = CopyOnWriteArrayList<String>()

    /** Connections accepted. */
    val connections: Int get() = sockets.size

    /** Bytes of request bodies read. */
    val bodyBytes = AtomicLong()

    val port: Int get() = listener.localPort

    init {
        thread(isDaemon = true, name = "fake-backend") { accept() }
    }

    /** Requests seen whose request line starts with [start]. */
    fun seen(start: String) = heads.count { it.startsWith(start) }

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
                heads += head
                FakeCall(this, head, input, socket).answer()
            }
        } catch (_: IOException) {
            socket.close()
        }
    }
}

/** One request at a [FakeBackend]. */
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

    /** Reads the whole body, passing on each part; returns its size. */
    fun readBody(onPart: (ByteArray, Int) -> Unit = { _, _ -> }): Long {
        val size = readBodyOf(head, input) { data, length ->
            backend.bodyBytes.addAndGet(length.toLong())
            onPart(data, length)
        }
        return size
    }

    /** Requests seen by the backend server so far, this one included. */
    fun seen() = backend.heads.size

    /** Reads the whole body as text. */
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

    /** Answers with [status] and [body] of known length. */
    fun reply(status: Int, body: String, headers: String = "") {
        val sent = if (method == "HEAD") "" else body
        write("HTTP/1.1 $status Status\r\n${headers}Content-Length: ${body.length}\r\n\r\n$sent")
    }

    /** Waits until the other side closes the connection. */
    fun awaitDisconnect() {
        while (input.read() >= 0) Unit
    }

    fun close() = socket.close()
}
