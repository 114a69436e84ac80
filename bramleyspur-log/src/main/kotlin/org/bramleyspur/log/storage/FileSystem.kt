/*
 * The few file operations that the log storage needs, so that tests can drop what was not synced, tear writes and fail
 * a sync. All names are file names inside the one data folder.
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

/** A file that is written at its end. Operations throw [IOException]. */
interface AppendFile : AutoCloseable {
    /** Writes [bytes] at the end of the file. */
    fun write(bytes: ByteArray)

    /** Returns once everything written is durable. */
    fun sync()
}

/** One data folder. Operations throw [IOException]. */
interface FileSystem {
    /** Path of a file for messages to operators. */
    fun path(name: String): String

    /** Names of all files of the folder. */
    fun list(): List<String>

    /** Reads a whole file. */
    fun read(name: String): ByteArray

    /** Opens a file for appending; creates it when it does not exist. */
    fun append(name: String): AppendFile

    /** Renames a file and replaces the target. */
    fun rename(from: String, to: String)

    /** Deletes a file if it exists. */
    fun delete(name: String)

    /** Returns once created, renamed and deleted names are durable. */
    fun syncFolder()

    /** Takes the folder for this process until the result is closed; returns null when another process has it. */
    fun lock(name: String): AutoCloseable?
}

/** The data folder at [folder], which is created when it does not exist. */
class DiskFileSystem(private val folder: Path) : FileSystem {
    init {
        Files.createDirectories(folder)
        folder.toAbsolutePath().parent?.let { syncFolder(it) }
    }

    override fun path(name: String): String = folder.resolve(name).toString()

    override fun list(): List<String> = Files.list(folder).use { files ->
        files.map { it.fileName.toString() }.toList()
    }

    override fun read(name: String): ByteArray = Files.readAllBytes(folder.resolve(name))

    override fun append(name: String): AppendFile = DiskFile(
        FileChannel.open(folder.resolve(name), StandardOpenOption.CREATE, StandardOpenOption.APPEND),
    )

    override fun rename(from: String, to: String) {
        Files.move(folder.resolve(from), folder.resolve(to), StandardCopyOption.ATOMIC_MOVE)
    }

    override fun delete(name: String) {
        Files.deleteIfExists(folder.resolve(name))
    }

    override fun syncFolder() = syncFolder(folder)

    private fun syncFolder(path: Path) = FileChannel.open(path, StandardOpenOption.READ).use { it.force(true) }

    override fun lock(name: String): AutoCloseable? {
        val channel = FileChannel.open(folder.resolve(name), StandardOpenOption.CREATE, StandardOpenOption.WRITE)
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
