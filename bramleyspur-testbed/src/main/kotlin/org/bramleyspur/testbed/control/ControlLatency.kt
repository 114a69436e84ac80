package org.bramleyspur.testbed.control

import org.HdrHistogram.Histogram
import java.util.concurrent.TimeUnit

/** Measures commits, changes of leader and the spread of changes. */
internal class ControlLatency(
    private val cluster: ControlCluster,
    private val report: ProofReport,
    private val runs: Int,
) {
    fun run() = ControlDriver(cluster.addresses).use { driver ->
        commits(driver)
        spreadToEntries(driver)
        spreadToSubscribers(driver)
        leaderChanges(driver)
    }

    private fun commits(driver: ControlDriver) {
        repeat(WARM_UP) { change(driver, "warm-$it") }
        val histogram = histogram()
        repeat(COMMITS) { histogram.measure { change(driver, "commit-$it") } }
        report.figure("e", "$COMMITS commits, one outstanding", histogram.text())
    }

    private fun spreadToEntries(driver: ControlDriver) {
        repeat(ENTRIES) { cluster.startEntry("e$it", FIRST_ENTRY_OFFSET + it) }
        check(within(START_SECONDS) { inForce(driver, driver.revision()) }) { "the entries did not start" }
        val histogram = histogram()
        repeat(SPREADS) {
            val startNs = System.nanoTime()
            val revision = change(driver, "spread-$it")
            within(START_SECONDS) { inForce(driver, revision) }
            histogram.recordValue(System.nanoTime() - startNs)
        }
        val within = histogram.maxValue < TimeUnit.SECONDS.toNanos(IN_FORCE_SECONDS)
        val text = "in force on $ENTRIES entries within $IN_FORCE_SECONDS s"
        report.promise("e", text, within, "$SPREADS changes, polled each 20 ms: ${histogram.text()}")
    }

    /** Whether all entries acknowledged [revision], as operators see it. */
    private fun inForce(driver: ControlDriver, revision: Long): Boolean =
        driver.rows("show change $revision").single()[IN_FORCE] == "$ENTRIES of $ENTRIES"

    private fun spreadToSubscribers(driver: ControlDriver) =
        SimulatedSubscribers(cluster.addresses, SUBSCRIBERS).use { subscribers ->
            val connected = within(START_SECONDS) { subscribers.holding(driver.revision()) == SUBSCRIBERS }
            check(connected) { "the simulated subscribers did not connect" }
            val histogram = histogram()
            repeat(SPREADS) {
                val startNs = System.nanoTime()
                val revision = change(driver, "simulated-$it")
                within(START_SECONDS) { subscribers.holding(revision) == SUBSCRIBERS }
                histogram.recordValue(System.nanoTime() - startNs)
            }
            val within = histogram.maxValue < TimeUnit.SECONDS.toNanos(IN_FORCE_SECONDS)
            val text = "at $SUBSCRIBERS simulated subscribers within $IN_FORCE_SECONDS s"
            report.promise("e", text, within, "$SPREADS changes, polled each 20 ms: ${histogram.text()}")
        }

    private fun leaderChanges(driver: ControlDriver) {
        val times = (1..runs).map { leaderChange(driver) }
        val text = times.sorted().joinToString(" ") { "%.0f".format(it) }
        report.promise("e", "new leader within 3 s of kill -9", times.max() < LEADER_LIMIT_MS, "$runs runs, ms: $text")
    }

    private fun leaderChange(driver: ControlDriver): Double {
        val killed = cluster.at(driver.leader())
        return ControlDriver(cluster.addresses - killed.address).use { others ->
            others.query("show services", WARM_UP_QUERY_MS)
            killed.program.kill()
            val startNs = System.nanoTime()
            checkNotNull(others.query("show services")) { "no new leader" }
            elapsedMs(startNs).also {
                killed.program.start()
                Thread.sleep(SETTLE_MS)
            }
        }
    }

    private fun change(driver: ControlDriver, name: String): Long =
        checkNotNull(driver.submit(name, "drain instance '$name'")) { "$name was not answered" }.revision

    private fun ControlDriver.revision(): Long = checkNotNull(query("show services")) { "no leader" }.reply.revision

    private fun histogram() = Histogram(TimeUnit.MINUTES.toNanos(1), SIGNIFICANT_DIGITS)

    private fun Histogram.measure(action: () -> Unit) {
        val startNs = System.nanoTime()
        action()
        recordValue(System.nanoTime() - startNs)
    }

    private fun Histogram.text(): String = listOf(P50, P95, P99).joinToString(", ", postfix = " ms") {
        "p%.0f %.2f".format(it, getValueAtPercentile(it) / NANOS_PER_MILLI)
    }

    private companion object {
        const val WARM_UP = 300
        const val COMMITS = 1_000
        const val SPREADS = 20
        const val ENTRIES = 3
        const val SUBSCRIBERS = 300
        const val FIRST_ENTRY_OFFSET = 10
        const val START_SECONDS = 30
        const val IN_FORCE = 1
        const val IN_FORCE_SECONDS = 9L
        const val LEADER_LIMIT_MS = 3_000
        const val WARM_UP_QUERY_MS = 300L
        const val SETTLE_MS = 4_000L
        const val SIGNIFICANT_DIGITS = 3
        const val P50 = 50.0
        const val P95 = 95.0
        const val P99 = 99.0
        const val NANOS_PER_MILLI = 1_000_000.0
    }
}
