package org.bramleyspur.log

import org.bramleyspur.log.storage.AppendFile
import org.bramleyspur.log.storage.FileSystem
import java.io.ByteArrayOutputStream
import java.io.IOException
import kotlin.random.Random

/** What a power failure leaves of the bytes that were written and not synced. */
enum class Tear { DROP, KEEP, CUT, GARBLE }

/** A data folder in memory that separates written from synced content. */
class TestFileSystem : FileSystem {
    private class Content {
        var bytes = ByteArrayOutputStream()
        var synced = 0
    }

    private var names = mutableMapOf<String, Content>()
    private var syncedNames = mapOf<String, Content>()
    private var locked = false

    /** Number of syncs that still succeed; null for all. */
    var syncsLeft: Int? = null
    var syncs = 0

    override fun path(name: String) = name

    override fun list() = names.keys.toList()

    override fun read(name: String): ByteArray = names[name]?.bytes?.toByteArray() ?: throw IOException("no $name")

    override fun append(name: String): AppendFile {
        val content = names.getOrPut(name) { Content() }
        return object : AppendFile {
            override fun write(bytes: ByteArray) = content.bytes.writeBytes(bytes)

            override fun sync() {
                spendSync()
                syncs++
                content.synced = content.bytes.size()
            }

            override fun close() = Unit
        }
    }

    override fun rename(from: String, to: String) {
        names[to] = names.remove(from) ?: throw IOException("no $from")
    }

    override fun delete(name: String) {
        names.remove(name)
    }

    override fun syncFolder() {
        spendSync()
        syncedNames = names.toMap()
    }

    private fun spendSync() {
        val left = syncsLeft ?: return
        if (left == 0) throw IOException("sync failed on request")
        syncsLeft = left - 1
    }

    override fun lock(name: String): AutoCloseable? {
        if (locked) return null
        locked = true
        return AutoCloseable { locked = false }
    }

    /** Replaces the content of a file, as damage of the disk does. */
    fun overwrite(name: String, bytes: ByteArray) {
        names.getValue(name).bytes = ByteArrayOutputStream().apply { writeBytes(bytes) }
    }

    /** Fails the power: names and bytes that were not synced are lost or torn. */
    fun crash(tear: Tear, random: Random) {
        locked = false
        syncsLeft = null
        if (tear != Tear.KEEP) names = syncedNames.toMutableMap()
        for (content in names.values) {
            val bytes = content.bytes.toByteArray()
            val unsynced = bytes.size - content.synced
            val kept = when (tear) {
                Tear.DROP -> 0
                Tear.KEEP -> unsynced
                Tear.CUT, Tear.GARBLE -> random.nextInt(unsynced + 1)
            }
            val rest = bytes.copyOf(content.synced + kept)
            if (tear == Tear.GARBLE && kept > 0) rest[content.synced + random.nextInt(kept)]++
            content.bytes = ByteArrayOutputStream().apply { writeBytes(rest) }
            content.synced = rest.size
        }
        syncedNames = names.toMap()
    }
}
