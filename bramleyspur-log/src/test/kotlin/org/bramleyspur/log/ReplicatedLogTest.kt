package org.bramleyspur.log

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import org.bramleyspur.log.consensus.MembershipChange
import org.bramleyspur.log.consensus.ProposeError
import org.bramleyspur.log.storage.FirstStart
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNull
import strikt.assertions.isTrue

/** Guards against lost entries and wrong results in normal operation: commits, restarts, snapshots and membership. */
class ReplicatedLogTest {
    private fun Cluster.commit(count: Int) {
        val target = invariants.acknowledgedCount + count
        repeat(count) { propose(awaitLeader(), "c$target-$it") }
        runUntil("$count commits") { invariants.acknowledgedCount >= target }
    }

    @ParameterizedTest
    @ValueSource(ints = [1, 3, 5, 7])
    fun `commits on every member and keeps the entries over a restart of all members`(size: Int) {
        val cluster = Cluster(size, seed = 1)
        cluster.commit(50)
        cluster.nodes.forEach { it.crash(UnsyncedWrites.DROPPED, restartMs = 100) }
        cluster.run(200)
        cluster.commit(1)
        cluster.run(500)
        cluster.invariants.checkConverged()
        expectThat(cluster.nodes.map { it.log!!.memberId }).isEqualTo(List(size) { "m$it" })
    }

    @Test
    fun `a follower refuses proposals and names the leader`() {
        val cluster = Cluster(3, seed = 2)
        val leader = cluster.awaitLeader()
        cluster.run(200)
        var result: Result<Long, ProposeError>? = null
        cluster.nodes.first { it !== leader }.log!!.propose(ByteArray(1)) { result = it }
        cluster.run(50)
        expectThat(result!!.getError()).isA<ProposeError.NotLeader>().get { this.leader?.address }
            .isEqualTo(leader.address)
    }

    @Test
    fun `proposals to a partitioned leader fail with an unknown outcome`() {
        val cluster = Cluster(3, seed = 3)
        val leader = cluster.awaitLeader()
        cluster.isolate(leader)
        var result: Result<Long, ProposeError>? = null
        leader.log!!.propose(ByteArray(1)) { result = it }
        cluster.run(3_000)
        expectThat(result!!.getError()).isEqualTo(ProposeError.OutcomeUnknown)
        expectThat(cluster.awaitLeader()).isNotEqualTo(leader)
    }

    @Test
    fun `a member that missed compacted entries gets the snapshot, and resumes when chunks are lost`() {
        val cluster = Cluster(3, seed = 4)
        val laggingNode = cluster.nodes.first { it !== cluster.awaitLeader() }
        laggingNode.crash(UnsyncedWrites.DROPPED, restartMs = null)
        cluster.commit(100)
        cluster.links.lossPercent = 20
        laggingNode.start(FirstStart.Join)
        cluster.runUntil("caught up", limitMs = 30_000) { laggingNode.applied == cluster.leader()?.applied }
        expectThat(laggingNode.log!!.status().snapshotIndex >= 80).isTrue()
    }

    @Test
    fun `a member with a wiped disk rejoins under a new id and replaces its old one`() {
        val cluster = Cluster(3, seed = 5)
        cluster.commit(60)
        val wiped = cluster.nodes.first { it !== cluster.leader() }
        val oldId = wiped.log!!.memberId
        wiped.wipeDisk(restartMs = 100)
        cluster.run(3_000)
        expectThat(wiped.log!!.status().role).isEqualTo(MemberRole.LEARNER)
        cluster.recoverFromFaults()
        expectThat(wiped.log!!.memberId).isNotEqualTo(oldId)
        cluster.commit(1)
        cluster.run(500)
        cluster.invariants.checkConverged()
    }

    @Test
    fun `a responsive voter is removed only after its replacement is promoted`() {
        val cluster = Cluster(3, seed = 7)
        val leader = cluster.awaitLeader()
        val replaced = cluster.nodes.first { it !== leader }
        val spare = cluster.Node(3).also { cluster.nodes += it }
        spare.start(FirstStart.Join)
        val change = MembershipChange.AddLearner(spare.log!!.memberId, spare.address, replaced.log!!.memberId)
        leader.log!!.changeMembership(change) { }
        expectThat(cluster.runActionsUntil(2_000) { leader.log!!.status().members.count { it.voter } == 4 }).isTrue()
        cluster.runUntil("replaced") { leader.log!!.status().members.map { it.address }.size == 3 }
        expectThat(leader.log!!.status().members.map { it.address }.toSet())
            .isEqualTo(cluster.nodes.minus(replaced).map { it.address }.toSet())
    }

    @Test
    fun `invalid membership changes are refused, and another member leads after the leader is removed`() {
        val cluster = Cluster(3, seed = 6)
        val leader = cluster.awaitLeader()
        val id = leader.log!!.memberId
        val results = mutableListOf<ProposeError?>()
        val changes = listOf(
            MembershipChange.Promote("x"),
            MembershipChange.Remove("x"),
            MembershipChange.AddLearner(id, "h9:1"),
            MembershipChange.AddLearner("a b", "h9:1"),
            MembershipChange.AddLearner("x", "h9:1", replaces = "y"),
            MembershipChange.Remove(id),
            MembershipChange.AddLearner("x", "h9:1"),
        )
        changes.forEach { change -> leader.log!!.changeMembership(change) { results += it.getError() } }
        cluster.run(1_500)
        repeat(5) { expectThat(results[it]).isA<ProposeError.InvalidChange>() }
        expectThat(results[5]).isEqualTo(ProposeError.ChangeInProgress)
        expectThat(results[6]).isNull()
        expectThat(cluster.awaitLeader()).isNotEqualTo(leader)
        expectThat(cluster.awaitLeader().log!!.status().members.size).isEqualTo(2)
    }
}
