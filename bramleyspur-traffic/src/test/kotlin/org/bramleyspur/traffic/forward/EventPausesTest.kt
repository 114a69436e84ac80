package org.bramleyspur.traffic.forward

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against late streams whose pauses do not show in the log. */
class EventPausesTest {
    private val cases = listOf(
        emptyList<Long>() to null,
        listOf(5L) to null,
        listOf(5L, 45L) to 40L,
        listOf(5L, 45L, 345L, 385L) to 300L,
        listOf(5L, 5L) to 0L,
    )

    @TestFactory
    fun `the longest pause is that between two events`() = cases.map { (times, longest) ->
        DynamicTest.dynamicTest("$times") {
            expectThat(times.fold(EventPauses()) { pauses, atMs -> pauses.onEvent(atMs) }.longestMs).isEqualTo(longest)
        }
    }
}
