package org.bramleyspur.log

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory

/**
 * Guards against a member that returns with an older copy of its disk and stays behind, takes the lead without what was
 * acknowledged, or changes it. A majority of the members has kept its disks, among them one with each acknowledged
 * entry; without that, entries can be lost as with a lost disk.
 */
class OlderDiskTest {
    /** [missed] entries are acknowledged after the copy; [leaderStays] whether the leader stays the same meanwhile. */
    private class Case(val name: String, val atLeader: Boolean, val missed: Int, val leaderStays: Boolean)

    private val cases = listOf(0, 3, 60).flatMap { missed ->
        listOf(
            Case("a follower, $missed entries older", atLeader = false, missed, leaderStays = true),
            Case("a follower, $missed entries older, after another election", atLeader = false, missed, false),
            Case("the leader, $missed entries older", atLeader = true, missed, leaderStays = false),
        )
    }

    @TestFactory
    fun `a member with an older disk has everything that was acknowledged`() = cases.flatMap { case ->
        SEEDS.map { case to it }
    }.map { (case, seed) ->
        DynamicTest.dynamicTest("${case.name}, seed $seed") {
            val cluster = Cluster(3, seed)
            cluster.commit(10)
            val leader = cluster.awaitLeader()
            val member = if (case.atLeader) leader else cluster.nodes.first { it !== leader }
            val copy = member.files.copyOfSynced()
            cluster.commit(case.missed)
            cluster.run(SETTLE_MS)
            if (!case.leaderStays && !case.atLeader) leader.crash(UnsyncedWrites.DROPPED, restartMs = RESTART_MS)
            member.replaceDisk(copy, RESTART_MS)
            // Too few entries for a snapshot, which the leader would send whatever it knows of the member.
            cluster.commit(2)
            cluster.run(RECOVERY_MS)
            cluster.invariants.checkConverged()
        }
    }

    private companion object {
        val SEEDS = 1L..20L
        const val RESTART_MS = 300

        /** All members have applied what was acknowledged. */
        const val SETTLE_MS = 500
        const val RECOVERY_MS = 5_000

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
