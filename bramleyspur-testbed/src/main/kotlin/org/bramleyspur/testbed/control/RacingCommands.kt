package org.bramleyspur.testbed.control

import org.bramleyspur.protocol.SubmitReply
import java.util.concurrent.Callable
import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors
import java.util.concurrent.Future

/**
 * Two operators race with [ROUNDS] commands each while the leader is killed three times. In each second round both
 * expect the same revision. Each command drains an instance of its own, so that a second run would be refused.
 */
internal class RacingCommands(private val cluster: ControlCluster, private val report: ProofReport) {
    private class Sent(val id: String, val statements: String, val expected: Long, val reply: SubmitReply?)

    private val drivers = List(RACERS) { ControlDriver(cluster.addresses) }
    private val sent = mutableListOf<Sent>()
    private var differing = 0

    fun run() {
        val threads = Executors.newFixedThreadPool(RACERS + 1)
        try {
            repeat(ROUNDS) { round ->
                val killed = if (round in KILL_ROUNDS) threads.submit { killLeader() } else null
                race(threads, round)
                killed?.get()
            }
            verify()
        } finally {
            threads.shutdownNow()
            drivers.forEach { it.close() }
        }
    }

    private fun killLeader() = ControlDriver(cluster.addresses).use { driver ->
        val leader = cluster.at(driver.leader())
        leader.program.kill()
        Thread.sleep(RESTART_DELAY_MS)
        leader.program.start()
    }

    private fun race(threads: ExecutorService, round: Int) {
        val expected = if (round % 2 == 0) checkNotNull(drivers[0].query("show control")).reply.revision else 0
        val racing: List<Future<Sent>> = drivers.mapIndexed { racer, driver ->
            threads.submit(Callable { submit(driver, "$racer-$round", expected) })
        }
        sent += racing.map { it.get() }
    }

    private fun submit(driver: ControlDriver, id: String, expected: Long): Sent {
        val statements = "drain instance 'race-$id'"
        return Sent("race-$id", statements, expected, driver.submit("race-$id", statements, expected))
    }

    private fun verify() {
        val (accepted, refused) = sent.filter { it.reply != null }
            .partition { it.reply?.outcome == SubmitReply.Outcome.ACCEPTED }
        promise("every command is answered", sent.all { it.reply != null }, "${sent.size} commands")
        val drained = drivers[0].rows("show configuration").flatten()
            .mapNotNull { Regex("drain instance '?(race-[0-9-]+)'?").find(it)?.groupValues?.get(1) }
        verifyForce(accepted, refused, drained)
        verifyRaces(accepted)
        verifyResends()
        report.figure("a", "calls sent again after a lost or open answer", "${drivers.sumOf { it.resends }}")
    }

    private fun verifyForce(accepted: List<Sent>, refused: List<Sent>, drained: List<String>) {
        val changes = drivers[0].rows("show changes").groupingBy { it[CHANGE_ID] }.eachCount()
        val once = accepted.count { it.id in drained && changes[it.id] == 1 }
        promise("every accepted command is in force once", once == accepted.size, "$once of ${accepted.size}")
        val absent = refused.count { it.id !in drained && it.id !in changes }
        promise("every refused command is absent", absent == refused.size, "$absent of ${refused.size}")
    }

    private fun verifyRaces(accepted: List<Sent>) {
        val winners = accepted.filter { it.expected != 0L }.groupBy { it.expected }
        val doubled = winners.count { it.value.size > 1 }
        promise("equal expected revisions have one winner", doubled == 0, "${winners.size} races, $doubled doubled")
    }

    private fun verifyResends() {
        sent.forEach { first ->
            val again = drivers[1].submit(first.id, first.statements, first.expected)
            if (again?.outcome != first.reply?.outcome || again?.revision != first.reply?.revision) differing += 1
        }
        promise("each command id has one answer", differing == 0, "${sent.size} resends, $differing differ")
    }

    private fun promise(text: String, kept: Boolean, detail: String) = report.promise("a", text, kept, detail)

    private companion object {
        const val RACERS = 2
        const val ROUNDS = 250
        const val CHANGE_ID = 2
        const val RESTART_DELAY_MS = 500L
        val KILL_ROUNDS = setOf(60, 130, 200)
    }
}
