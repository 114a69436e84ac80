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
import org.bramleyspur.log.consensus.Leading
import org.bramleyspur.log.consensus.PreCandidate
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.Arguments
import org.junit.jupiter.params.provider.MethodSource

/** A step of the protocol, recognised by the state of any one member. */
enum class ProtocolStep(internal val reached: (ConsensusState) -> Boolean) {
    PRE_VOTE({ it.role is PreCandidate }),
    VOTE({ it.role is Candidate }),
    WON({ (it.role as? Leading)?.ready == false }),
    READY({ (it.role as? Leading)?.ready == true }),
    APPENDED({ (it.role as? Leading)?.ready == true && it.log.lastIndex > it.commit }),
    WRITING({ it.role !is Leading && it.writes.isNotEmpty() && it.commit > 5 }),
    COMMITTED({ it.commit > 10 }),
    SNAPSHOT({ it.snapshot != null }),
    TRANSFER({ state -> (state.role as? Leading)?.progress?.values?.any { it.transfer != null } ?: false }),
    RECEIVING({ it.incoming != null }),
    LEARNER_ADDED({ it.membership.learners.isNotEmpty() }),
    REMOVED({ it.membership.voters.size == 4 }),
    PROMOTED({ state -> state.membership.voters.keys.any { it.length > 2 } && state.membership.voters.size == 5 }),
}

/** One element of a generated sequence. */
data class FaultOp(val fault: Fault, val node: Int, val healsLinks: Boolean, val waitMs: Int)

/** Guards the rules of [Rules] against every fault at every step, and against generated sequences of faults. */
class FaultTableTest {
    private var proposed = 0

    private fun Cluster.proposeEverywhere(count: Int) = repeat(count) {
        nodes.forEach { propose(it, "p${proposed++}") }
    }

    private fun Cluster.checkRecovery() {
        heal()
        val before = rules.acknowledgedCount
        runUntil("a commit after the faults") {
            proposeEverywhere(1)
            run(50)
            rules.acknowledgedCount > before
        }
        run(1_500)
        rules.checkConverged()
    }

    /** Proposes all the time, and empties a disk so that a replacement runs through all its steps. */
    private fun Cluster.reach(step: ProtocolStep) {
        val early = step < ProtocolStep.TRANSFER
        if (!early) {
            awaitLeader()
            proposeEverywhere(60)
            run(500)
            nodes.first { it !== leader() }.emptyDisk(restartMs = 1_000)
        }
        val reached = (0 until 400).any {
            if (it % 5 == 0) proposeEverywhere(1)
            if (!early) admitNewMembers()
            runToAction(limitMs = 20) { nodes.any { it.log?.consensusState?.let(step.reached) ?: false } }
        }
        check(reached) { "step $step was not reached" }
    }

    @ParameterizedTest(name = "{0} at {1}, leader struck: {2}")
    @MethodSource("cases")
    fun `every fault at every step`(fault: Fault, step: ProtocolStep, atLeader: Boolean) {
        val cluster = Cluster(5, seed = fault.ordinal * 100L + step.ordinal)
        cluster.reach(step)
        val struck = cluster.nodes.firstOrNull { it.log?.consensusState?.role is Leading == atLeader }
        fault.strike(cluster, struck ?: cluster.nodes[1])
        repeat(10) {
            cluster.proposeEverywhere(2)
            cluster.run(250)
        }
        cluster.checkRecovery()
    }

    @Property(tries = 150, seed = "20261204", shrinking = ShrinkingMode.OFF, edgeCases = EdgeCasesMode.NONE)
    fun `sequences on three members`(@ForAll("sequences") ops: List<FaultOp>, @ForAll seed: Long) = play(3, ops, seed)

    @Property(tries = 80, seed = "20261205", shrinking = ShrinkingMode.OFF, edgeCases = EdgeCasesMode.NONE)
    fun `sequences on five members`(@ForAll("sequences") ops: List<FaultOp>, @ForAll seed: Long) = play(5, ops, seed)

    private fun play(size: Int, ops: List<FaultOp>, seed: Long) {
        val cluster = Cluster(size, seed)
        for (op in ops) {
            cluster.proposeEverywhere(3)
            if (op.healsLinks) cluster.links.restore()
            op.fault.strike(cluster, cluster.nodes[op.node % size])
            cluster.run(op.waitMs)
            cluster.admitNewMembers()
        }
        System.err.println()
        cluster.checkRecovery()
    }

    @Provide
    fun sequences(): Arbitrary<List<FaultOp>> = Combinators.combine(
        Arbitraries.of(*Fault.entries.toTypedArray()),
        Arbitraries.integers().between(0, 4),
        Arbitraries.of(true, true, false),
        Arbitraries.integers().between(0, 3_000).withDistribution(RandomDistribution.uniform()),
    ).`as` { fault, node, heals, waitMs -> FaultOp(fault, node, heals, waitMs) }.list().ofSize(40)

    companion object {
        @JvmStatic
        fun cases(): List<Arguments> = Fault.entries.flatMap { fault ->
            ProtocolStep.entries.flatMap { step -> listOf(true, false).map { Arguments.of(fault, step, it) } }
        }
    }
}
