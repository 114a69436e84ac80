package org.bramleyspur.log

import io.github.oshai.kotlinlogging.KotlinLogging
import org.bramleyspur.log.consensus.Persist
import org.bramleyspur.log.consensus.Snapshot
import org.bramleyspur.log.storage.LogStorage
import org.bramleyspur.log.storage.StorageError
import org.bramleyspur.log.storage.StorageException
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executor

private sealed interface StorageTask

private class WriteTask(val write: Persist) : StorageTask

private class SnapshotTask(val snapshot: Snapshot, val keepFrom: Long) : StorageTask

/**
 * Runs storage operations in order on the storage thread. Writes that queue up while the thread is busy are synced
 * together.
 *
 * @property onSynced receives the sequence number up to which all writes are synced, on the control thread
 * @property onSnapshotSaved receives a synced snapshot, on the control thread
 * @property onFailure receives the first storage error, on the control thread; nothing is written afterwards
 */
internal class StorageQueue(
    private val storage: LogStorage,
    private val storageThread: Executor,
    private val control: Executor,
    private val onSynced: (Long) -> Unit,
    private val onSnapshotSaved: (Snapshot) -> Unit,
    private val onFailure: (StorageError) -> Unit,
) {
    private val logger = KotlinLogging.logger {}
    private val tasks = ConcurrentLinkedQueue<StorageTask>()
    private var failed = false

    fun write(write: Persist) = add(WriteTask(write))

    fun saveSnapshot(snapshot: Snapshot, keepFrom: Long) = add(SnapshotTask(snapshot, keepFrom))

    /** Closes the storage. A failure is only logged: every write that was acknowledged is synced. */
    fun close() = storageThread.execute {
        try {
            storage.close()
        } catch (e: StorageException) {
            logger.warn { e.error.message }
        }
    }

    private fun add(task: StorageTask) {
        tasks += task
        storageThread.execute { runAll() }
    }

    // After any exception or error, the log must not wait for a write that was lost.
    @Suppress("TooGenericExceptionCaught")
    private fun runAll() {
        if (failed) return
        try {
            val writes = ArrayList<Persist>()
            while (true) {
                val task = tasks.poll() ?: break
                if (task is WriteTask) writes += task.write
                if (task is SnapshotTask) {
                    flush(writes)
                    save(task)
                }
            }
            flush(writes)
        } catch (e: StorageException) {
            fail(e.error)
        } catch (e: Throwable) {
            fail(StorageError.Unexpected(e.toString()))
        }
    }

    private fun fail(error: StorageError) {
        failed = true
        control.execute { onFailure(error) }
    }

    private fun flush(writes: ArrayList<Persist>) {
        if (writes.isEmpty()) return
        storage.persist(writes)
        val sequence = writes.last().sequence
        writes.clear()
        control.execute { onSynced(sequence) }
    }

    private fun save(task: SnapshotTask) {
        storage.saveSnapshot(task.snapshot, task.keepFrom)
        control.execute { onSnapshotSaved(task.snapshot) }
    }
}
