package org.bramleyspur.traffic.forward

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against a response that its engine cuts off, and against the end of one whose caller goes on reading. */
class CallerStallTest {
    /** What the caller's connection did ([writable] at each time in milliseconds), and the result [atMs]. */
    private data class Case(val name: String, val writable: List<Pair<Long, Boolean>>, val atMs: Long, val ends: Long?)

    @TestFactory
    fun `a response ends after its caller took nothing for longer than the limit`() = listOf(
        Case("takes data since its start", emptyList(), 60_000, null),
        Case("has just stopped", listOf(1_000L to false), 1_000, null),
        Case("stopped for exactly the limit", listOf(1_000L to false), 4_000, null),
        Case("stopped for longer", listOf(1_000L to false), 4_001, 3_001),
        Case("is checked late", listOf(0L to false), 9_000, 9_000),
        Case("went on", listOf(1_000L to false, 3_900L to true), 60_000, null),
        Case("went on for a moment", listOf(0L to false, 2_900L to true, 2_901L to false), 5_901, null),
        Case("stopped again", listOf(0L to false, 2_900L to true, 2_901L to false), 5_902, 3_001),
    ).map {
        DynamicTest.dynamicTest(it.name) {
            val stall = it.writable.fold(CallerStall()) { state, (atMs, writable) -> state.onWritable(writable, atMs) }
            expectThat(stall.endsResponseAfterMs(it.atMs)).isEqualTo(it.ends)
        }
    }
}
