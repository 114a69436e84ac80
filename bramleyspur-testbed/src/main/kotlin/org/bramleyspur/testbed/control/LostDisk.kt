package org.bramleyspur.testbed.control

import org.bramleyspur.core.settings.Address
import org.bramleyspur.protocol.SubmitReply

/** Columns of `show control`. */
internal object ControlColumns {
    const val ID = 0
    const val ADDRESS = 1
    const val VOTE = 2
    const val LAG = 4
}

/** Checks that a follower whose data directory was deleted joins without a vote and replaces its previous member id. */
internal class LostDisk(private val cluster: ControlCluster, private val report: ProofReport) {
    fun run() = OperatorClient(cluster.addresses).use { client ->
        val leader = client.leader()
        val lostMember = cluster.members.first { it.address != leader }
        val thirdMember = cluster.members.first { it != lostMember && it.address != leader }
        val oldId = idAt(client, lostMember.address)
        val statement = restartWithoutData(lostMember)
        val newId = statement?.let { Regex("admit control '([^']+)'").find(it)?.groupValues?.get(1) }
        record("it joins with a new id", newId != null && newId != oldId, "$oldId, now $newId")
        verifyNoVote(client, thirdMember)
        if (statement != null && newId != null) admit(client, statement, oldId, newId)
        verifyMajorityAfterLoss(client, leader)
    }

    private fun restartWithoutData(lostMember: ClusterMember): String? {
        lostMember.process.kill()
        lostMember.dataDir.deleteRecursively()
        val logLength = lostMember.process.log.length()
        lostMember.process.start()
        var statement: String? = null
        waitUntil(TIMEOUT_SECONDS) {
            val text = lostMember.process.log.readText().drop(logLength.toInt())
            statement = Regex("admit control '[^']+' at '[^']+'").find(text)?.value
            statement != null
        }
        return statement
    }

    /** With one member killed, the leader and the new member together must not form a majority. */
    private fun verifyNoVote(client: OperatorClient, thirdMember: ClusterMember) {
        thirdMember.process.kill()
        val reply = client.submit("no-vote", "drain instance 'no-vote'", timeoutMs = NO_VOTE_TIMEOUT_MS)
        record("it does not vote before it is admitted", reply == null, "answer without majority: ${reply?.outcome}")
        thirdMember.process.start()
        val majorityReply = client.submit("no-vote", "drain instance 'no-vote'")
        record("the command is accepted with the majority", accepted(majorityReply), "${majorityReply?.message}")
    }

    private fun admit(client: OperatorClient, statement: String, oldId: String, newId: String) {
        val text = "$statement in place of '$oldId'"
        val startNs = System.nanoTime()
        val firstReply = client.submit("admit", text)
        record("it is admitted in place of the old one", accepted(firstReply), "${firstReply?.message}")
        val caughtUp = waitUntil(TIMEOUT_SECONDS) {
            val rows = client.rows("show control")
            val row = rows.firstOrNull { it[ControlColumns.ID] == newId }
            rows.none { it[ControlColumns.ID] == oldId } && row?.get(ControlColumns.VOTE) == "voter" &&
                row[ControlColumns.LAG].toLong() == 0L
        }
        record("it catches up and votes, the old one leaves", caughtUp, "after %.0f ms".format(elapsedMs(startNs)))
        val again = client.submit("admit-again", text)
        record("the statement is accepted again", accepted(again) && again?.repeated == true, "${again?.message}")
    }

    private fun verifyMajorityAfterLoss(client: OperatorClient, leader: Address) {
        cluster.memberAt(leader).process.kill()
        val reply = client.submit("after-loss", "drain instance 'after-loss'")
        record("the cluster survives the loss of another member", accepted(reply), "${reply?.message}")
        cluster.memberAt(leader).process.start()
    }

    private fun idAt(client: OperatorClient, address: Address): String =
        client.rows("show control").first { it[ControlColumns.ADDRESS] == "$address" }[ControlColumns.ID]

    private fun accepted(reply: SubmitReply?) = reply?.outcome == SubmitReply.Outcome.ACCEPTED

    private fun record(text: String, holds: Boolean, detail: String) = report.record("c", text, holds, detail)

    private companion object {
        const val TIMEOUT_SECONDS = 20
        const val NO_VOTE_TIMEOUT_MS = 4_000L
    }
}
