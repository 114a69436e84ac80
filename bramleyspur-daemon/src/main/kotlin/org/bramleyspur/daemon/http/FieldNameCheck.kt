package org.bramleyspur.daemon.http

import io.netty.util.ByteProcessor

/**
 * Reads the head of a response byte by byte and finds field names that are no tokens as of RFC 9110. Netty's decoder
 * misses some: it cuts a name at a blank, and joins a line that begins with a blank to the line before it, which is
 * obsolete line folding. RFC 9112 lets a gateway reject the latter.
 */
internal class FieldNameCheck : ByteProcessor {
    private enum class Position { BEFORE_HEAD, STATUS_LINE, LINE_START, NAME, VALUE, EMPTY_LINE, END, MALFORMED }

    private var position = Position.BEFORE_HEAD

    /** Whether the head goes on. */
    val inHead: Boolean get() = position != Position.END && position != Position.MALFORMED

    /** Whether a malformed name was found. */
    val malformed: Boolean get() = position == Position.MALFORMED

    /** Expects the next head. */
    fun reset() {
        position = Position.BEFORE_HEAD
    }

    /** Reads the next byte; returns whether the head goes on. */
    override fun process(value: Byte): Boolean {
        position = after(value.toInt().toChar())
        return inHead
    }

    private fun after(char: Char): Position = when (position) {
        // The decoder skips blanks and control characters here.
        Position.BEFORE_HEAD -> if (char <= ' ') Position.BEFORE_HEAD else Position.STATUS_LINE
        Position.STATUS_LINE, Position.VALUE -> if (char == '\n') Position.LINE_START else position
        Position.LINE_START -> atLineStart(char)
        Position.NAME -> if (char == ':') Position.VALUE else inName(char)
        Position.EMPTY_LINE -> if (char == '\n') Position.END else Position.MALFORMED
        Position.END, Position.MALFORMED -> position
    }

    private fun atLineStart(char: Char): Position = when (char) {
        '\r' -> Position.EMPTY_LINE
        '\n' -> Position.END
        else -> inName(char)
    }

    private fun inName(char: Char): Position = if (char.isTokenChar()) Position.NAME else Position.MALFORMED

    private fun Char.isTokenChar() = this in 'a'..'z' || this in 'A'..'Z' || this in '0'..'9' || this in TOKEN_MARKS

    private companion object {
        const val TOKEN_MARKS = "!#$%&'*+-.^_`|~"
    }
}
