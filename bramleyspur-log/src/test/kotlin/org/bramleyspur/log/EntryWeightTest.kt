package org.bramleyspur.log

import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import org.bramleyspur.log.consensus.ConsensusSettings
import org.bramleyspur.log.consensus.Entry
import org.bramleyspur.log.consensus.EntryKind
import org.bramleyspur.log.consensus.HardState
import org.bramleyspur.log.consensus.LeaderState
import org.bramleyspur.log.consensus.Persist
import org.bramleyspur.log.consensus.ProposeError
import org.bramleyspur.log.storage.FirstStart
import org.bramleyspur.log.storage.LogStorage
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

/**
 * Guards against a log that keeps entries by their number only: large ones filled the heap of a control process, which
 * then acknowledged no change, and could not open its log again.
 */
class EntryWeightTest {
    /** A disturbance in the middle of the changes. */
    enum class Disturbance(internal val begin: (Cluster) -> Unit, internal val end: (Cluster) -> Unit = {}) {
        NONE({}),
        ALL_KILLED({ cluster -> cluster.nodes.forEach { it.crash(UnsyncedWrites.KEPT, restartMs = 700) } }),
        LEADER_KILLED({ it.awaitLeader().crash(UnsyncedWrites.DROPPED, restartMs = 700) }),
        FOLLOWER_BEHIND({ it.isolate(it.aFollower()) }, { it.links.reset() }),
        LEADER_CUT_OFF({ it.isolate(it.awaitLeader()) }, { it.links.reset() }),
        DISK_LOST({ it.aFollower().wipeDisk(restartMs = 700) }, { it.recoverFromFaults() }),
        LEADERS_DISK_STALLED({ it.awaitLeader().diskDelayMs = STALL_MS }, { it.endStalls() }),
        FOLLOWERS_DISK_STALLED({ it.aFollower().diskDelayMs = STALL_MS }, { it.endStalls() }),
    }

    @ParameterizedTest
    @EnumSource
    fun `memory and disk do not grow with the number of large entries`(disturbance: Disturbance) {
        val cluster = Cluster(
            3,
            seed = disturbance.ordinal.toLong(),
            settings = ConsensusSettings(),
            snapshotEntries = SNAPSHOT_ENTRIES,
            segmentBytes = SEGMENT_BYTES,
            retainedEntries = 1,
        )
        cluster.change(CHANGES / 3)
        disturbance.begin(cluster)
        cluster.change(CHANGES / 3)
        disturbance.end(cluster)
        cluster.change(CHANGES / 3)
        cluster.run(3_000)
        cluster.checkWeights()
        cluster.invariants.checkConverged()
        expectThat(cluster.nodes.map { it.log?.status()?.members?.count { member -> member.voter } })
            .isEqualTo(List(3) { 3 })
    }

    /** More seeds: `-Dentry.weight.seeds=60`. */
    @TestFactory
    fun `overlapping faults between large entries`() = (0L until seeds).map { seed ->
        DynamicTest.dynamicTest("seed $seed") {
            val cluster = Cluster(
                3,
                seed,
                settings = ConsensusSettings(),
                snapshotEntries = SNAPSHOT_ENTRIES,
                segmentBytes = SEGMENT_BYTES,
                retainedEntries = 1,
            )
            cluster.awaitLeader()
            repeat(SOAK_FAULTS) {
                cluster.random.nextInt(3).let { if (it == 0) cluster.links.reset() }
                Fault.entries.random(cluster.random).inject(cluster, cluster.nodes.random(cluster.random))
                cluster.nodes.random(cluster.random).diskDelayMs = cluster.random.nextDouble(0.0, STALL_MS)
                repeat(CHANGES_PER_FAULT) {
                    cluster.nodes.forEach { node -> cluster.propose(node, "$content${cluster.nowMs}") }
                    cluster.run(60)
                    cluster.checkWeights()
                }
                cluster.admitNewMembers()
            }
            cluster.endStalls()
            cluster.recoverFromFaults()
            cluster.change(1)
            cluster.run(3_000)
            cluster.checkWeights()
            cluster.invariants.checkConverged()
        }
    }

    @Test
    fun `a leader whose disk takes nothing refuses changes before its memory is full, and takes them afterwards`() {
        val cluster = Cluster(3, seed = 1, settings = ConsensusSettings(), retainedEntries = 1)
        val leader = cluster.awaitLeader()
        leader.diskDelayMs = 60_000.0
        val errors = ArrayList<ProposeError?>()
        repeat(CHANGES) {
            leader.log!!.propose(content.encodeToByteArray()) { result -> errors += result.getError() }
            cluster.run(50)
            cluster.checkWeights()
        }
        expectThat(errors).contains(ProposeError.Overloaded)
        leader.diskDelayMs = 0.0
        cluster.run(60_000)
        cluster.change(1)
    }

    @Test
    fun `the file of a long queue of writes is read without holding it as one frame`() {
        val files = TestFileSystem()
        val firstStart = FirstStart.Bootstrap("m0", mapOf("m0" to "h0:1"))
        val entries = (1L..10L).map { Entry(it, 1, EntryKind.COMMAND, ByteArray(ENTRY_BYTES)) }
        LogStorage.open(files, firstStart).getOrElse { error(it.message) }.use { storage ->
            storage.persist(
                listOf(Persist(0, HardState(1, "m0"))) + entries.map {
                    Persist(it.index, entries = listOf(it))
                },
            )
        }
        val largest = files.list().maxOf { files.read(it).size }
        expectThat(largest).isLessThan(SEGMENT_BYTES + 2 * ENTRY_BYTES)
        LogStorage.open(files, firstStart).getOrElse { error(it.message) }.use { storage ->
            expectThat(storage.recovered.log.lastIndex).isEqualTo(10)
        }
    }

    private companion object {
        const val CHANGES = 90
        const val STALL_MS = 400.0
        const val SOAK_FAULTS = 12
        const val CHANGES_PER_FAULT = 8
        val seeds: Long = System.getProperty("entry.weight.seeds", "4").toLong()

        /** A configuration of 1,515 routes. */
        const val ENTRY_BYTES = 461_000
        const val SNAPSHOT_ENTRIES = 200L
        const val SEGMENT_BYTES = 2 shl 20

        /** A quarter of the 96 MB heap of a control process. */
        const val MAX_HELD_BYTES = 24L shl 20

        /** A quarter of the 128 MB disk of a control process. */
        const val MAX_DISK_BYTES = 32L shl 20
        val content = "x".repeat(ENTRY_BYTES)

        fun Cluster.aFollower(): Cluster.Node = awaitLeader().let { leader -> nodes.first { it !== leader } }

        fun Cluster.endStalls() = nodes.forEach { it.diskDelayMs = 0.0 }

        /** Commits [count] changes, each sent again until it is acknowledged. */
        fun Cluster.change(count: Int) = repeat(count) {
            val target = invariants.acknowledgedCount + 1
            runUntil("a change is acknowledged", limitMs = 8_500) {
                leader()?.let { propose(it, content + target) }
                run(60)
                checkWeights()
                invariants.acknowledgedCount >= target
            }
        }

        fun Cluster.checkWeights() = nodes.forEach { node ->
            expectThat(node.files.totalBytes).isLessThan(MAX_DISK_BYTES)
            val state = node.log?.consensusState ?: return@forEach
            expectThat(state.log.entries.sumOf { it.payload.size.toLong() }).isLessThan(MAX_HELD_BYTES)
            val leader = state.role as? LeaderState ?: return@forEach
            leader.progress.values.filter { it.snapshotTransfer == null }.forEach { peer ->
                // Until a peer has replied, a new leader has sent it nothing before the first entry of its own term.
                val sentFrom = if (peer.matchIndex == 0L) leader.firstIndex else peer.matchIndex + 1
                if (sentFrom <= state.log.baseIndex) return@forEach
                val inFlight = (sentFrom until peer.nextIndex).sumOf { state.log.entry(it)!!.payload.size }
                expectThat(inFlight).isLessThan(MAX_IN_FLIGHT_BYTES)
            }
        }

        /** What a leader may hold in its send queue for one unresponsive peer. */
        const val MAX_IN_FLIGHT_BYTES = 6 shl 20
    }
}
