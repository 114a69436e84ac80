package org.bramleyspur.testbed.control

import org.bramleyspur.core.settings.Address

/** Checks that a follower that missed [missedChanges] changes catches up, by making it the leader afterwards. */
internal class CatchUp(
    private val cluster: ControlCluster,
    private val report: ProofReport,
    private val missedChanges: Int,
    private val acrossSnapshot: Boolean,
) {
    private val label = if (acrossSnapshot) "$missedChanges behind, snapshot" else "$missedChanges behind, log"

    fun run() = OperatorClient(cluster.addresses).use { client ->
        val leader = client.leader()
        val laggingMember = cluster.members.first { it.address != leader }
        laggingMember.process.kill()
        repeat(missedChanges) {
            client.submit("behind-$missedChanges-$it", "drain instance 'behind-$missedChanges-$it'")
        }
        val logLength = laggingMember.process.log.length()
        val startNs = System.nanoTime()
        laggingMember.process.start()
        val caughtUp = waitUntil(CATCH_UP_TIMEOUT_SECONDS) { lag(client, laggingMember.address) == 0L }
        record("the member catches up", caughtUp, "after %.0f ms including its start".format(elapsedMs(startNs)))
        val snapshotInstalled =
            "state restored from the leader's snapshot" in laggingMember.process.log.readText().drop(logLength.toInt())
        record(
            "it uses the expected source",
            snapshotInstalled == acrossSnapshot,
            "snapshot installed: $snapshotInstalled",
        )
        verifyState(client, laggingMember.address)
    }

    private fun verifyState(client: OperatorClient, address: Address) {
        val stateBefore = state(client)
        val isLeader = (1..MAX_LEADER_CHANGES).any { moveLeadership(client, address) }
        record("it leads after the others were killed in turn", isLeader, "$address")
        record(
            "it has the complete state",
            isLeader && state(client) == stateBefore,
            "${stateBefore.first().size} statements",
        )
        val first = client.submit("behind-$missedChanges-0", "drain instance 'behind-$missedChanges-0'")
        record("it has the recorded answers", first?.repeated == true, "${first?.message}")
    }

    private fun state(client: OperatorClient) = listOf(client.rows("show configuration"), client.rows("show changes"))

    /** Kills the leader unless it is the member at [address]; returns whether that member is the leader afterwards. */
    private fun moveLeadership(client: OperatorClient, address: Address): Boolean {
        val leader = client.leader()
        if (leader == address) return true
        val killedMember = cluster.memberAt(leader)
        killedMember.process.kill()
        val newLeader = client.leader()
        killedMember.process.start()
        waitUntil(CATCH_UP_TIMEOUT_SECONDS) { lag(client, leader) == 0L }
        return newLeader == address
    }

    private fun lag(client: OperatorClient, address: Address): Long? = client.rows("show control")
        .firstOrNull { it[ControlColumns.ADDRESS] == "$address" }
        ?.get(ControlColumns.LAG)?.toLongOrNull()

    private fun record(text: String, holds: Boolean, detail: String) =
        report.record("d", "$label: $text", holds, detail)

    private companion object {
        const val CATCH_UP_TIMEOUT_SECONDS = 30
        const val MAX_LEADER_CHANGES = 12
    }
}
