/*
 * File format. A frame is one synced write: a header and a body, each with its own checksum. The header contains the
 * position of the frame in the file, so that payload bytes are not mistaken for a frame when the reader searches for
 * intact frames after a damaged one.
 *
 * Header: magic (4 bytes), position (8), body length (4), CRC32C of the body (4), CRC32C of the bytes before (4).
 */
package org.bramleyspur.log.storage

import org.bramleyspur.log.consensus.Entry
import org.bramleyspur.log.consensus.EntryKind
import java.nio.ByteBuffer
import java.util.zip.CRC32C

private const val FRAME_MAGIC = 0x424C4631
private const val HEADER_CHECKSUM_OFFSET = 20
private const val ENTRY_HEADER_BYTES = 21

/** Size of a frame's header in bytes. */
internal const val FRAME_HEADER_BYTES = 24

private fun crc(bytes: ByteArray, offset: Int, length: Int): Int =
    CRC32C().apply { update(bytes, offset, length) }.value.toInt()

/** Returns a frame with [body] for byte [position] of its file. */
internal fun encodeFrame(position: Long, body: ByteArray): ByteArray {
    val buffer = ByteBuffer.allocate(FRAME_HEADER_BYTES + body.size)
    buffer.putInt(FRAME_MAGIC).putLong(position).putInt(body.size).putInt(crc(body, 0, body.size))
    buffer.putInt(crc(buffer.array(), 0, HEADER_CHECKSUM_OFFSET)).put(body)
    return buffer.array()
}

/** The intact frames of a file; [end] is the position after the last of them. */
internal class Frames(val bodies: List<ByteArray>, val end: Int)

/** Reads frames up to the first one that is not intact. */
internal fun readFrames(file: ByteArray): Frames {
    val bodies = ArrayList<ByteArray>()
    var position = 0
    while (true) {
        val body = frameAt(file, position) ?: return Frames(bodies, position)
        bodies += body
        position += FRAME_HEADER_BYTES + body.size
    }
}

/** Whether an intact frame begins after [position]. An interrupted write at [position] cannot have left one. */
internal fun hasFrameAfter(file: ByteArray, position: Int): Boolean =
    (position + 1..file.size - FRAME_HEADER_BYTES).any { frameAt(file, it) != null }

private fun frameAt(file: ByteArray, position: Int): ByteArray? {
    if (file.size - position < FRAME_HEADER_BYTES) return null
    val header = ByteBuffer.wrap(file, position, FRAME_HEADER_BYTES)
    if (header.getInt() != FRAME_MAGIC || header.getLong() != position.toLong()) return null
    val length = header.getInt()
    val checksum = header.getInt()
    val bodyPosition = position + FRAME_HEADER_BYTES
    val intact = header.getInt() == crc(file, position, HEADER_CHECKSUM_OFFSET) &&
        length <= file.size - bodyPosition &&
        checksum == crc(file, bodyPosition, length)
    return if (intact) file.copyOfRange(bodyPosition, bodyPosition + length) else null
}

/** Returns the body of a frame with [entries]. */
internal fun encodeEntries(entries: List<Entry>): ByteArray {
    val buffer = ByteBuffer.allocate(entries.sumOf { ENTRY_HEADER_BYTES + it.payload.size })
    for (entry in entries) {
        buffer.putLong(entry.index).putLong(entry.term).put(entry.kind.code)
        buffer.putInt(entry.payload.size).put(entry.payload)
    }
    return buffer.array()
}

/** Returns the entries of a frame's [body]. */
internal fun decodeEntries(body: ByteArray): List<Entry> {
    val buffer = ByteBuffer.wrap(body)
    val entries = ArrayList<Entry>()
    while (buffer.hasRemaining()) {
        val index = buffer.getLong()
        val term = buffer.getLong()
        val kind = requireNotNull(EntryKind.of(buffer.get())) { "entry $index has an unknown kind" }
        entries += Entry(index, term, kind, ByteArray(buffer.getInt()).also { buffer.get(it) })
    }
    return entries
}
