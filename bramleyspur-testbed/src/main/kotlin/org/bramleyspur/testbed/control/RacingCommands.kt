package org.bramleyspur.testbed.control

import org.bramleyspur.protocol.SubmitReply
import java.util.concurrent.Callable
import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors
import java.util.concurrent.Future

/**
 * Two operators submit [ROUNDS] commands each at the same time while the leader is killed three times. In every second
 * round both expect the same revision. Each command drains a different instance, so a second run would be refused.
 */
internal class RacingCommands(private val cluster: ControlCluster, private val report: ProofReport) {
    private class SentCommand(
        val id: String,
        val statements: String,
        val expectedRevision: Long,
        val reply: SubmitReply?,
    )

    private val clients = List(OPERATORS) { OperatorClient(cluster.addresses) }
    private val commands = mutableListOf<SentCommand>()
    private var differingReplies = 0

    fun run() {
        val executor = Executors.newFixedThreadPool(OPERATORS + 1)
        try {
            repeat(ROUNDS) { round ->
                val leaderKill = if (round in KILL_ROUNDS) executor.submit { killLeader() } else null
                race(executor, round)
                leaderKill?.get()
            }
            verify()
        } finally {
            executor.shutdownNow()
            clients.forEach { it.close() }
        }
    }

    private fun killLeader() = OperatorClient(cluster.addresses).use { client ->
        val leader = cluster.memberAt(client.leader())
        leader.process.kill()
        Thread.sleep(RESTART_DELAY_MS)
        leader.process.start()
    }

    private fun race(executor: ExecutorService, round: Int) {
        val expectedRevision = if (round % 2 == 0) checkNotNull(clients[0].query("show control")).reply.revision else 0
        val submissions: List<Future<SentCommand>> = clients.mapIndexed { operatorIndex, client ->
            executor.submit(Callable { submit(client, "$operatorIndex-$round", expectedRevision) })
        }
        commands += submissions.map { it.get() }
    }

    private fun submit(client: OperatorClient, id: String, expectedRevision: Long): SentCommand {
        val statements = "drain instance 'race-$id'"
        return SentCommand(
            "race-$id",
            statements,
            expectedRevision,
            client.submit("race-$id", statements, expectedRevision),
        )
    }

    private fun verify() {
        val (accepted, refused) = commands.filter { it.reply != null }
            .partition { it.reply?.outcome == SubmitReply.Outcome.ACCEPTED }
        record("every command is answered", commands.all { it.reply != null }, "${commands.size} commands")
        val drained = clients[0].rows("show configuration").flatten()
            .mapNotNull { Regex("drain instance '?(race-[0-9-]+)'?").find(it)?.groupValues?.get(1) }
        verifyEffects(accepted, refused, drained)
        verifySingleWinner(accepted)
        verifyResends()
        report.recordMeasurement("a", "calls resent after a lost or open answer", "${clients.sumOf { it.retries }}")
    }

    private fun verifyEffects(accepted: List<SentCommand>, refused: List<SentCommand>, drained: List<String>) {
        val changes = clients[0].rows("show changes").groupingBy { it[CHANGE_ID_COLUMN] }.eachCount()
        val inForceOnce = accepted.count { it.id in drained && changes[it.id] == 1 }
        record(
            "every accepted command is in force once",
            inForceOnce == accepted.size,
            "$inForceOnce of ${accepted.size}",
        )
        val absent = refused.count { it.id !in drained && it.id !in changes }
        record("every refused command is absent", absent == refused.size, "$absent of ${refused.size}")
    }

    private fun verifySingleWinner(accepted: List<SentCommand>) {
        val winners = accepted.filter { it.expectedRevision != 0L }.groupBy { it.expectedRevision }
        val contested = winners.count { it.value.size > 1 }
        record(
            "equal expected revisions have one winner",
            contested == 0,
            "${winners.size} races, $contested with several winners",
        )
    }

    private fun verifyResends() {
        commands.forEach { sent ->
            val again = clients[1].submit(sent.id, sent.statements, sent.expectedRevision)
            if (again?.outcome != sent.reply?.outcome || again?.revision != sent.reply?.revision) differingReplies += 1
        }
        record(
            "each command id has one answer",
            differingReplies == 0,
            "${commands.size} resends, $differingReplies differ",
        )
    }

    private fun record(text: String, holds: Boolean, detail: String) = report.record("a", text, holds, detail)

    private companion object {
        const val OPERATORS = 2
        const val ROUNDS = 250
        const val CHANGE_ID_COLUMN = 2
        const val RESTART_DELAY_MS = 500L
        val KILL_ROUNDS = setOf(60, 130, 200)
    }
}
