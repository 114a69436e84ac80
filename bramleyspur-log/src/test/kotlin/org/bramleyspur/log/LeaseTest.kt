package org.bramleyspur.log

import org.bramleyspur.log.consensus.ConsensusSettings
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

/** Guards against two valid leases, and needless elections, under clock drift, paused leaders and lost connections. */
class LeaseTest {
    /** The drift is large enough that a lease without the drift allowance would outlast an election. */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5, 6, 7, 8])
    fun `a leader with a slow clock loses its lease before another one has it`(seed: Long) {
        val settings = ConsensusSettings(maxElectionTimeoutMs = 520, clockDriftPercent = 20)
        val cluster = Cluster(3, seed, settings, clockRates = listOf(1.0, 1.2, 1.2))
        val leader = cluster.nodes[0]
        repeat(20) {
            if (cluster.awaitLeader() !== leader) {
                cluster.isolate(cluster.awaitLeader())
                cluster.run(700)
                cluster.links.disconnected.clear()
                cluster.run(300)
            }
        }
        expectThat(cluster.awaitLeader()).isEqualTo(leader)
        cluster.isolate(leader)
        cluster.runUntil("another leader") { cluster.nodes.drop(1).any { it.log!!.leaseValid(it.clockMs()) } }
    }

    @Test
    fun `a paused leader has no lease when it runs again`() {
        val cluster = Cluster(3, seed = 1)
        val leader = cluster.awaitLeader()
        leader.pause()
        cluster.run(3_000)
        expectThat(leader.log!!.leaseValid(leader.clockMs())).isFalse()
        expectThat(cluster.nodes.any { it.log!!.leaseValid(it.clockMs()) }).isTrue()
    }

    @Test
    fun `a member that receives nothing does not depose the leader`() {
        val cluster = Cluster(3, seed = 2)
        val leader = cluster.awaitLeader()
        val term = leader.log!!.status().term
        val unreachableFollower = cluster.nodes.first { it !== leader }
        cluster.nodes.forEach { cluster.disconnect(it, unreachableFollower) }
        cluster.run(5_000)
        cluster.links.disconnected.clear()
        cluster.run(1_000)
        expectThat(leader.log!!.status()).and {
            get { this.term }.isEqualTo(term)
            get { role }.isEqualTo(MemberRole.LEADER)
        }
    }
}
