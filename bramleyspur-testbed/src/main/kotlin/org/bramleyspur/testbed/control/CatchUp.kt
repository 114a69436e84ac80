package org.bramleyspur.testbed.control

import org.bramleyspur.core.settings.Address

/** Keeps a follower down for [changes] changes, and makes it the leader after it has caught up. */
internal class CatchUp(
    private val cluster: ControlCluster,
    private val report: ProofReport,
    private val changes: Int,
    private val acrossSnapshot: Boolean,
) {
    private val label = if (acrossSnapshot) "$changes behind, snapshot" else "$changes behind, log"

    fun run() = ControlDriver(cluster.addresses).use { driver ->
        val leader = driver.leader()
        val behind = cluster.members.first { it.address != leader }
        behind.program.kill()
        repeat(changes) { driver.submit("behind-$changes-$it", "drain instance 'behind-$changes-$it'") }
        val known = behind.program.log.length()
        val startNs = System.nanoTime()
        behind.program.start()
        val caughtUp = within(CATCH_UP_SECONDS) { lag(driver, behind.address) == 0L }
        promise("the member catches up", caughtUp, "after %.0f ms with the start".format(elapsedMs(startNs)))
        val restored = "state restored from the leader's snapshot" in behind.program.log.readText().drop(known.toInt())
        promise("the way is as intended", restored == acrossSnapshot, "snapshot installed: $restored")
        verifyState(driver, behind.address)
    }

    private fun verifyState(driver: ControlDriver, address: Address) {
        val before = state(driver)
        val leads = (1..MAX_CHANGES_OF_LEADER).any { passLeadership(driver, address) }
        promise("it leads after the others were killed in turn", leads, "$address")
        promise("it has the whole state", leads && state(driver) == before, "${before.first().size} statements")
        val first = driver.submit("behind-$changes-0", "drain instance 'behind-$changes-0'")
        promise("it knows the first answers", first?.repeated == true, "${first?.message}")
    }

    private fun state(driver: ControlDriver) = listOf(driver.rows("show configuration"), driver.rows("show changes"))

    /** Kills the leader unless it is the member at [address]; returns whether that member leads now. */
    private fun passLeadership(driver: ControlDriver, address: Address): Boolean {
        val leader = driver.leader()
        if (leader == address) return true
        val killed = cluster.at(leader)
        killed.program.kill()
        val next = driver.leader()
        killed.program.start()
        within(CATCH_UP_SECONDS) { lag(driver, leader) == 0L }
        return next == address
    }

    private fun lag(driver: ControlDriver, address: Address): Long? = driver.rows("show control")
        .firstOrNull { it[ControlColumns.ADDRESS] == "$address" }
        ?.get(ControlColumns.LAG)?.toLongOrNull()

    private fun promise(text: String, kept: Boolean, detail: String) =
        report.promise("d", "$label: $text", kept, detail)

    private companion object {
        const val CATCH_UP_SECONDS = 30
        const val MAX_CHANGES_OF_LEADER = 12
    }
}
