package org.bramleyspur.traffic.forward

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/**
 * Guards against requests that are refused, come back and are refused again in an outage of a second, and against
 * requests that wait although none will be served. Load: all callers of a model whose only group forms again, or of an
 * entry that has just started.
 */
class OutageRulesTest {
    /**
     * @property limitMs time limit of the request
     * @property outageStartMs when the outage began, relative to the arrival of the request
     * @property endMs when the request is forwarded or refused, if the outage goes on
     */
    private class Case(val name: String, val limitMs: Long, val outageStartMs: Long, val endMs: Long)

    private val cases = listOf(
        Case("a stream at the start of an outage", limitMs = 8_000, outageStartMs = 0, endMs = 1_520),
        Case("a stream in an outage that lasts", limitMs = 8_000, outageStartMs = -2_500, endMs = 520),
        Case("a stream in a long outage", limitMs = 8_000, outageStartMs = -3_000, endMs = 0),
        Case("a call with little time", limitMs = 1_200, outageStartMs = 0, endMs = 320),
        Case("a call without time", limitMs = 0, outageStartMs = 0, endMs = 0),
    )

    @TestFactory
    fun `how long a request waits`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val waits = generateSequence(0L) { it + OUTAGE_POLL_INTERVAL_MS }
                .takeWhile { waitsForOutage(it, case.limitMs - it, it - case.outageStartMs) }
            expectThat(waits.count() * OUTAGE_POLL_INTERVAL_MS).isEqualTo(case.endMs)
        }
    }
}
