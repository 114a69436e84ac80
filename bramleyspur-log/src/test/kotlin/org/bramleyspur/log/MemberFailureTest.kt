package org.bramleyspur.log

import com.github.michaelbull.result.getError
import org.bramleyspur.log.consensus.ProposeError
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo

/**
 * Guards against a member that runs on after an error in the midst of an event, for instance for want of memory: its
 * state in memory may count entries as written or applied that are not.
 */
class MemberFailureTest {
    private class Case(val call: String, val atLeader: Boolean, val failure: Throwable)

    private val cases = listOf("apply", "snapshot", "restore", "send").flatMap { call ->
        listOf(true, false).flatMap { atLeader ->
            listOf(OutOfMemoryError("simulated"), StackOverflowError(), IllegalStateException("simulated"))
                .map { Case(call, atLeader, it) }
        }
    }.filterNot { it.call == "restore" && it.atLeader }

    @TestFactory
    fun `a member that fails is opened again and has everything that was acknowledged`() = cases.map { case ->
        val role = if (case.atLeader) "leader" else "follower"
        DynamicTest.dynamicTest("${case.failure.javaClass.simpleName} in ${case.call} at the $role") {
            val cluster = Cluster(3, seed = 1, reopenDelayMs = REOPEN_DELAY_MS)
            cluster.commit(10)
            val leader = cluster.awaitLeader()
            val failing = if (case.atLeader) leader else cluster.nodes.first { it !== leader }
            if (case.call == "restore") cluster.isolate(failing)
            failing.failure = case.call to case.failure
            cluster.commit(60)
            cluster.links.reset()
            cluster.runUntil("the member has failed") { failing.failure == null }
            cluster.commit(10)
            cluster.runUntil("the member is open again") { failing.log != null }
            cluster.run(3_000)
            cluster.invariants.checkConverged()
        }
    }

    /** In `send`, the proposal has been accepted before the error. */
    @ParameterizedTest
    @ValueSource(strings = ["apply", "send"])
    fun `the callers of a member that fails learn once that the outcome is unknown`(call: String) {
        val cluster = Cluster(3, seed = 1, reopenDelayMs = REOPEN_DELAY_MS)
        val leader = cluster.awaitLeader()
        val errors = ArrayList<ProposeError?>()
        repeat(2) { leader.log!!.propose(ByteArray(1)) { errors += it.getError() } }
        leader.failure = call to OutOfMemoryError("simulated")
        cluster.run(3_000)
        expectThat(leader.failure).isEqualTo(null)
        expectThat(errors).containsExactly(ProposeError.OutcomeUnknown, ProposeError.OutcomeUnknown)
        cluster.commit(1)
    }

    private companion object {
        const val REOPEN_DELAY_MS = 1_000

        fun Cluster.commit(count: Int) = repeat(count) {
            val target = invariants.acknowledgedCount + 1
            runUntil("a commit") {
                leader()?.let { propose(it, "c$target") }
                run(20)
                invariants.acknowledgedCount >= target
            }
        }
    }
}
