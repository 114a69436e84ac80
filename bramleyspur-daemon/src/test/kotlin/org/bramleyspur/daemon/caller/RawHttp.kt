/*
 * Reads and writes HTTP/1.1 on plain sockets, so that tests can send requests that no client library sends.
 */
package org.bramleyspur.daemon.caller

import java.io.BufferedInputStream
import java.io.IOException
import java.io.InputStream
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.Socket

/** A received response; [complete] is false if the connection closed before its end. */
internal class RawResponse(val status: Int, val head: String, val body: String, val complete: Boolean) {
    /** Value of the header [name], empty when there is none. */
    fun header(name: String) = headerOf(head, name)
}

/** A caller connection to [port] of the loopback address. */
internal class RawClient(port: Int, receiveBufferBytes: Int = 0) : AutoCloseable {
    private val socket = Socket()
    private val input: BufferedInputStream

    init {
        if (receiveBufferBytes > 0) socket.receiveBufferSize = receiveBufferBytes
        socket.connect(InetSocketAddress(InetAddress.getLoopbackAddress(), port))
        socket.soTimeout = READ_TIMEOUT_MS
        socket.tcpNoDelay = true
        input = BufferedInputStream(socket.getInputStream())
    }

    fun send(text: String) = send(text.toByteArray(Charsets.ISO_8859_1))

    fun send(bytes: ByteArray) {
        socket.getOutputStream().write(bytes)
        socket.getOutputStream().flush()
    }

    fun halfClose() = socket.shutdownOutput()

    /** Closes the connection with a TCP reset. */
    fun reset() {
        socket.setSoLinger(true, 0)
        socket.close()
    }

    /** Reads one response; null if the connection closed before it. */
    fun read(method: String = "GET", onPart: (Int) -> Unit = {}): RawResponse? {
        val head = readHead(input) ?: return null
        val status = head.split(' ')[1].toInt()
        val text = StringBuilder()
        val bodiless = method == "HEAD" || status == 204 || status == 304 || status < 200
        val complete = bodiless || readBody(head) { data, length ->
            onPart(length)
            if (text.length < MAX_BODY_CHARS) text.append(String(data, 0, length))
        }
        return RawResponse(status, head, text.toString(), complete)
    }

    /** Reads bytes until they contain [text]. */
    fun readUntil(text: String) {
        val received = StringBuilder()
        while (!received.contains(text)) {
            val byte = input.read()
            if (byte < 0) throw IOException("connection closed before '$text'; received '$received'")
            received.append(byte.toChar())
        }
    }

    /** Whether the server closes the connection without sending more data; blocks until either happens. */
    fun isAtEnd(): Boolean = try {
        input.read() < 0
    } catch (_: java.net.SocketException) {
        true
    }

    override fun close() = socket.close()

    private fun readBody(head: String, onPart: (ByteArray, Int) -> Unit): Boolean = try {
        val untilClose = headerOf(head, "content-length").isEmpty() && headerOf(head, "transfer-encoding").isEmpty()
        if (untilClose) readBytes(input, Long.MAX_VALUE, onPart) else readBodyOf(head, input, onPart)
        true
    } catch (_: IOException) {
        false
    }

    private companion object {
        const val READ_TIMEOUT_MS = 10_000
        const val MAX_BODY_CHARS = 4_000_000
    }
}

/** Reads a message head including its final empty line; null at the end of the stream. */
internal fun readHead(input: InputStream): String? {
    val text = StringBuilder()
    while (!text.endsWith("\r\n\r\n")) {
        val byte = input.read()
        if (byte < 0) return null
        text.append(byte.toChar())
    }
    return text.toString()
}

/** Value of the header [name] in [head], empty when there is none. */
internal fun headerOf(head: String, name: String): String = head
    .lineSequence()
    .drop(1)
    .firstOrNull { it.substringBefore(':').equals(name, ignoreCase = true) }
    ?.substringAfter(':')
    ?.trim()
    .orEmpty()

/** Reads the body as framed by the headers in [head]; returns its size in bytes. */
internal fun readBodyOf(head: String, input: InputStream, onPart: (ByteArray, Int) -> Unit): Long {
    if (headerOf(head, "transfer-encoding") != "chunked") {
        val length = headerOf(head, "content-length").ifEmpty { "0" }.toLong()
        if (readBytes(input, length, onPart) < length) throw IOException("connection closed before the end of the body")
        return length
    }
    var total = 0L
    while (true) {
        val size = readLine(input).substringBefore(';').trim().toLong(16)
        if (size == 0L) break
        if (readBytes(input, size, onPart) < size) throw IOException("connection closed within a chunk")
        total += size
        readLine(input)
    }
    while (readLine(input).isNotEmpty()) Unit
    return total
}

private fun readLine(input: InputStream): String {
    val line = StringBuilder()
    while (!line.endsWith("\r\n")) {
        val byte = input.read()
        if (byte < 0) throw IOException("connection closed within a line")
        line.append(byte.toChar())
    }
    return line.dropLast(2).toString()
}

private fun readBytes(input: InputStream, length: Long, onPart: (ByteArray, Int) -> Unit): Long {
    val part = ByteArray(65_536)
    var remaining = length
    while (remaining > 0) {
        val count = input.read(part, 0, minOf(remaining, part.size.toLong()).toInt())
        if (count < 0) break
        onPart(part, count)
        remaining -= count
    }
    return length - remaining
}
