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

/** Empties the data folder of a follower, and admits the member in place of its former self. */
internal class LostDisk(private val cluster: ControlCluster, private val report: ProofReport) {
    fun run() = ControlDriver(cluster.addresses).use { driver ->
        val leader = driver.leader()
        val lost = cluster.members.first { it.address != leader }
        val third = cluster.members.first { it != lost && it.address != leader }
        val oldId = idAt(driver, lost.address)
        val statement = restartEmpty(lost)
        val newId = statement?.let { Regex("admit control '([^']+)'").find(it)?.groupValues?.get(1) }
        promise("it joins with a new id", newId != null && newId != oldId, "$oldId, now $newId")
        verifyNoVote(driver, third)
        if (statement != null && newId != null) admit(driver, statement, oldId, newId)
        verifyLoss(driver, leader)
    }

    private fun restartEmpty(lost: ClusterMember): String? {
        lost.program.kill()
        lost.dataDir.deleteRecursively()
        val known = lost.program.log.length()
        lost.program.start()
        var statement: String? = null
        within(START_SECONDS) {
            val text = lost.program.log.readText().drop(known.toInt())
            statement = Regex("admit control '[^']+' at '[^']+'").find(text)?.value
            statement != null
        }
        return statement
    }

    /** With one member killed, the leader and the new member together must not be a majority. */
    private fun verifyNoVote(driver: ControlDriver, third: ClusterMember) {
        third.program.kill()
        val reply = driver.submit("no-vote", "drain instance 'no-vote'", limitMs = NO_VOTE_MS)
        promise("it does not vote before it is admitted", reply == null, "answer without majority: ${reply?.outcome}")
        third.program.start()
        val after = driver.submit("no-vote", "drain instance 'no-vote'")
        promise("the command is accepted with the majority", accepted(after), "${after?.message}")
    }

    private fun admit(driver: ControlDriver, statement: String, oldId: String, newId: String) {
        val text = "$statement in place of '$oldId'"
        val startNs = System.nanoTime()
        val first = driver.submit("admit", text)
        promise("it is admitted in place of the old one", accepted(first), "${first?.message}")
        val caughtUp = within(START_SECONDS) {
            val rows = driver.rows("show control")
            val row = rows.firstOrNull { it[ControlColumns.ID] == newId }
            rows.none { it[ControlColumns.ID] == oldId } && row?.get(ControlColumns.VOTE) == "voter" &&
                row[ControlColumns.LAG].toLong() == 0L
        }
        promise("it catches up and votes, the old one leaves", caughtUp, "after %.0f ms".format(elapsedMs(startNs)))
        val again = driver.submit("admit-again", text)
        promise("the statement is accepted again", accepted(again) && again?.repeated == true, "${again?.message}")
    }

    private fun verifyLoss(driver: ControlDriver, leader: Address) {
        cluster.at(leader).program.kill()
        val reply = driver.submit("after-loss", "drain instance 'after-loss'")
        promise("the cluster survives the loss of another member", accepted(reply), "${reply?.message}")
        cluster.at(leader).program.start()
    }

    private fun idAt(driver: ControlDriver, address: Address): String =
        driver.rows("show control").first { it[ControlColumns.ADDRESS] == "$address" }[ControlColumns.ID]

    private fun accepted(reply: SubmitReply?) = reply?.outcome == SubmitReply.Outcome.ACCEPTED

    private fun promise(text: String, kept: Boolean, detail: String) = report.promise("c", text, kept, detail)

    private companion object {
        const val START_SECONDS = 20
        const val NO_VOTE_MS = 4_000L
    }
}
