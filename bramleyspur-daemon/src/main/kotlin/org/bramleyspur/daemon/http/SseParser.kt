package org.bramleyspur.daemon.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

private const val NEWLINE = '\n'.code.toByte()
private const val DATA_PREFIX = "data:"

/** Maximum length of a line in bytes; a token event has a few hundred. */
const val MAX_SSE_LINE_BYTES = 1024 * 1024

/** Parses a stream of server-sent events and passes the `data` of each event on. Supports only one-line data. */
class SseParser(private val onData: (String) -> Unit) {
    private val lineBuffer: ByteBuf = Unpooled.buffer()

    /** Whether a line has exceeded [MAX_SSE_LINE_BYTES]; all further input is ignored then. */
    val overflowed: Boolean get() = lineBuffer.readableBytes() > MAX_SSE_LINE_BYTES

    /** Parses the next [bytes] of the stream without retaining the buffer. */
    fun feed(bytes: ByteBuf) {
        if (overflowed) return
        while (bytes.isReadable) {
            val length = bytes.bytesBefore(NEWLINE)
            if (length < 0) {
                lineBuffer.writeBytes(bytes)
                return
            }
            lineBuffer.writeBytes(bytes, length)
            bytes.skipBytes(1)
            val line = lineBuffer.toString(Charsets.UTF_8)
            lineBuffer.clear()
            parseLine(line)
        }
    }

    private fun parseLine(line: String) {
        if (line.startsWith(DATA_PREFIX)) onData(line.substring(DATA_PREFIX.length).trim())
    }
}
