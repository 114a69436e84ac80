/*
 * The file operations that the log storage needs. Tests replace them to simulate lost or torn unsynced writes and
 * failed syncs. All names are names of files in the data directory.
 */
package org.bramleyspur.log.storage

import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.channels.OverlappingFileLockException
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardCopyOption
import java.nio.file.StandardOpenOption

/** An append-only file. Operations throw [IOException]. */
interface AppendFile : AutoCloseable {
    /** Appends [bytes] to the file. */
    fun write(bytes: ByteArray)

    /** Returns once all written bytes are durable. */
    fun sync()
}

/** A data directory. Operations throw [IOException]. */
interface FileSystem {
    /** Path of a file, for error messages. */
    fun path(name: String): String

    /** Names of all files in the directory. */
    fun list(): List<String>

    /** Reads a complete file. */
    fun read(name: String): ByteArray

    /** Opens a file for appending; creates it when it does not exist. */
    fun openForAppend(name: String): AppendFile

    /** Atomically renames a file, replacing an existing target. */
    fun rename(from: String, to: String)

    /** Deletes a file if it exists. */
    fun delete(name: String)

    /** Returns once the creation, renaming and deletion of files is durable. */
    fun syncDirectory()

    /** Locks the directory until the result is closed; returns null when another process holds the lock. */
    fun lock(name: String): AutoCloseable?
}

/** The data directory at [directory], which is created when it does not exist. */
class DiskFileSystem(private val directory: Path) : FileSystem {
    init {
        Files.createDirectories(directory)
        directory.toAbsolutePath().parent?.let { syncDirectory(it) }
    }

    override fun path(name: String): String = directory.resolve(name).toString()

    override fun list(): List<String> = Files.list(directory).use { files ->
        files.map { it.fileName.toString() }.toList()
    }

    override fun read(name: String): ByteArray = Files.readAllBytes(directory.resolve(name))

    override fun openForAppend(name: String): AppendFile = DiskFile(
        FileChannel.open(directory.resolve(name), StandardOpenOption.CREATE, StandardOpenOption.APPEND),
    )

    override fun rename(from: String, to: String) {
        Files.move(directory.resolve(from), directory.resolve(to), StandardCopyOption.ATOMIC_MOVE)
    }

    override fun delete(name: String) {
        Files.deleteIfExists(directory.resolve(name))
    }

    override fun syncDirectory() = syncDirectory(directory)

    private fun syncDirectory(path: Path) = FileChannel.open(path, StandardOpenOption.READ).use { it.force(true) }

    override fun lock(name: String): AutoCloseable? {
        val channel = FileChannel.open(directory.resolve(name), StandardOpenOption.CREATE, StandardOpenOption.WRITE)
        val lock = try {
            channel.tryLock()
        } catch (_: OverlappingFileLockException) {
            null
        }
        if (lock == null) channel.close()
        return lock?.let { channel }
    }

    private class DiskFile(private val channel: FileChannel) : AppendFile {
        override fun write(bytes: ByteArray) {
            val buffer = ByteBuffer.wrap(bytes)
            while (buffer.hasRemaining()) channel.write(buffer)
        }

        override fun sync() = channel.force(true)

        override fun close() = channel.close()
    }
}
