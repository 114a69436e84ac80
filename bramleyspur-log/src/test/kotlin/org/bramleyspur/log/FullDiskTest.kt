package org.bramleyspur.log

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import org.bramleyspur.log.consensus.ConsensusSettings
import org.bramleyspur.log.consensus.Entry
import org.bramleyspur.log.consensus.EntryKind
import org.bramleyspur.log.consensus.HardState
import org.bramleyspur.log.consensus.Membership
import org.bramleyspur.log.consensus.Persist
import org.bramleyspur.log.consensus.ProposeError
import org.bramleyspur.log.consensus.Snapshot
import org.bramleyspur.log.storage.FirstStart
import org.bramleyspur.log.storage.LogStorage
import org.bramleyspur.log.storage.StorageError
import org.bramleyspur.log.storage.StorageException
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.assertThrows
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import java.io.IOException
import java.io.UncheckedIOException
import kotlin.random.Random

/**
 * Guards against a member that does not work again after its disk was full, at any operation on its files, and against
 * changes that are refused for good after the disks of all members were full in turn.
 */
class FullDiskTest {
    private val firstStart = FirstStart.Bootstrap("m0", mapOf("m0" to "h0:1"))

    private fun open(files: TestFileSystem) = LogStorage.open(files, firstStart, segmentBytes = 200)

    /** The durable state that a caller relies on: what it wrote with success, and what it was writing. */
    private class Written(var hardState: HardState, var terms: List<Long>, var snapshotIndex: Long = 0)

    private fun entries(first: Long, terms: List<Long>) =
        terms.mapIndexed { i, term -> Entry(first + i, term, EntryKind.COMMAND, ByteArray(20)) }

    /** The steps cover a vote, appends, a roll of the segment, truncations, an own and a received snapshot. */
    private val steps: List<Pair<(LogStorage) -> Unit, (Written) -> Unit>> = buildList {
        fun append(first: Long, vararg terms: Long) = add(
            { storage: LogStorage -> storage.persist(listOf(Persist(0, entries = entries(first, terms.asList())))) } to
                { written: Written -> written.terms += terms.asList() },
        )

        fun vote(term: Long) = add(
            { storage: LogStorage -> storage.persist(listOf(Persist(0, hardState = HardState(term, "m1")))) } to
                { written: Written -> written.hardState = HardState(term, "m1") },
        )

        fun truncate(from: Long, term: Long) = add(
            { storage: LogStorage ->
                storage.persist(listOf(Persist(0, truncateFrom = from, entries = entries(from, listOf(term)))))
            } to { written: Written -> written.terms = written.terms.take(from.toInt() - 1) + term },
        )

        vote(1)
        for (i in 1L..6L) append(2 * i - 1, 1, 1)
        truncate(12, 2)
        truncate(4, 2)
        vote(3)
        for (i in 5L..12L) append(i, 3)
        add(
            { storage: LogStorage -> storage.saveSnapshot(Snapshot(8, 3, Membership(), ByteArray(50)), keepFrom = 6) }
                to { written: Written -> written.snapshotIndex = 8 },
        )
        append(13, 3)
    }

    /** Checks the recovered state and appends an entry; returns its index. */
    private fun checkRecovered(storage: LogStorage, allowed: List<Written>): Long {
        val recovered = storage.recovered
        val terms = (recovered.log.baseIndex + 1..recovered.log.lastIndex).map { recovered.log.term(it)!! }
        val matches = allowed.any {
            recovered.hardState == it.hardState && it.terms.drop(recovered.log.baseIndex.toInt()) == terms
        }
        check(matches) { "recovered ${recovered.hardState} and ${recovered.log.baseIndex} + $terms" }
        check(
            allowed.any {
                it.snapshotIndex == (recovered.snapshot?.index ?: 0L)
            },
        ) { "recovered snapshot ${recovered.snapshot?.index}" }
        val next = recovered.log.lastIndex + 1
        storage.persist(listOf(Persist(0, entries = entries(next, listOf(9)))))
        return next
    }

    private fun expected(count: Int): Written =
        Written(HardState(0, null), emptyList()).also { written -> steps.take(count).forEach { it.second(written) } }

    /** Runs the steps up to the first failure; returns the number of completed steps. */
    private fun run(storage: LogStorage): Int {
        steps.forEachIndexed { i, step ->
            try {
                step.first(storage)
            } catch (_: StorageException) {
                return i
            }
        }
        return steps.size
    }

    private val operations: Int = TestFileSystem().let { files ->
        open(files).getOrElse { error(it.message) }.use { run(it) }
        files.operationCount
    }

    /** A truncation deletes whole segments first, so a prefix of the entries that it removes may be left. */
    private fun truncations(done: Int): List<Written> {
        val before = expected(done)
        val after = expected(minOf(done + 1, steps.size))
        val keptAtLeast = before.terms.zip(after.terms).takeWhile { it.first == it.second }.size
        return (keptAtLeast..before.terms.size).map {
            Written(before.hardState, before.terms.take(it), before.snapshotIndex)
        }
    }

    @TestFactory
    fun `a directory whose disk is full at any operation opens again with its vote and log`() =
        (0 until operations).map { operation ->
            DynamicTest.dynamicTest("operation $operation of $operations") {
                val files = TestFileSystem()
                files.remainingOperations = operation
                val done = open(files).fold(
                    { storage -> run(storage).also { storage.close() } },
                    { error ->
                        expectThat(error).isA<StorageError.SyncFailed>()
                        0
                    },
                )
                // Opening fails at each of its operations as long as the disk is full.
                for (allowedOperations in 0..3) {
                    files.remainingOperations = allowedOperations
                    open(files).fold({ it.close() }, { expectThat(it).isA<StorageError.SyncFailed>() })
                }
                files.remainingOperations = null
                val reopened = open(files).getOrElse { error(it.message) }
                val allowed = truncations(done) + expected(minOf(done + 1, steps.size))
                val appended = reopened.use { checkRecovered(it, allowed) }
                open(files).getOrElse { error(it.message) }.use {
                    expectThat(it.recovered.log.lastIndex).isEqualTo(appended)
                }
                expectThat(files.list().filter { it.endsWith(".tmp") }.size).isEqualTo(0)
            }
        }

    private val closingSteps: List<Pair<String, Persist>> = listOf(
        "roll of the segment" to Persist(0, entries = entries(13, listOf(1))),
        "truncation" to Persist(0, truncateFrom = 11, entries = entries(11, listOf(2))),
        "truncation of a whole segment" to Persist(0, truncateFrom = 3, entries = entries(3, listOf(2))),
        "received snapshot" to Persist(0, snapshot = Snapshot(30, 2, Membership(), ByteArray(9)), resetLog = true),
    )

    /** Guards against a log that neither writes nor fails, and a lock that is kept, when a file cannot be closed. */
    @TestFactory
    fun `a file that cannot be closed is a storage failure, and the directory opens again`() =
        closingSteps.map { (name, write) ->
            DynamicTest.dynamicTest(name) {
                val files = TestFileSystem()
                val storage = open(files).getOrElse { error(it.message) }
                for (i in 1L..12L) storage.persist(listOf(Persist(0, entries = entries(i, listOf(1)))))
                files.closeFails = true
                val failure = assertThrows<StorageException> { storage.persist(listOf(write)) }
                expectThat(failure.error).isA<StorageError.SyncFailed>()
                runCatching { storage.close() }
                files.closeFails = false
                open(files).getOrElse { error(it.message) }.close()
            }
        }

    /** Guards against a lock that is kept, so that the directory never opens again, after an unexpected exception. */
    @Test
    fun `a directory that could not be listed opens once it can be`() {
        val files = TestFileSystem()
        open(files).getOrElse { error(it.message) }.close()
        files.uncheckedFailure = UncheckedIOException(IOException("simulated failure"))
        expectThat(open(files).getError()).isA<StorageError.ReadFailed>()
        open(files).getOrElse { error(it.message) }.close()
        files.uncheckedFailure = IllegalStateException("simulated failure")
        assertThrows<IllegalStateException> { open(files) }
        open(files).getOrElse { error(it.message) }.close()
    }

    /** Guards against a log that acknowledges nothing, but is not closed, after an unexpected exception or error. */
    @ParameterizedTest
    @MethodSource("unexpected")
    fun `an unexpected exception on the storage thread closes the log, which opens again`(failure: Throwable) {
        val cluster = Cluster(1, seed = 1, reopenDelayMs = REOPEN_DELAY_MS)
        val leader = cluster.awaitLeader()
        cluster.run(100)
        leader.files.uncheckedFailure = failure
        val outcomes = mutableListOf<ProposeError?>()
        leader.log!!.propose(ByteArray(1)) { outcomes += it.getError() }
        cluster.run(100)
        expectThat(outcomes).containsExactly(ProposeError.OutcomeUnknown)
        cluster.propose(cluster.awaitLeader(), "p")
        cluster.runUntil("a commit") { cluster.invariants.acknowledgedCount > 0 }
    }

    /**
     * @property fullMs how long each disk is full
     * @property gapMs time between the end of one and the begin of the next
     * @property order order of the members by their role at that moment
     */
    private class Turn(
        val name: String,
        val fullMs: Int = 3_000,
        val gapMs: IntRange = 0..2_000,
        val rounds: Int = 2,
        val closeFails: Boolean = false,
        val order: (Cluster, Int, Random) -> Cluster.Node = { cluster, i, _ -> cluster.nodes[i % 3] },
    )

    private val turns = listOf(
        Turn("one after another"),
        Turn("without a pause between them", gapMs = 0..0),
        Turn("for less than the reopen delay", fullMs = 400, gapMs = 0..300, rounds = 6),
        Turn("with files that cannot be closed", closeFails = true),
        Turn("each while it leads", order = { cluster, i, _ -> cluster.leader() ?: cluster.nodes[i % 3] }),
        Turn(
            "each while it follows",
            order = { cluster, i, _ -> (0..2).map { cluster.nodes[(i + it) % 3] }.first { it !== cluster.leader() } },
        ),
        Turn("the leader while another one catches up", gapMs = 0..1_100, order = { cluster, i, random ->
            cluster.leader()?.takeIf { random.nextInt(3) > 0 } ?: cluster.nodes[i % 3]
        }),
    )

    @TestFactory
    fun `a change is accepted soon after the disks of all members were full in turn`() = turns.map { turn ->
        DynamicTest.dynamicTest(turn.name) { for (seed in 1L..SEEDS) fillInTurn(turn, seed) }
    }

    private fun fillInTurn(turn: Turn, seed: Long) {
        val settings = ConsensusSettings(trailingEntries = 5, snapshotChunkBytes = 64, batchEntries = 4)
        val cluster = Cluster(3, seed, settings, reopenDelayMs = REOPEN_DELAY_MS)
        val random = Random(seed)
        cluster.awaitLeader()
        var proposals = 0
        cluster.every(PROPOSAL_INTERVAL_MS) { cluster.nodes.forEach { cluster.propose(it, "p${proposals++}") } }
        var failures = 0
        repeat(turn.rounds * 3) { i ->
            val node = turn.order(cluster, i, random)
            node.files.full = true
            node.files.closeFails = turn.closeFails
            cluster.run(turn.fullMs)
            if (node.log == null) failures++
            node.files.full = false
            node.files.closeFails = false
            if (i < turn.rounds * 3 - 1) cluster.run(random.nextInt(turn.gapMs.first, turn.gapMs.last + 1))
        }
        check(failures > 0) { "seed $seed: no member noticed that its disk was full" }
        val before = cluster.invariants.acknowledgedCount
        cluster.run(ACCEPT_LIMIT_MS)
        expectThat(cluster.invariants.acknowledgedCount).describedAs("seed $seed").isGreaterThan(before)
        cluster.runUntil("all members are open") { cluster.nodes.all { it.log != null } }
        cluster.run(2_000)
        cluster.invariants.checkConvergedTo(before)
        expectThat(cluster.leader()!!.log!!.status().members.count { (it.sinceLastAckMs ?: 9_999) < 500 })
            .describedAs("members that acknowledge, seed $seed").isEqualTo(3)
    }

    private fun Cluster.every(periodMs: Int, action: () -> Unit) {
        schedule(nowMs + periodMs) {
            action()
            every(periodMs, action)
        }
    }

    companion object {
        @JvmStatic
        fun unexpected(): List<Throwable> =
            listOf(IllegalStateException("simulated failure"), OutOfMemoryError("simulated"))

        const val SEEDS = 30L
        const val REOPEN_DELAY_MS = 1_000
        const val PROPOSAL_INTERVAL_MS = 40
        const val ACCEPT_LIMIT_MS = 4_000
    }
}
