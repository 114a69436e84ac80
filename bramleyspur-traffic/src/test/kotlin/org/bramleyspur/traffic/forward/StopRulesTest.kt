package org.bramleyspur.traffic.forward

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against requests that are passed on late in a planned stop and are cut off at its end. */
class StopRulesTest {
    private class Case(val limitMs: Long, val remainingMs: Long?, val taken: Boolean)

    private val cases = listOf(
        Case(limitMs = 8_000, remainingMs = null, taken = true),
        Case(limitMs = 8_000, remainingMs = 4_650, taken = false),
        Case(limitMs = 1_500, remainingMs = 4_650, taken = true),
        Case(limitMs = 1_500, remainingMs = 1_600, taken = true),
        Case(limitMs = 1_500, remainingMs = 1_599, taken = false),
        Case(limitMs = 0, remainingMs = 0, taken = false),
        Case(limitMs = 0, remainingMs = -50, taken = false),
    )

    @TestFactory
    fun `requests taken during a planned stop`() = cases.map { case ->
        DynamicTest.dynamicTest("${case.limitMs} ms of ${case.remainingMs}") {
            expectThat(isTakenDuringStop(case.limitMs, case.remainingMs)).isEqualTo(case.taken)
        }
    }
}
