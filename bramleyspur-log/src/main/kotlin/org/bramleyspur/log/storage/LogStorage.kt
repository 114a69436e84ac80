/*
 * Everything that a member keeps on disk, under one data folder: identity, term and vote, snapshot and log segments.
 * All functions but [LogStorage.open] run on the storage thread. What they have written is synced when they return.
 */
package org.bramleyspur.log.storage

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.collections.immutable.toPersistentMap
import org.bramleyspur.log.consensus.Entry
import org.bramleyspur.log.consensus.EntryLog
import org.bramleyspur.log.consensus.HardState
import org.bramleyspur.log.consensus.Membership
import org.bramleyspur.log.consensus.Persist
import org.bramleyspur.log.consensus.Snapshot
import java.nio.ByteBuffer
import java.util.UUID

private const val LOCK = "lock"
private const val IDENTITY = "identity"
private const val HARD_STATE = "term-and-vote"
private const val SNAPSHOT = "snapshot"
private const val DEFAULT_SEGMENT_BYTES = 8 shl 20

/** What a member is when its data folder is empty. A folder with an identity keeps that identity. */
sealed interface FirstStart {
    /** The member [memberId] of a new log with [voters], member id to `host:port`. */
    data class Bootstrap(val memberId: String, val voters: Map<String, String>) : FirstStart

    /** A member with a new random id and no vote, which waits to be admitted to an existing log. */
    data object Join : FirstStart
}

/** The content of a data folder when it was opened. */
internal class Recovered(
    val memberId: String,
    val initial: Membership,
    val hardState: HardState,
    val snapshot: Snapshot?,
    val log: EntryLog,
)

/** The open data folder of one member. */
class LogStorage private constructor(
    private val files: DurableFiles,
    private val lock: AutoCloseable,
    segmentBytes: Int,
    firstStart: FirstStart,
) : AutoCloseable {
    private val segments = SegmentLog(files, segmentBytes)

    internal val recovered: Recovered = recover(firstStart)

    /** Id of this member, as stored in the folder. */
    val memberId: String get() = recovered.memberId

    private fun recover(firstStart: FirstStart): Recovered {
        files.deleteTemporary()
        if (IDENTITY !in files.list()) create(firstStart)
        val identity = decodeIdentity(readRequired(IDENTITY, 1).single())
        val hardState = decodeHardState(readRequired(HARD_STATE, 1).single())
        val snapshot = files.readWhole(SNAPSHOT, 2)?.let { decodeSnapshot(it) }
        val log = segments.open(snapshot?.index ?: 0, snapshot?.term ?: 0)
        return Recovered(identity.first, identity.second, hardState, snapshot, log)
    }

    private fun readRequired(name: String, frames: Int): List<ByteArray> =
        files.readWhole(name, frames) ?: files.damaged(name, 0, "the file is missing")

    /** Writes the identity last, so that a folder with an identity has all other files. */
    private fun create(firstStart: FirstStart) {
        if (SNAPSHOT in files.list()) files.damaged(IDENTITY, 0, "the file is missing beside a snapshot")
        if (segments.isWritten()) files.damaged(IDENTITY, 0, "the file is missing beside a log")
        segments.create()
        writeHardState(HardState(term = 0, votedFor = null))
        val (id, voters) = when (firstStart) {
            is FirstStart.Bootstrap -> firstStart.memberId to firstStart.voters
            is FirstStart.Join -> UUID.randomUUID().toString() to emptyMap()
        }
        files.replace(IDENTITY, encodeFrames(encodeIdentity(id, Membership(voters.toPersistentMap()))))
    }

    /** Writes [writes] in order; neighbouring appends share one frame and one sync. */
    internal fun persist(writes: List<Persist>) {
        val appended = ArrayList<Entry>()
        for (write in writes) {
            val appendOnly = write.hardState == null && write.snapshot == null && write.truncateFrom == null
            if (!appendOnly) {
                segments.append(appended)
                appended.clear()
                prepare(write)
            }
            appended += write.entries
        }
        segments.append(appended)
    }

    private fun prepare(write: Persist) {
        write.hardState?.let { writeHardState(it) }
        write.snapshot?.let {
            writeSnapshot(it)
            if (write.resetLog) segments.reset(it.index, it.term)
        }
        write.truncateFrom?.let { segments.truncateFrom(it) }
    }

    /** Saves [snapshot] and then deletes the segments with only entries below [keepFrom]. */
    internal fun saveSnapshot(snapshot: Snapshot, keepFrom: Long) {
        writeSnapshot(snapshot)
        segments.compactTo(keepFrom)
    }

    private fun writeHardState(hardState: HardState) {
        val vote = hardState.votedFor.orEmpty().encodeToByteArray()
        val body = ByteBuffer.allocate(Long.SIZE_BYTES + vote.size).putLong(hardState.term).put(vote).array()
        files.replace(HARD_STATE, encodeFrames(body))
    }

    private fun decodeHardState(body: ByteArray): HardState {
        val vote = body.decodeToString(Long.SIZE_BYTES)
        return HardState(ByteBuffer.wrap(body).getLong(), vote.ifEmpty { null })
    }

    private fun writeSnapshot(snapshot: Snapshot) {
        val membership = snapshot.membership.encode()
        val head = ByteBuffer.allocate(2 * Long.SIZE_BYTES + membership.size)
        head.putLong(snapshot.index).putLong(snapshot.term).put(membership)
        files.replace(SNAPSHOT, encodeFrames(head.array(), snapshot.data))
    }

    private fun decodeSnapshot(bodies: List<ByteArray>): Snapshot {
        val head = ByteBuffer.wrap(bodies[0])
        val membership = Membership.decode(bodies[0].copyOfRange(2 * Long.SIZE_BYTES, bodies[0].size))
        return Snapshot(head.getLong(), head.getLong(), membership, bodies[1])
    }

    private fun encodeIdentity(id: String, initial: Membership): ByteArray =
        (id + "\n" + initial.encode().decodeToString()).encodeToByteArray()

    private fun decodeIdentity(body: ByteArray): Pair<String, Membership> {
        val lines = body.decodeToString().split('\n')
        return lines.first() to Membership.decode(lines.drop(1))
    }

    /** Closes the files and gives the folder up. */
    override fun close() {
        segments.close()
        lock.close()
    }

    companion object {
        /** Locks and reads the data folder; cuts a torn tail and refuses any other damage. */
        fun open(
            fileSystem: FileSystem,
            firstStart: FirstStart,
            segmentBytes: Int = DEFAULT_SEGMENT_BYTES,
        ): Result<LogStorage, StorageError> {
            val files = DurableFiles(fileSystem)
            return try {
                val lock = files.writing(LOCK) { fileSystem.lock(LOCK) }
                    ?: return Err(StorageError.Locked(files.path(LOCK)))
                openLocked(files, lock, segmentBytes, firstStart)
            } catch (e: StorageFailure) {
                Err(e.error)
            }
        }

        private fun openLocked(
            files: DurableFiles,
            lock: AutoCloseable,
            segmentBytes: Int,
            firstStart: FirstStart,
        ): Result<LogStorage, StorageError> = try {
            Ok(LogStorage(files, lock, segmentBytes, firstStart))
        } catch (e: StorageFailure) {
            lock.close()
            Err(e.error)
        }
    }
}
