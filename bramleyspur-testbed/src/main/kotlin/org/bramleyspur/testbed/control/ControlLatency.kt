package org.bramleyspur.testbed.control

import org.HdrHistogram.Histogram
import java.util.concurrent.TimeUnit

/** Measures the latency of commits, of leader changes and of the propagation of changes. */
internal class ControlLatency(
    private val cluster: ControlCluster,
    private val report: ProofReport,
    private val runs: Int,
) {
    fun run() = OperatorClient(cluster.addresses).use { client ->
        measureCommits(client)
        measurePropagationToEntries(client)
        measurePropagationToSubscribers(client)
        measureLeaderChanges(client)
    }

    private fun measureCommits(client: OperatorClient) {
        repeat(WARM_UP_COMMITS) { submitChange(client, "warm-$it") }
        val histogram = histogram()
        repeat(MEASURED_COMMITS) { histogram.recordDuration { submitChange(client, "commit-$it") } }
        report.recordMeasurement("e", "$MEASURED_COMMITS commits, one outstanding", histogram.text())
    }

    private fun measurePropagationToEntries(client: OperatorClient) {
        repeat(ENTRY_COUNT) { cluster.startEntry("e$it", FIRST_ENTRY_PORT_OFFSET + it) }
        check(waitUntil(TIMEOUT_SECONDS) { isInForce(client, client.revision()) }) { "the entries did not start" }
        val histogram = histogram()
        repeat(PROPAGATION_SAMPLES) {
            val startNs = System.nanoTime()
            val revision = submitChange(client, "spread-$it")
            waitUntil(TIMEOUT_SECONDS) { isInForce(client, revision) }
            histogram.recordValue(System.nanoTime() - startNs)
        }
        val inTime = histogram.maxValue < TimeUnit.SECONDS.toNanos(PROPAGATION_LIMIT_SECONDS)
        val text = "in force on $ENTRY_COUNT entries within $PROPAGATION_LIMIT_SECONDS s"
        report.record(
            "e",
            text,
            inTime,
            "$PROPAGATION_SAMPLES changes, polled every 20 ms: ${histogram.text()}",
        )
    }

    /** Whether all entries have acknowledged [revision], according to `show change`. */
    private fun isInForce(client: OperatorClient, revision: Long): Boolean =
        client.rows("show change $revision").single()[IN_FORCE_COLUMN] == "$ENTRY_COUNT of $ENTRY_COUNT"

    private fun measurePropagationToSubscribers(client: OperatorClient) =
        SimulatedSubscribers(cluster.addresses, SUBSCRIBERS).use { subscribers ->
            val connected = waitUntil(TIMEOUT_SECONDS) { subscribers.countAtRevision(client.revision()) == SUBSCRIBERS }
            check(connected) { "the simulated subscribers did not connect" }
            val histogram = histogram()
            repeat(PROPAGATION_SAMPLES) {
                val startNs = System.nanoTime()
                val revision = submitChange(client, "simulated-$it")
                waitUntil(TIMEOUT_SECONDS) { subscribers.countAtRevision(revision) == SUBSCRIBERS }
                histogram.recordValue(System.nanoTime() - startNs)
            }
            val inTime = histogram.maxValue < TimeUnit.SECONDS.toNanos(PROPAGATION_LIMIT_SECONDS)
            val text = "at $SUBSCRIBERS simulated subscribers within $PROPAGATION_LIMIT_SECONDS s"
            report.record(
                "e",
                text,
                inTime,
                "$PROPAGATION_SAMPLES changes, polled every 20 ms: ${histogram.text()}",
            )
        }

    private fun measureLeaderChanges(client: OperatorClient) {
        val timesMs = (1..runs).map { measureLeaderChange(client) }
        val text = timesMs.sorted().joinToString(" ") { "%.0f".format(it) }
        report.record(
            "e",
            "new leader within 3 s of kill -9",
            timesMs.max() < LEADER_CHANGE_LIMIT_MS,
            "$runs runs, ms: $text",
        )
    }

    private fun measureLeaderChange(client: OperatorClient): Double {
        val killedMember = cluster.memberAt(client.leader())
        return OperatorClient(cluster.addresses - killedMember.address).use { remainingMembers ->
            remainingMembers.query("show services", WARM_UP_QUERY_TIMEOUT_MS)
            killedMember.process.kill()
            val startNs = System.nanoTime()
            checkNotNull(remainingMembers.query("show services")) { "no new leader" }
            elapsedMs(startNs).also {
                killedMember.process.start()
                Thread.sleep(SETTLE_AFTER_RESTART_MS)
            }
        }
    }

    private fun submitChange(client: OperatorClient, name: String): Long =
        checkNotNull(client.submit(name, "drain instance '$name'")) { "$name was not answered" }.revision

    private fun OperatorClient.revision(): Long = checkNotNull(query("show services")) { "no leader" }.reply.revision

    private fun histogram() = Histogram(TimeUnit.MINUTES.toNanos(1), SIGNIFICANT_DIGITS)

    private fun Histogram.recordDuration(action: () -> Unit) {
        val startNs = System.nanoTime()
        action()
        recordValue(System.nanoTime() - startNs)
    }

    private fun Histogram.text(): String = listOf(P50, P95, P99).joinToString(", ", postfix = " ms") {
        "p%.0f %.2f".format(it, getValueAtPercentile(it) / NANOS_PER_MILLISECOND)
    }

    private companion object {
        const val WARM_UP_COMMITS = 300
        const val MEASURED_COMMITS = 1_000
        const val PROPAGATION_SAMPLES = 20
        const val ENTRY_COUNT = 3
        const val SUBSCRIBERS = 300
        const val FIRST_ENTRY_PORT_OFFSET = 10
        const val TIMEOUT_SECONDS = 30
        const val IN_FORCE_COLUMN = 1
        const val PROPAGATION_LIMIT_SECONDS = 9L
        const val LEADER_CHANGE_LIMIT_MS = 3_000
        const val WARM_UP_QUERY_TIMEOUT_MS = 300L
        const val SETTLE_AFTER_RESTART_MS = 4_000L
        const val SIGNIFICANT_DIGITS = 3
        const val P50 = 50.0
        const val P95 = 95.0
        const val P99 = 99.0
        const val NANOS_PER_MILLISECOND = 1_000_000.0
    }
}
