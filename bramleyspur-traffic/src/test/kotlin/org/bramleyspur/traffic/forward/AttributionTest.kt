package org.bramleyspur.traffic.forward

import org.bramleyspur.traffic.forward.Attribution.OTHER
import org.bramleyspur.traffic.forward.Attribution.OWN
import org.bramleyspur.traffic.forward.Attribution.UNKNOWN
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against a response that is taken for the response to another request. */
class AttributionTest {
    private class Case(
        val requestId: String?,
        val responseId: String?,
        val sealed: Boolean,
        val first: Attribution,
        val later: Attribution,
    )

    private val cases = listOf(
        Case("a", "a", sealed = true, first = OWN, later = OWN),
        Case("a", "a", sealed = false, first = OWN, later = OWN),
        Case("a", "b", sealed = true, first = OTHER, later = OTHER),
        Case("a", "b", sealed = false, first = OTHER, later = OTHER),
        Case("a", null, sealed = false, first = OWN, later = UNKNOWN),
        Case("a", null, sealed = true, first = UNKNOWN, later = OTHER),
        Case(null, null, sealed = false, first = OWN, later = UNKNOWN),
        Case(null, null, sealed = true, first = OWN, later = UNKNOWN),
        Case(null, "a", sealed = true, first = OTHER, later = OTHER),
    )

    @TestFactory
    fun `a response belongs to a request`() = cases.map { case ->
        DynamicTest.dynamicTest("request ${case.requestId}, response ${case.responseId}, sealed ${case.sealed}") {
            val actual = listOf(true, false).map {
                attributionOf(case.requestId, case.responseId, case.sealed, first = it)
            }
            expectThat(actual).isEqualTo(listOf(case.first, case.later))
        }
    }
}
