package org.bramleyspur.log

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.EdgeCasesMode
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.RandomDistribution
import net.jqwik.api.ShrinkingMode
import org.bramleyspur.log.consensus.Candidate
import org.bramleyspur.log.consensus.ConsensusState
import org.bramleyspur.log.consensus.LeaderState
import org.bramleyspur.log.consensus.PreCandidate
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.Arguments
import org.junit.jupiter.params.provider.MethodSource

/** A step of the protocol that is reached when the state of any member satisfies [reached]. */
enum class ProtocolStep(internal val reached: (ConsensusState) -> Boolean) {
    PRE_VOTE_REQUESTED({ it.role is PreCandidate }),
    VOTE_REQUESTED({ it.role is Candidate }),
    ELECTION_WON({ (it.role as? LeaderState)?.ready == false }),
    LEADER_READY({ (it.role as? LeaderState)?.ready == true }),
    ENTRY_APPENDED({ (it.role as? LeaderState)?.ready == true && it.log.lastIndex > it.commitIndex }),
    FOLLOWER_WRITING({ it.role !is LeaderState && it.pendingWrites.isNotEmpty() && it.commitIndex > 5 }),
    ENTRIES_COMMITTED({ it.commitIndex > 10 }),
    SNAPSHOT_TAKEN({ it.snapshot != null }),
    SNAPSHOT_SENDING({ state ->
        (state.role as? LeaderState)?.progress?.values?.any { it.snapshotTransfer != null } ?: false
    }),
    SNAPSHOT_RECEIVING({ it.incomingSnapshot != null }),
    LEARNER_ADDED({ it.membership.learners.isNotEmpty() }),
    VOTER_REMOVED({ it.membership.voters.size == 4 }),
    LEARNER_PROMOTED({ state ->
        state.membership.voters.keys.any { it.length > 2 } && state.membership.voters.size == 5
    }),
}

/** One element of a random fault sequence. */
data class FaultOperation(val fault: Fault, val node: Int, val resetsLinks: Boolean, val waitMs: Int)

/** Guards against violations of the [ClusterInvariants] by any fault at any step, and by random sequences of faults. */
class FaultTableTest {
    private var nextPayloadNumber = 0

    private fun Cluster.proposeEverywhere(count: Int) = repeat(count) {
        nodes.forEach { propose(it, "p${nextPayloadNumber++}") }
    }

    private fun Cluster.checkRecovery() {
        recoverFromFaults()
        val acknowledgedBefore = invariants.acknowledgedCount
        runUntil("a commit after the faults") {
            proposeEverywhere(1)
            run(50)
            invariants.acknowledgedCount > acknowledgedBefore
        }
        run(1_500)
        invariants.checkConverged()
    }

    /** Proposes continuously, and for the later steps wipes a disk so that a member replacement takes place. */
    private fun Cluster.runUntilReached(step: ProtocolStep) {
        val beforeReplacement = step < ProtocolStep.SNAPSHOT_SENDING
        if (!beforeReplacement) {
            awaitLeader()
            proposeEverywhere(60)
            run(500)
            nodes.first { it !== leader() }.wipeDisk(restartMs = 1_000)
        }
        val reached = (0 until 400).any {
            if (it % 5 == 0) proposeEverywhere(1)
            if (!beforeReplacement) admitNewMembers()
            runActionsUntil(limitMs = 20) { nodes.any { it.log?.consensusState?.let(step.reached) ?: false } }
        }
        check(reached) { "step $step was not reached" }
    }

    @ParameterizedTest(name = "{0} at {1}, at the leader: {2}")
    @MethodSource("cases")
    fun `every fault at every step`(fault: Fault, step: ProtocolStep, injectAtLeader: Boolean) {
        val cluster = Cluster(5, seed = fault.ordinal * 100L + step.ordinal)
        cluster.runUntilReached(step)
        val target = cluster.nodes.firstOrNull { it.log?.consensusState?.role is LeaderState == injectAtLeader }
        fault.inject(cluster, target ?: cluster.nodes[1])
        repeat(10) {
            cluster.proposeEverywhere(2)
            cluster.run(250)
        }
        cluster.checkRecovery()
    }

    @Property(tries = 150, seed = "20261204", shrinking = ShrinkingMode.OFF, edgeCases = EdgeCasesMode.NONE)
    fun `sequences on three members`(@ForAll("sequences") operations: List<FaultOperation>, @ForAll seed: Long) =
        runSequence(3, operations, seed)

    @Property(tries = 80, seed = "20261205", shrinking = ShrinkingMode.OFF, edgeCases = EdgeCasesMode.NONE)
    fun `sequences on five members`(@ForAll("sequences") operations: List<FaultOperation>, @ForAll seed: Long) =
        runSequence(5, operations, seed)

    private fun runSequence(size: Int, operations: List<FaultOperation>, seed: Long) {
        val cluster = Cluster(size, seed)
        for (operation in operations) {
            cluster.proposeEverywhere(3)
            if (operation.resetsLinks) cluster.links.reset()
            operation.fault.inject(cluster, cluster.nodes[operation.node % size])
            cluster.run(operation.waitMs)
            cluster.admitNewMembers()
        }
        System.err.println()
        cluster.checkRecovery()
    }

    @Provide
    fun sequences(): Arbitrary<List<FaultOperation>> = Combinators.combine(
        Arbitraries.of(*Fault.entries.toTypedArray()),
        Arbitraries.integers().between(0, 4),
        Arbitraries.of(true, true, false),
        Arbitraries.integers().between(0, 3_000).withDistribution(RandomDistribution.uniform()),
    ).`as` { fault, node, resetsLinks, waitMs -> FaultOperation(fault, node, resetsLinks, waitMs) }.list().ofSize(40)

    companion object {
        @JvmStatic
        fun cases(): List<Arguments> = Fault.entries.flatMap { fault ->
            ProtocolStep.entries.flatMap { step -> listOf(true, false).map { Arguments.of(fault, step, it) } }
        }
    }
}
