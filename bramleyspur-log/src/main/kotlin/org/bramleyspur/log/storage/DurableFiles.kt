package org.bramleyspur.log.storage

import java.io.IOException
import java.io.UncheckedIOException

private const val TEMPORARY_SUFFIX = ".tmp"

/** File operations that throw [StorageException], and atomic replacement of a small file. */
internal class DurableFiles(private val fileSystem: FileSystem) {
    fun list(): List<String> = runRead("the data directory") { fileSystem.list() }

    fun path(name: String): String = fileSystem.path(name)

    fun read(name: String): ByteArray = runRead(name) { fileSystem.read(name) }

    fun openForAppend(name: String): AppendFile = runWrite(name) { fileSystem.openForAppend(name) }

    /** Atomically replaces the content of [name]: after a crash the file has either the old or the new content. */
    fun replace(name: String, bytes: ByteArray) = runWrite(name) {
        val temporaryName = name + TEMPORARY_SUFFIX
        fileSystem.delete(temporaryName)
        fileSystem.openForAppend(temporaryName).use {
            it.write(bytes)
            it.sync()
        }
        fileSystem.rename(temporaryName, name)
        fileSystem.syncDirectory()
    }

    fun delete(name: String) = runWrite(name) {
        fileSystem.delete(name)
        fileSystem.syncDirectory()
    }

    /** Deletes temporary files of replacements that a crash interrupted. */
    fun deleteTemporaryFiles() = list().filter { it.endsWith(TEMPORARY_SUFFIX) }.forEach { delete(it) }

    /** Returns the bodies of the [count] frames of an atomically replaced file, or null when it does not exist. */
    fun readFramedFile(name: String, count: Int): List<ByteArray>? {
        if (name !in list()) return null
        val bytes = read(name)
        val file = readFrames(bytes)
        if (file.end != bytes.size || file.bodies.size != count) damaged(name, file.end, "wrong checksum or length")
        return file.bodies
    }

    fun damaged(name: String, offset: Int, reason: String): Nothing =
        throw StorageException(StorageError.Damaged(path(name), offset.toLong(), reason))

    fun <T> runWrite(name: String, action: () -> T): T = try {
        action()
    } catch (e: IOException) {
        throw StorageException(StorageError.SyncFailed(path(name), e.toString()), e)
    }

    private fun <T> runRead(name: String, action: () -> T): T = try {
        action()
    } catch (e: IOException) {
        throw StorageException(StorageError.ReadFailed(path(name), e.toString()), e)
    } catch (e: UncheckedIOException) {
        // Streams of directory entries throw it.
        throw StorageException(StorageError.ReadFailed(path(name), e.toString()), e)
    }
}

/** Returns the content of a file that consists of one frame for each of [bodies]. */
internal fun encodeFrames(vararg bodies: ByteArray): ByteArray {
    var bytes = ByteArray(0)
    for (body in bodies) bytes += encodeFrame(bytes.size.toLong(), body)
    return bytes
}
