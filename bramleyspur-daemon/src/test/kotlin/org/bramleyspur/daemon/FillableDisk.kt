package org.bramleyspur.daemon

import org.bramleyspur.log.storage.AppendFile
import org.bramleyspur.log.storage.FileSystem
import java.io.IOException

/** A data directory on disk whose writes fail after half of their bytes while it is [full]. */
internal class FillableDisk : FileSystem {
    @Volatile
    var full = false

    @Volatile
    private var failures = 0
    private lateinit var files: FileSystem

    fun open(files: FileSystem) {
        this.files = files
    }

    fun takeFailures() = failures.also { failures = 0 }

    override fun path(name: String) = files.path(name)

    override fun list() = files.list()

    override fun read(name: String) = files.read(name)

    override fun openForAppend(name: String): AppendFile {
        val file = files.openForAppend(name)
        return object : AppendFile by file {
            override fun write(bytes: ByteArray) {
                if (!full) return file.write(bytes)
                file.write(bytes.copyOf(bytes.size / 2))
                failures++
                throw IOException("No space left on device")
            }
        }
    }

    override fun rename(from: String, to: String) = files.rename(from, to)

    override fun delete(name: String) = files.delete(name)

    override fun syncDirectory() = files.syncDirectory()

    override fun lock(name: String) = files.lock(name)
}
