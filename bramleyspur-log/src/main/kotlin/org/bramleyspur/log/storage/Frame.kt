/*
 * The format of the files. A frame is one synced write: a header with its own checksum, then the body with another. The
 * header repeats the frame's position in the file, so that bytes of a payload are not taken for a frame when the
 * reader looks for intact frames behind a broken one.
 *
 * Header: magic (4 bytes), position (8), body length (4), CRC32C of the body (4), CRC32C of the bytes before (4).
 */
package org.bramleyspur.log.storage

import org.bramleyspur.log.consensus.Entry
import org.bramleyspur.log.consensus.EntryKind
import java.nio.ByteBuffer
import java.util.zip.CRC32C

private const val MAGIC = 0x424C4631
private const val HEADER_CHECKSUM_AT = 20
private const val ENTRY_HEADER_BYTES = 21

/** Bytes of a frame's header. */
internal const val FRAME_HEADER_BYTES = 24

private fun crc(bytes: ByteArray, offset: Int, length: Int): Int =
    CRC32C().apply { update(bytes, offset, length) }.value.toInt()

/** Returns the frame that holds [body] at byte [position] of its file. */
internal fun encodeFrame(position: Long, body: ByteArray): ByteArray {
    val buffer = ByteBuffer.allocate(FRAME_HEADER_BYTES + body.size)
    buffer.putInt(MAGIC).putLong(position).putInt(body.size).putInt(crc(body, 0, body.size))
    buffer.putInt(crc(buffer.array(), 0, HEADER_CHECKSUM_AT)).put(body)
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

/** Whether an intact frame begins after [position], which a write cut short by a crash cannot leave behind. */
internal fun hasFrameAfter(file: ByteArray, position: Int): Boolean =
    (position + 1..file.size - FRAME_HEADER_BYTES).any { frameAt(file, it) != null }

private fun frameAt(file: ByteArray, position: Int): ByteArray? {
    if (file.size - position < FRAME_HEADER_BYTES) return null
    val header = ByteBuffer.wrap(file, position, FRAME_HEADER_BYTES)
    if (header.getInt() != MAGIC || header.getLong() != position.toLong()) return null
    val length = header.getInt()
    val checksum = header.getInt()
    val bodyAt = position + FRAME_HEADER_BYTES
    val intact = header.getInt() == crc(file, position, HEADER_CHECKSUM_AT) &&
        length <= file.size - bodyAt &&
        checksum == crc(file, bodyAt, length)
    return if (intact) file.copyOfRange(bodyAt, bodyAt + length) else null
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
