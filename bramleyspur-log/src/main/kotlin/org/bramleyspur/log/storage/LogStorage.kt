/*
 * Durable state of a member in one data directory: identity, term and vote, snapshot and log segments. All functions
 * except [LogStorage.open] run on the storage thread. Their writes are synced when they return.
 */
package org.bramleyspur.log.storage

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.collections.immutable.toPersistentMap
import org.bramleyspur.log.chunkedByBytes
import org.bramleyspur.log.consensus.Entry
import org.bramleyspur.log.consensus.EntryLog
import org.bramleyspur.log.consensus.HardState
import org.bramleyspur.log.consensus.Membership
import org.bramleyspur.log.consensus.Persist
import org.bramleyspur.log.consensus.Snapshot
import java.nio.ByteBuffer
import java.util.UUID

private const val LOCK_FILE = "lock"
private const val IDENTITY_FILE = "identity"
private const val HARD_STATE_FILE = "term-and-vote"
private const val SNAPSHOT_FILE = "snapshot"
private const val DEFAULT_SEGMENT_BYTES = 2 shl 20

/** Entries of a longer queue of writes are synced in several frames, since a frame is built in memory. */
private const val MAX_FRAME_BYTES = 1 shl 20

/** How a member starts when its data directory is empty. A directory with an identity keeps that identity. */
sealed interface FirstStart {
    /** Starts as member [memberId] of a new log; [voters] maps member ids to `host:port`. */
    data class Bootstrap(val memberId: String, val voters: Map<String, String>) : FirstStart

    /** Starts with a new random id and no vote, to be added to an existing log. */
    data object Join : FirstStart
}

/** The state read from a data directory when it was opened. */
internal class RecoveredData(
    val memberId: String,
    val initialMembership: Membership,
    val hardState: HardState,
    val snapshot: Snapshot?,
    val log: EntryLog,
)

/** The open data directory of one member. */
class LogStorage private constructor(
    private val files: DurableFiles,
    private val lock: AutoCloseable,
    segmentBytes: Int,
    firstStart: FirstStart,
) : AutoCloseable {
    private val segments = SegmentLog(files, segmentBytes)

    private var unreleasedData: RecoveredData? = recover(firstStart)

    /** The state that was read when the directory was opened, until it is released. */
    internal val recovered: RecoveredData get() = checkNotNull(unreleasedData) { "the recovered state was released" }

    /** Id of this member, as stored in the directory. */
    val memberId: String = recovered.memberId

    /** Drops the recovered state, whose entries would otherwise be held as long as the directory is open. */
    internal fun releaseRecovered() {
        unreleasedData = null
    }

    private fun recover(firstStart: FirstStart): RecoveredData {
        files.deleteTemporaryFiles()
        if (IDENTITY_FILE !in files.list()) initialize(firstStart)
        val identity = decodeIdentity(readRequiredFile(IDENTITY_FILE, 1).single())
        val hardState = decodeHardState(readRequiredFile(HARD_STATE_FILE, 1).single())
        val snapshot = files.readFramedFile(SNAPSHOT_FILE, 2)?.let { decodeSnapshot(it) }
        val log = segments.open(snapshot?.index ?: 0, snapshot?.term ?: 0)
        return RecoveredData(identity.first, identity.second, hardState, snapshot, log)
    }

    private fun readRequiredFile(name: String, frameCount: Int): List<ByteArray> =
        files.readFramedFile(name, frameCount) ?: files.damaged(name, 0, "the file is missing")

    /** Writes the identity last, so that a directory with an identity has all other files. */
    private fun initialize(firstStart: FirstStart) {
        if (SNAPSHOT_FILE in files.list()) files.damaged(IDENTITY_FILE, 0, "the file is missing but a snapshot exists")
        if (segments.hasEntries()) files.damaged(IDENTITY_FILE, 0, "the file is missing but log entries exist")
        segments.create()
        writeHardState(HardState(term = 0, votedFor = null))
        val (id, voters) = when (firstStart) {
            is FirstStart.Bootstrap -> firstStart.memberId to firstStart.voters
            is FirstStart.Join -> UUID.randomUUID().toString() to emptyMap()
        }
        files.replace(IDENTITY_FILE, encodeFrames(encodeIdentity(id, Membership(voters.toPersistentMap()))))
    }

    /** Performs [writes] in order; consecutive appends share one frame and one sync, up to [MAX_FRAME_BYTES]. */
    internal fun persist(writes: List<Persist>) {
        val batchedEntries = ArrayList<Entry>()
        for (write in writes) {
            val appendOnly = write.hardState == null && write.snapshot == null && write.truncateFrom == null
            if (!appendOnly) {
                append(batchedEntries)
                batchedEntries.clear()
                writeBeforeEntries(write)
            }
            batchedEntries += write.entries
        }
        append(batchedEntries)
    }

    private fun append(entries: List<Entry>) =
        chunkedByBytes(entries, MAX_FRAME_BYTES) { it.payload.size }.forEach { segments.append(it) }

    private fun writeBeforeEntries(write: Persist) {
        write.hardState?.let { writeHardState(it) }
        write.snapshot?.let {
            writeSnapshot(it)
            if (write.resetLog) segments.reset(it.index, it.term)
        }
        write.truncateFrom?.let { segments.truncateFrom(it) }
    }

    /** Saves [snapshot] and then deletes the segments that hold only entries below [keepFrom]. */
    internal fun saveSnapshot(snapshot: Snapshot, keepFrom: Long) {
        writeSnapshot(snapshot)
        segments.compactTo(keepFrom)
    }

    private fun writeHardState(hardState: HardState) {
        val vote = hardState.votedFor.orEmpty().encodeToByteArray()
        val body = ByteBuffer.allocate(Long.SIZE_BYTES + vote.size).putLong(hardState.term).put(vote).array()
        files.replace(HARD_STATE_FILE, encodeFrames(body))
    }

    private fun decodeHardState(body: ByteArray): HardState {
        val vote = body.decodeToString(Long.SIZE_BYTES)
        return HardState(ByteBuffer.wrap(body).getLong(), vote.ifEmpty { null })
    }

    private fun writeSnapshot(snapshot: Snapshot) {
        val membership = snapshot.membership.encode()
        val header = ByteBuffer.allocate(2 * Long.SIZE_BYTES + membership.size)
        header.putLong(snapshot.index).putLong(snapshot.term).put(membership)
        files.replace(SNAPSHOT_FILE, encodeFrames(header.array(), snapshot.data))
    }

    private fun decodeSnapshot(bodies: List<ByteArray>): Snapshot {
        val header = ByteBuffer.wrap(bodies[0])
        val membership = Membership.decode(bodies[0].copyOfRange(2 * Long.SIZE_BYTES, bodies[0].size))
        return Snapshot(header.getLong(), header.getLong(), membership, bodies[1])
    }

    private fun encodeIdentity(id: String, initialMembership: Membership): ByteArray =
        (id + "\n" + initialMembership.encode().decodeToString()).encodeToByteArray()

    private fun decodeIdentity(body: ByteArray): Pair<String, Membership> {
        val lines = body.decodeToString().split('\n')
        return lines.first() to Membership.decode(lines.drop(1))
    }

    /** Closes the files and releases the lock of the directory, also when a file cannot be closed. */
    override fun close() {
        try {
            segments.close()
        } finally {
            files.runWrite(LOCK_FILE) { lock.close() }
        }
    }

    companion object {
        /** Locks and reads the data directory; truncates a torn last write and reports any other damage as an error. */
        fun open(
            fileSystem: FileSystem,
            firstStart: FirstStart,
            segmentBytes: Int = DEFAULT_SEGMENT_BYTES,
        ): Result<LogStorage, StorageError> {
            val files = DurableFiles(fileSystem)
            return try {
                val lock = files.runWrite(LOCK_FILE) { fileSystem.lock(LOCK_FILE) }
                    ?: return Err(StorageError.Locked(files.path(LOCK_FILE)))
                openLocked(files, lock, segmentBytes, firstStart)
            } catch (e: StorageException) {
                Err(e.error)
            }
        }

        private fun openLocked(
            files: DurableFiles,
            lock: AutoCloseable,
            segmentBytes: Int,
            firstStart: FirstStart,
        ): Result<LogStorage, StorageError> {
            var opened: LogStorage? = null
            try {
                opened = LogStorage(files, lock, segmentBytes, firstStart)
                return Ok(opened)
            } finally {
                if (opened == null) files.runWrite(LOCK_FILE) { lock.close() }
            }
        }
    }
}
