package org.bramleyspur.log

import org.bramleyspur.log.storage.AppendFile
import org.bramleyspur.log.storage.FileSystem
import java.io.ByteArrayOutputStream
import java.io.IOException
import kotlin.random.Random

/** What happens to written but unsynced bytes in a simulated power failure. */
enum class UnsyncedWrites { DROPPED, KEPT, TRUNCATED, CORRUPTED }

private const val NO_SPACE = "No space left on device"

/** An in-memory data directory that tracks which content has been synced. */
class TestFileSystem : FileSystem {
    private class FileContent {
        var bytes = ByteArrayOutputStream()
        var syncedBytes = 0
    }

    private var files = mutableMapOf<String, FileContent>()
    private var syncedFiles = mapOf<String, FileContent>()
    private var locked = false

    /** Number of syncs that succeed before all further ones fail; null if none fails. */
    var remainingSyncs: Int? = null
    var syncCount = 0

    /** Number of operations that succeed before all further ones fail, as on a full disk; null if none fails. */
    var remainingOperations: Int? = null
    var operationCount = 0

    /** Whether writes fail after a part of their bytes, as on a full disk; all else succeeds. */
    var full = false

    /** Whether closing a file fails. */
    var closeFails = false

    /** Thrown by the next operation instead of an [IOException]; null if none is. */
    var uncheckedFailure: Throwable? = null

    /** Bytes of all files. */
    val totalBytes: Long get() = files.values.sumOf { it.bytes.size().toLong() }

    override fun path(name: String) = name

    override fun list(): List<String> {
        throwUncheckedFailure()
        return files.keys.toList()
    }

    override fun read(name: String): ByteArray = files[name]?.bytes?.toByteArray() ?: throw IOException("no $name")

    override fun openForAppend(name: String): AppendFile {
        consumeOperation()
        val content = files.getOrPut(name) { FileContent() }
        return object : AppendFile {
            override fun write(bytes: ByteArray) {
                val writable = !full && remainingOperations != 0
                content.bytes.writeBytes(if (writable) bytes else bytes.copyOf(bytes.size / 2))
                if (full) throw IOException(NO_SPACE)
                consumeOperation()
            }

            override fun sync() {
                consumeOperation()
                consumeSync()
                syncCount++
                content.syncedBytes = content.bytes.size()
            }

            override fun close() {
                if (closeFails) throw IOException(NO_SPACE)
            }
        }
    }

    override fun rename(from: String, to: String) {
        consumeOperation()
        files[to] = files.remove(from) ?: throw IOException("no $from")
    }

    override fun delete(name: String) {
        consumeOperation()
        files.remove(name)
    }

    override fun syncDirectory() {
        consumeOperation()
        consumeSync()
        syncedFiles = files.toMap()
    }

    private fun throwUncheckedFailure() {
        val failure = uncheckedFailure ?: return
        uncheckedFailure = null
        throw failure
    }

    private fun consumeOperation() {
        throwUncheckedFailure()
        operationCount++
        val left = remainingOperations ?: return
        if (left == 0) throw IOException(NO_SPACE)
        remainingOperations = left - 1
    }

    private fun consumeSync() {
        val left = remainingSyncs ?: return
        if (left == 0) throw IOException("simulated sync failure")
        remainingSyncs = left - 1
    }

    override fun lock(name: String): AutoCloseable? {
        if (locked) return null
        locked = true
        return AutoCloseable { locked = false }
    }

    /** Replaces the content of a file to simulate disk corruption. */
    fun overwrite(name: String, bytes: ByteArray) {
        files.getValue(name).bytes = ByteArrayOutputStream().apply { writeBytes(bytes) }
    }

    /** A data directory with the synced content of this one. */
    fun copyOfSynced(): TestFileSystem {
        val copy = TestFileSystem()
        for ((name, content) in syncedFiles) {
            val bytes = content.bytes.toByteArray().copyOf(content.syncedBytes)
            copy.files[name] = FileContent().apply {
                this.bytes.writeBytes(bytes)
                syncedBytes = bytes.size
            }
        }
        copy.syncedFiles = copy.files.toMap()
        return copy
    }

    /** Simulates a power failure: unsynced file names and bytes are treated according to [unsynced]. */
    fun crash(unsynced: UnsyncedWrites, random: Random) {
        locked = false
        remainingSyncs = null
        if (unsynced != UnsyncedWrites.KEPT) files = syncedFiles.toMutableMap()
        for (content in files.values) {
            val bytes = content.bytes.toByteArray()
            val unsyncedBytes = bytes.size - content.syncedBytes
            val kept = when (unsynced) {
                UnsyncedWrites.DROPPED -> 0
                UnsyncedWrites.KEPT -> unsyncedBytes
                UnsyncedWrites.TRUNCATED, UnsyncedWrites.CORRUPTED -> random.nextInt(unsyncedBytes + 1)
            }
            val retained = bytes.copyOf(content.syncedBytes + kept)
            if (unsynced == UnsyncedWrites.CORRUPTED && kept > 0) retained[content.syncedBytes + random.nextInt(kept)]++
            content.bytes = ByteArrayOutputStream().apply { writeBytes(retained) }
            content.syncedBytes = retained.size
        }
        syncedFiles = files.toMap()
    }
}
