/*
 * Reads and writes HTTP/1.1 on plain sockets, so that tests can send what no client library sends.
 */
package org.bramleyspur.daemon.caller

import java.io.BufferedInputStream
import java.io.IOException
import java.io.InputStream
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.Socket

/** An answer as it was read; [whole] is false when the connection ended inside it. */
internal class RawAnswer(val status: Int, val head: String, val body: String, val whole: Boolean) {
    /** Value of the header [name], empty when there is none. */
    fun header(name: String) = headerOf(head, name)
}

/** A caller's connection to [port]. */
internal class RawClient(port: Int, receiveBuffer: Int = 0) : AutoCloseable {
    private val socket = Socket()
    private val input: BufferedInputStream

    init {
        if (receiveBuffer > 0) socket.receiveBufferSize = receiveBuffer
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

    /** Ends the connection with a reset. */
    fun reset() {
        socket.setSoLinger(true, 0)
        socket.close()
    }

    /** Reads one answer, null when the connection ended before one. */
    fun read(method: String = "GET", onPart: (Int) -> Unit = {}): RawAnswer? {
        val head = readHead(input) ?: return null
        val status = head.split(' ')[1].toInt()
        val text = StringBuilder()
        val bodiless = method == "HEAD" || status == 204 || status == 304 || status < 200
        val whole = bodiless || readAll(head) { data, length ->
            onPart(length)
            if (text.length < KEPT_CHARS) text.append(String(data, 0, length))
        }
        return RawAnswer(status, head, text.toString(), whole)
    }

    /** Reads bytes until [text] was seen. */
    fun readUntil(text: String) {
        val seen = StringBuilder()
        while (!seen.contains(text)) {
            val byte = input.read()
            if (byte < 0) throw IOException("the connection ended before '$text'; saw '$seen'")
            seen.append(byte.toChar())
        }
    }

    /** Whether the server has closed the connection and sent nothing more. */
    fun isAtEnd(): Boolean = try {
        input.read() < 0
    } catch (_: java.net.SocketException) {
        true
    }

    override fun close() = socket.close()

    private fun readAll(head: String, onPart: (ByteArray, Int) -> Unit): Boolean = try {
        val untilClose = headerOf(head, "content-length").isEmpty() && headerOf(head, "transfer-encoding").isEmpty()
        if (untilClose) readParts(input, Long.MAX_VALUE, onPart) else readBodyOf(head, input, onPart)
        true
    } catch (_: IOException) {
        false
    }

    private companion object {
        const val READ_TIMEOUT_MS = 10_000
        const val KEPT_CHARS = 4_000_000
    }
}

/** Reads a head with its last empty line; null at the end of the stream. */
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

/** Reads the body that [head] announces; returns its size. */
internal fun readBodyOf(head: String, input: InputStream, onPart: (ByteArray, Int) -> Unit): Long {
    if (headerOf(head, "transfer-encoding") != "chunked") {
        val length = headerOf(head, "content-length").ifEmpty { "0" }.toLong()
        if (readParts(input, length, onPart) < length) throw IOException("the body is cut")
        return length
    }
    var total = 0L
    while (true) {
        val size = readLine(input).substringBefore(';').trim().toLong(16)
        if (size == 0L) break
        if (readParts(input, size, onPart) < size) throw IOException("the chunk is cut")
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
        if (byte < 0) throw IOException("the line is cut")
        line.append(byte.toChar())
    }
    return line.dropLast(2).toString()
}

private fun readParts(input: InputStream, length: Long, onPart: (ByteArray, Int) -> Unit): Long {
    val part = ByteArray(65_536)
    var left = length
    while (left > 0) {
        val count = input.read(part, 0, minOf(left, part.size.toLong()).toInt())
        if (count < 0) break
        onPart(part, count)
        left -= count
    }
    return length - left
}
