package org.bramleyspur.log

import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import org.bramleyspur.log.consensus.Entry
import org.bramleyspur.log.consensus.EntryKind
import org.bramleyspur.log.consensus.HardState
import org.bramleyspur.log.consensus.Membership
import org.bramleyspur.log.consensus.Persist
import org.bramleyspur.log.consensus.Snapshot
import org.bramleyspur.log.storage.DiskFileSystem
import org.bramleyspur.log.storage.FileSystem
import org.bramleyspur.log.storage.FirstStart
import org.bramleyspur.log.storage.LogStorage
import org.bramleyspur.log.storage.StorageError
import org.bramleyspur.log.storage.StorageException
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import java.nio.file.Path

/** Guards against lost synced entries, a torn last write that prevents a start, and damage that passes unnoticed. */
class LogStorageTest {
    private val firstStart = FirstStart.Bootstrap("m0", mapOf("m0" to "h0:1"))

    private fun entries(range: LongRange, term: Long = 1) =
        range.map { Entry(it, term, EntryKind.COMMAND, ByteArray(20) { i -> i.toByte() }) }

    private fun open(files: FileSystem) =
        LogStorage.open(files, firstStart, segmentBytes = 300).getOrElse { error(it.message) }

    private fun LogStorage.append(range: LongRange) = persist(listOf(Persist(0, entries = entries(range))))

    private fun errorOf(files: FileSystem) = LogStorage.open(files, firstStart, segmentBytes = 300).getError()

    private fun LogStorage.terms() = recovered.log.entries.map { it.term }

    @Test
    fun `all state is recovered from a directory on disk, which is locked while it is open`(@TempDir directory: Path) {
        val files = DiskFileSystem(directory)
        val storage = open(files)
        storage.persist(listOf(Persist(1, HardState(7, "m0"), entries = entries(1L..40L))))
        expectThat(errorOf(files)).isA<StorageError.Locked>().get { message }.contains("another process")
        storage.saveSnapshot(Snapshot(30, 1, Membership(), ByteArray(3)), keepFrom = 25)
        storage.close()
        val reopened = open(files)
        expectThat(reopened.recovered.hardState).isEqualTo(HardState(7, "m0"))
        expectThat(reopened.recovered.snapshot?.data?.size).isEqualTo(3)
        expectThat(reopened.recovered.log.lastIndex).isEqualTo(40)
        reopened.close()
    }

    @Test
    fun `several appends share one sync`() {
        val files = TestFileSystem()
        val storage = open(files)
        val syncsBefore = files.syncCount
        storage.persist((1L..10L).map { Persist(it, entries = entries(it..it)) })
        expectThat(files.syncCount - syncsBefore).isEqualTo(1)
    }

    @Test
    fun `a truncation over segments keeps the entries before it`() {
        val files = TestFileSystem()
        val storage = open(files)
        (1L..40L).forEach { storage.append(it..it) }
        storage.persist(listOf(Persist(0, truncateFrom = 12, entries = entries(12L..13L, term = 2))))
        storage.close()
        expectThat(open(files).terms()).isEqualTo(List(11) { 1L } + listOf(2L, 2L))
    }

    @Test
    fun `a last write that is truncated or corrupted at any byte is removed, and the log can be extended`() {
        val intactFiles = TestFileSystem().also { files -> open(files).use { it.append(1L..2L) } }
        val segment = intactFiles.list().first { it.endsWith(".segment") }
        val intactBytes = intactFiles.read(segment)
        val tornFiles =
            TestFileSystem().also { files -> open(files).use { for (i in 1L..2L) it.append(i * 2 - 1..i * 2) } }
        val bytes = tornFiles.read(segment)
        for (length in intactBytes.size until bytes.size) {
            tornFiles.overwrite(segment, bytes.copyOf(length))
            open(tornFiles).use { expectThat(it.recovered.log.lastIndex).isEqualTo(2) }
        }
        for (position in intactBytes.size until bytes.size) {
            tornFiles.overwrite(segment, bytes.copyOf().also { it[position]++ })
            open(tornFiles).use { expectThat(it.recovered.log.lastIndex).isEqualTo(2) }
        }
        open(tornFiles).use { it.append(3L..3L) }
        open(tornFiles).use { expectThat(it.recovered.log.lastIndex).isEqualTo(3) }
    }

    @Test
    fun `a damaged byte before the last write is refused with file, offset and remedy`() {
        val files = TestFileSystem()
        open(files).use { for (i in 1L..6L) it.append(i..i) }
        val names = files.list().filter { it.endsWith(".segment") }.sorted()
        for (name in names) {
            val bytes = files.read(name)
            val end = if (name == names.last()) bytes.size - 65 else bytes.size
            for (position in 0 until end) {
                files.overwrite(name, bytes.copyOf().also { it[position]++ })
                val error = errorOf(files)
                expectThat(error).isA<StorageError.Damaged>().and {
                    get { file }.isEqualTo(name)
                    get { offset <= position }.isEqualTo(true)
                    get { message }.contains("replace this member")
                }
            }
            files.overwrite(name, bytes)
        }
        expectThat(errorOf(files)).isEqualTo(null)
    }

    @Test
    fun `a missing file is refused`() {
        for (missing in listOf("identity", "term-and-vote", ".segment")) {
            val files = TestFileSystem()
            open(files).use { for (i in 1L..20L) it.append(i..i) }
            files.delete(files.list().sorted().first { it.endsWith(missing) })
            expectThat(errorOf(files)).isA<StorageError.Damaged>()
        }
    }

    @Test
    fun `a failed sync is a fatal error that names the file`() {
        val files = TestFileSystem()
        val storage = open(files)
        files.remainingSyncs = 0
        val failure = assertThrows<StorageException> { storage.append(1L..1L) }
        expectThat(failure.error).isA<StorageError.SyncFailed>().get { file }.contains(".segment")
    }

    @Test
    fun `a crash between a received snapshot and the reset of the log discards the old entries`() {
        val files = TestFileSystem()
        open(files).use {
            for (i in 1L..30L) it.append(i..i)
            it.saveSnapshot(Snapshot(50, 3, Membership(), ByteArray(0)), keepFrom = 0)
        }
        open(files).use {
            expectThat(it.recovered.log.lastIndex).isEqualTo(50)
            it.persist(listOf(Persist(0, entries = entries(51L..51L, term = 4))))
        }
        expectThat(open(files).terms()).containsExactly(4L)
    }
}
