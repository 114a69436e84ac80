package org.bramleyspur.log.storage

import java.io.IOException

private const val TEMPORARY_SUFFIX = ".tmp"

/** File operations whose failures are [StorageFailure]s, and the atomic replacement of a small file. */
internal class DurableFiles(private val fileSystem: FileSystem) {
    fun list(): List<String> = reading("the folder") { fileSystem.list() }

    fun path(name: String): String = fileSystem.path(name)

    fun read(name: String): ByteArray = reading(name) { fileSystem.read(name) }

    fun append(name: String): AppendFile = writing(name) { fileSystem.append(name) }

    /** Puts [bytes] in place of [name]; after a crash the file has either the old or the new content. */
    fun replace(name: String, bytes: ByteArray) = writing(name) {
        val temporary = name + TEMPORARY_SUFFIX
        fileSystem.delete(temporary)
        fileSystem.append(temporary).use {
            it.write(bytes)
            it.sync()
        }
        fileSystem.rename(temporary, name)
        fileSystem.syncFolder()
    }

    fun delete(name: String) = writing(name) {
        fileSystem.delete(name)
        fileSystem.syncFolder()
    }

    /** Removes replacements that a crash left unfinished. */
    fun deleteTemporary() = list().filter { it.endsWith(TEMPORARY_SUFFIX) }.forEach { delete(it) }

    /** Returns the frames of a file that is written at once, or null when it does not exist. */
    fun readWhole(name: String, frames: Int): List<ByteArray>? {
        if (name !in list()) return null
        val bytes = read(name)
        val read = readFrames(bytes)
        if (read.end != bytes.size || read.bodies.size != frames) damaged(name, read.end, "wrong checksum or length")
        return read.bodies
    }

    fun damaged(name: String, offset: Int, reason: String): Nothing =
        throw StorageFailure(StorageError.Damaged(path(name), offset.toLong(), reason))

    fun <T> writing(name: String, action: () -> T): T = try {
        action()
    } catch (e: IOException) {
        throw StorageFailure(StorageError.SyncFailed(path(name), e.toString()), e)
    }

    private fun <T> reading(name: String, action: () -> T): T = try {
        action()
    } catch (e: IOException) {
        throw StorageFailure(StorageError.ReadFailed(path(name), e.toString()), e)
    }
}

/** Returns one file content made of frames with [bodies]. */
internal fun encodeFrames(vararg bodies: ByteArray): ByteArray {
    var bytes = ByteArray(0)
    for (body in bodies) bytes += encodeFrame(bytes.size.toLong(), body)
    return bytes
}
