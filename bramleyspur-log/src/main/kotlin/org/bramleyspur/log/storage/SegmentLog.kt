/*
 * The log entries on disk, in segment files that are named after their first index. A segment begins with a frame that
 * holds its first index and the term of the entry before it; each later frame holds the entries of one synced write.
 *
 * Since a frame is synced before the next one is written, only the last frame of the last segment can be cut short by a
 * crash. It is removed when the folder is opened. Damage of a frame that has an intact one behind it is refused, as
 * the entries in it may have been acknowledged.
 */
package org.bramleyspur.log.storage

import kotlinx.collections.immutable.toPersistentList
import org.bramleyspur.log.consensus.Entry
import org.bramleyspur.log.consensus.EntryLog
import java.nio.ByteBuffer

private const val NAME_PREFIX = "log-"
private const val NAME_SUFFIX = ".segment"
private const val INDEX_DIGITS = 20

private class Segment(val name: String, val firstIndex: Long, val previousTerm: Long, val entries: List<Entry>)

/** Segments of at most about [segmentBytes] bytes each. */
internal class SegmentLog(private val files: DurableFiles, private val segmentBytes: Int) {
    private val firstIndexes = ArrayList<Long>()
    private var file: AppendFile? = null
    private var size = 0
    private var lastIndex = 0L
    private var lastTerm = 0L

    private fun name(firstIndex: Long): String =
        NAME_PREFIX + firstIndex.toString().padStart(INDEX_DIGITS, '0') + NAME_SUFFIX

    /** Whether there is more than the first segment that [create] writes. */
    fun isWritten(): Boolean = segmentNames().any { it != name(1) || readFrames(files.read(it)).bodies.size != 1 }

    private fun segmentNames(): List<String> = files.list().filter { it.endsWith(NAME_SUFFIX) }.sorted()

    /** Reads all segments; [snapshotIndex] is 0 without a snapshot. */
    fun open(snapshotIndex: Long, snapshotTerm: Long): EntryLog {
        val segments = readSegments()
        checkSequence(segments, snapshotIndex)
        segments.mapTo(firstIndexes) { it.firstIndex }
        val log = joined(segments, snapshotIndex, snapshotTerm)
        if (log.term(snapshotIndex) != snapshotTerm) {
            reset(snapshotIndex, snapshotTerm)
            return EntryLog(snapshotIndex, snapshotTerm)
        }
        lastIndex = log.lastIndex
        lastTerm = log.lastTerm
        if (segments.isEmpty()) startSegment() else openLast()
        return log
    }

    private fun joined(segments: List<Segment>, snapshotIndex: Long, snapshotTerm: Long): EntryLog {
        val first = segments.firstOrNull() ?: return EntryLog(snapshotIndex, snapshotTerm)
        return EntryLog(first.firstIndex - 1, first.previousTerm, segments.flatMap { it.entries }.toPersistentList())
    }

    private fun readSegments(): List<Segment> {
        val names = segmentNames()
        return names.mapIndexed { i, name -> readSegment(name, isLast = i == names.lastIndex) }
    }

    /** Reads a segment, which has its first frame since it was created by a rename. */
    private fun readSegment(name: String, isLast: Boolean): Segment {
        val bytes = files.read(name)
        val frames = readFrames(bytes)
        if (frames.end != bytes.size) {
            if (!isLast) files.damaged(name, frames.end, "wrong checksum or length before the last segment")
            if (hasFrameAfter(
                    bytes,
                    frames.end,
                )
            ) {
                files.damaged(name, frames.end, "wrong checksum before intact entries")
            }
        }
        if (frames.bodies.isEmpty()) files.damaged(name, 0, "wrong checksum or length of the first frame")
        // Rewrites the last segment: after a failed sync its pages may be in the cache and not on the disk.
        if (isLast) files.replace(name, bytes.copyOf(frames.end))
        val header = ByteBuffer.wrap(frames.bodies.first())
        return Segment(name, header.getLong(), header.getLong(), frames.bodies.drop(1).flatMap { decodeEntries(it) })
    }

    private fun checkSequence(segments: List<Segment>, snapshotIndex: Long) {
        val first = segments.firstOrNull()
        if (first == null && snapshotIndex == 0L) files.damaged(name(1), 0, "the first segment is missing")
        if (first != null && first.firstIndex > snapshotIndex + 1) {
            files.damaged(first.name, 0, "the entries from ${snapshotIndex + 1} on are missing")
        }
        var next = first?.firstIndex ?: return
        for (segment in segments) {
            if (segment.firstIndex != next) files.damaged(segment.name, 0, "the entries from $next on are missing")
            for (entry in segment.entries) {
                if (entry.index != next) files.damaged(segment.name, 0, "entry $next is missing")
                next++
            }
        }
    }

    private fun openLast() {
        val name = name(firstIndexes.last())
        size = files.read(name).size
        file = files.append(name)
    }

    private fun startSegment() {
        file?.close()
        val first = lastIndex + 1
        val header = ByteBuffer.allocate(2 * Long.SIZE_BYTES).putLong(first).putLong(lastTerm).array()
        files.replace(name(first), encodeFrame(0, header))
        firstIndexes += first
        openLast()
    }

    /** Creates the first segment of an empty log; [open] reads it. */
    fun create() {
        startSegment()
        close()
        firstIndexes.clear()
    }

    /** Writes [entries] as one frame and syncs it. */
    fun append(entries: List<Entry>) {
        if (entries.isEmpty()) return
        check(entries.first().index == lastIndex + 1) { "entry ${entries.first().index} does not follow $lastIndex" }
        if (size >= segmentBytes) startSegment()
        val frame = encodeFrame(size.toLong(), encodeEntries(entries))
        val target = checkNotNull(file)
        files.writing(name(firstIndexes.last())) {
            target.write(frame)
            target.sync()
        }
        size += frame.size
        lastIndex = entries.last().index
        lastTerm = entries.last().term
    }

    /** Removes the entries at [index] and above. */
    fun truncateFrom(index: Long) {
        while (firstIndexes.size > 1 && firstIndexes.last() >= index) deleteLast()
        file?.close()
        val name = name(firstIndexes.last())
        val bodies = readFrames(files.read(name)).bodies
        val kept = bodies.drop(1).flatMap { decodeEntries(it) }.filter { it.index < index }
        val header = bodies.first()
        files.replace(name, if (kept.isEmpty()) encodeFrames(header) else encodeFrames(header, encodeEntries(kept)))
        lastIndex = index - 1
        lastTerm = kept.lastOrNull()?.term ?: ByteBuffer.wrap(header).getLong(Long.SIZE_BYTES)
        openLast()
    }

    /** Removes all entries and goes on after [index], whose entry had [term]. */
    fun reset(index: Long, term: Long) {
        while (firstIndexes.isNotEmpty()) deleteLast()
        lastIndex = index
        lastTerm = term
        startSegment()
    }

    /** Deletes the newest segment; the sync after each one keeps the remaining segments without a gap. */
    private fun deleteLast() {
        file?.close()
        file = null
        files.delete(name(firstIndexes.removeLast()))
    }

    /** Deletes the segments that hold only entries below [index]. */
    fun compactTo(index: Long) {
        while (firstIndexes.size > 1 && firstIndexes[1] <= index) files.delete(name(firstIndexes.removeFirst()))
    }

    fun close() {
        file?.close()
    }
}
