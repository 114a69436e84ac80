/*
 * Log entries on disk, in segment files that are named after their first index. A segment begins with a frame that
 * holds its first index and the term of the entry before it; each later frame holds the entries of one synced write.
 *
 * Since a frame is synced before the next one is written, a crash can truncate only the last frame of the last segment.
 * That frame is removed when the directory is opened. A damaged frame that is followed by an intact one is an error,
 * since its entries may have been acknowledged.
 */
package org.bramleyspur.log.storage

import kotlinx.collections.immutable.toPersistentList
import org.bramleyspur.log.consensus.Entry
import org.bramleyspur.log.consensus.EntryLog
import java.nio.ByteBuffer

private const val SEGMENT_PREFIX = "log-"
private const val SEGMENT_SUFFIX = ".segment"
private const val NAME_INDEX_DIGITS = 20

private class Segment(val name: String, val firstIndex: Long, val previousTerm: Long, val entries: List<Entry>)

/** Segmented log; a new segment is started once the current one has [segmentBytes] bytes. */
internal class SegmentLog(private val files: DurableFiles, private val segmentBytes: Int) {
    private val firstIndexes = ArrayList<Long>()
    private var currentFile: AppendFile? = null
    private var currentFileBytes = 0
    private var lastIndex = 0L
    private var lastTerm = 0L

    private fun fileName(firstIndex: Long): String =
        SEGMENT_PREFIX + firstIndex.toString().padStart(NAME_INDEX_DIGITS, '0') + SEGMENT_SUFFIX

    /** Whether anything but the empty first segment that [create] writes exists. */
    fun hasEntries(): Boolean = segmentNames().any { it != fileName(1) || readFrames(files.read(it)).bodies.size != 1 }

    private fun segmentNames(): List<String> = files.list().filter { it.endsWith(SEGMENT_SUFFIX) }.sorted()

    /** Reads all segments; [snapshotIndex] is 0 without a snapshot. */
    fun open(snapshotIndex: Long, snapshotTerm: Long): EntryLog {
        val segments = readSegments()
        checkNoGaps(segments, snapshotIndex)
        segments.mapTo(firstIndexes) { it.firstIndex }
        val log = toEntryLog(segments, snapshotIndex, snapshotTerm)
        if (log.term(snapshotIndex) != snapshotTerm) {
            reset(snapshotIndex, snapshotTerm)
            return EntryLog(snapshotIndex, snapshotTerm)
        }
        lastIndex = log.lastIndex
        lastTerm = log.lastTerm
        if (segments.isEmpty()) startSegment() else openLastSegment()
        return log
    }

    private fun toEntryLog(segments: List<Segment>, snapshotIndex: Long, snapshotTerm: Long): EntryLog {
        val first = segments.firstOrNull() ?: return EntryLog(snapshotIndex, snapshotTerm)
        return EntryLog(first.firstIndex - 1, first.previousTerm, segments.flatMap { it.entries }.toPersistentList())
    }

    private fun readSegments(): List<Segment> {
        val names = segmentNames()
        return names.mapIndexed { i, name -> readSegment(name, isLast = i == names.lastIndex) }
    }

    /** Reads a segment. Its first frame is always intact, since a segment is created by a rename. */
    private fun readSegment(name: String, isLast: Boolean): Segment {
        val bytes = files.read(name)
        val frames = readFrames(bytes)
        if (frames.end != bytes.size) {
            if (!isLast) files.damaged(name, frames.end, "wrong checksum or length in a segment before the last")
            if (hasFrameAfter(
                    bytes,
                    frames.end,
                )
            ) {
                files.damaged(name, frames.end, "wrong checksum or length before an intact frame")
            }
        }
        if (frames.bodies.isEmpty()) files.damaged(name, 0, "wrong checksum or length of the first frame")
        // After a failed sync, pages of the last segment may be in the page cache but not on disk, so it is rewritten.
        if (isLast) files.replace(name, if (frames.end == bytes.size) bytes else bytes.copyOf(frames.end))
        val header = ByteBuffer.wrap(frames.bodies.first())
        return Segment(name, header.getLong(), header.getLong(), frames.bodies.drop(1).flatMap { decodeEntries(it) })
    }

    private fun checkNoGaps(segments: List<Segment>, snapshotIndex: Long) {
        val first = segments.firstOrNull()
        if (first == null && snapshotIndex == 0L) files.damaged(fileName(1), 0, "the first segment is missing")
        if (first != null && first.firstIndex > snapshotIndex + 1) {
            files.damaged(first.name, 0, "entries missing from ${snapshotIndex + 1} on")
        }
        var nextIndex = first?.firstIndex ?: return
        for (segment in segments) {
            if (segment.firstIndex != nextIndex) files.damaged(segment.name, 0, "entries missing from $nextIndex on")
            for (entry in segment.entries) {
                if (entry.index != nextIndex) files.damaged(segment.name, 0, "entry $nextIndex is missing")
                nextIndex++
            }
        }
    }

    private fun openLastSegment() {
        val name = fileName(firstIndexes.last())
        currentFileBytes = files.read(name).size
        currentFile = files.openForAppend(name)
    }

    private fun startSegment() {
        closeCurrentFile()
        val first = lastIndex + 1
        val header = ByteBuffer.allocate(2 * Long.SIZE_BYTES).putLong(first).putLong(lastTerm).array()
        files.replace(fileName(first), encodeFrame(0, header))
        firstIndexes += first
        openLastSegment()
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
        check(entries.first().index == lastIndex + 1) {
            "entry ${entries.first().index} does not follow the last entry $lastIndex"
        }
        if (currentFileBytes >= segmentBytes) startSegment()
        val frame = encodeFrame(currentFileBytes.toLong(), encodeEntries(entries))
        val target = checkNotNull(currentFile)
        files.runWrite(fileName(firstIndexes.last())) {
            target.write(frame)
            target.sync()
        }
        currentFileBytes += frame.size
        lastIndex = entries.last().index
        lastTerm = entries.last().term
    }

    /** Removes the entries at [index] and above. */
    fun truncateFrom(index: Long) {
        while (firstIndexes.size > 1 && firstIndexes.last() >= index) deleteLastSegment()
        closeCurrentFile()
        val name = fileName(firstIndexes.last())
        val bodies = readFrames(files.read(name)).bodies
        val kept = bodies.drop(1).flatMap { decodeEntries(it) }.filter { it.index < index }
        val header = bodies.first()
        files.replace(name, if (kept.isEmpty()) encodeFrames(header) else encodeFrames(header, encodeEntries(kept)))
        lastIndex = index - 1
        lastTerm = kept.lastOrNull()?.term ?: ByteBuffer.wrap(header).getLong(Long.SIZE_BYTES)
        openLastSegment()
    }

    /** Removes all entries and continues after [index], whose entry had [term]. */
    fun reset(index: Long, term: Long) {
        while (firstIndexes.isNotEmpty()) deleteLastSegment()
        lastIndex = index
        lastTerm = term
        startSegment()
    }

    /** Deletes the newest segment; syncing after each deletion avoids gaps between the remaining segments. */
    private fun deleteLastSegment() {
        closeCurrentFile()
        files.delete(fileName(firstIndexes.removeLast()))
    }

    /** Deletes the segments that hold only entries below [index]. */
    fun compactTo(index: Long) {
        while (firstIndexes.size > 1 && firstIndexes[1] <= index) files.delete(fileName(firstIndexes.removeFirst()))
    }

    fun close() = closeCurrentFile()

    private fun closeCurrentFile() {
        val file = currentFile ?: return
        currentFile = null
        files.runWrite(fileName(firstIndexes.last())) { file.close() }
    }
}
