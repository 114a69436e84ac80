package org.bramleyspur.daemon.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

private const val NEWLINE = '\n'.code.toByte()
private const val DATA_PREFIX = "data:"

/** Longest line in bytes; a token event has some hundred. */
const val MAX_SSE_LINE_BYTES = 1024 * 1024

/** Splits a stream of server-sent events into the `data` text of each event. Only one-line data fields are read. */
class SseParser(private val onData: (String) -> Unit) {
    private val partial: ByteBuf = Unpooled.buffer()

    /** Whether a line has exceeded [MAX_SSE_LINE_BYTES]; nothing more is read then. */
    val overflowed: Boolean get() = partial.readableBytes() > MAX_SSE_LINE_BYTES

    /** Takes the next bytes of the stream; does not keep [bytes]. */
    fun feed(bytes: ByteBuf) {
        if (overflowed) return
        while (bytes.isReadable) {
            val length = bytes.bytesBefore(NEWLINE)
            if (length < 0) {
                partial.writeBytes(bytes)
                return
            }
            partial.writeBytes(bytes, length)
            bytes.skipBytes(1)
            val line = partial.toString(Charsets.UTF_8)
            partial.clear()
            takeLine(line)
        }
    }

    private fun takeLine(line: String) {
        if (line.startsWith(DATA_PREFIX)) onData(line.substring(DATA_PREFIX.length).trim())
    }
}
