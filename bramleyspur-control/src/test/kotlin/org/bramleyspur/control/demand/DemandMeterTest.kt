package org.bramleyspur.control.demand

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo

/** Guards against rates of the demand that an entry moves by a restart, a wrong count or its silence. */
class DemandMeterTest {
    private val model = ServedModel("s", "a")
    private val other = ServedModel("s", "b")

    private fun report(entry: String, requests: Long, startedAtMs: Long = 1, of: ServedModel = model) =
        DemandReport(entry, startedAtMs, mapOf(of to DemandCounts(requests, 0, requests * 100, requests * 10)))

    private fun DemandMeter.requestsPerMs(nowMs: Long, of: ServedModel = model): Double =
        work("s", nowMs) { name, rate -> if (name == of.model) rate.requests else 0.0 }.byModel[of.model] ?: 0.0

    /** Two entries that report one request a millisecond each, each 250 ms until [END_MS]. */
    private fun steady(entries: List<String> = listOf("e1", "e2")): DemandMeter =
        (0..END_MS step INTERVAL_MS).fold(DemandMeter()) { meter, nowMs ->
            entries.fold(meter) { next, entry -> next.with(report(entry, nowMs), nowMs) }
        }

    @Test
    fun `the rate is that of all entries`() {
        expectThat(steady().requestsPerMs(END_MS)).isGreaterThan(1.99).isLessThan(2.01)
    }

    private class Case(val name: String, val report: DemandReport, val rate: Double)

    private val cases = listOf(
        Case("a restarted entry", report("e1", 7, startedAtMs = 2), 2.0),
        Case("a restarted entry with high counts", report("e1", 1_000_000, startedAtMs = 2), 2.0),
        Case("a count that decreases", report("e1", END_MS - 1), 2.0),
        Case("a count that jumps", report("e1", 1L shl 60), 2.0),
        Case("a new entry", report("e3", 1_000_000), 2.0),
        Case("tokens without requests", DemandReport("e1", 1, mapOf(model to DemandCounts(END_MS, 0, 1L shl 50))), 2.0),
    )

    @TestFactory
    fun `a report that cannot be measured moves nothing`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val nowMs = END_MS + INTERVAL_MS
            val before = steady().with(report("e2", nowMs), nowMs)
            expectThat(before.with(case.report, nowMs).requestsPerMs(nowMs)).isEqualTo(before.requestsPerMs(nowMs))
        }
    }

    @Test
    fun `a silent entry keeps its rate for a short time and then fades`() {
        val meter = steady(listOf("e1", "e2", "e3"))
        val alive = (END_MS..END_MS + 20_000 step INTERVAL_MS).fold(meter) { next, nowMs ->
            next.with(report("e1", nowMs), nowMs).with(report("e2", nowMs), nowMs)
        }
        expectThat(meter.requestsPerMs(END_MS + 2_000)).isGreaterThan(2.99)
        expectThat(alive.requestsPerMs(END_MS + 20_000)).isGreaterThan(1.99).isLessThan(2.01)
    }

    @Test
    fun `an entry that was cut off loses none of its counts`() {
        val nowMs = END_MS + 9_000
        val meter = steady().with(report("e1", nowMs), nowMs).with(report("e2", nowMs), nowMs)
        expectThat(meter.requestsPerMs(nowMs)).isGreaterThan(1.99).isLessThan(2.01)
    }

    @Test
    fun `an entry counts for no more than all others together`() {
        val meter = (0..END_MS step INTERVAL_MS).fold(steady()) { next, nowMs ->
            next.with(report("liar", nowMs * 40, of = other), nowMs)
        }
        val honest = meter.requestsPerMs(END_MS)
        val work = meter.work("s", END_MS) { _, rate -> rate.requests }.byModel
        expectThat(work.getValue(other.model)).isLessThanOrEqualTo(honest * 1.01)
    }

    @Test
    fun `entries that are gone are forgotten`() {
        expectThat(steady().expire(END_MS + 100_000).requestsPerMs(END_MS)).isEqualTo(0.0)
    }

    private companion object {
        const val END_MS = 20_000L
        const val INTERVAL_MS = 250L
    }
}
