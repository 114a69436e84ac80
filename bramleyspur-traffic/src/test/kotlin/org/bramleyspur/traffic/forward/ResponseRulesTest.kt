package org.bramleyspur.traffic.forward

import org.bramleyspur.traffic.forward.ResponseUse.EVENTS
import org.bramleyspur.traffic.forward.ResponseUse.FAILURE
import org.bramleyspur.traffic.forward.ResponseUse.INVALID
import org.bramleyspur.traffic.forward.ResponseUse.NO_CONTINUATION
import org.bramleyspur.traffic.forward.ResponseUse.REJECTION
import org.bramleyspur.traffic.forward.ResponseUse.WHOLE
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against a response that enters a stream of which the caller has a part, and does not continue it. */
class ResponseRulesTest {
    private fun sealed(status: Int) = ResponseHead(status, notExecuted = false, sealed = true)

    /** Head, and its use for a plain request, a stream that has not started, and one that has. */
    private val cases = listOf(
        sealed(200) to listOf(WHOLE, EVENTS, EVENTS),
        sealed(200).copy(eventStream = false) to listOf(WHOLE, EVENTS, NO_CONTINUATION),
        sealed(204) to listOf(WHOLE, EVENTS, NO_CONTINUATION),
        sealed(206) to listOf(WHOLE, EVENTS, NO_CONTINUATION),
        sealed(302) to listOf(WHOLE, WHOLE, NO_CONTINUATION),
        sealed(400) to listOf(WHOLE, WHOLE, NO_CONTINUATION),
        sealed(422) to listOf(WHOLE, WHOLE, NO_CONTINUATION),
        sealed(500) to listOf(FAILURE, FAILURE, FAILURE),
        sealed(200).copy(sealed = false) to listOf(INVALID, INVALID, INVALID),
        sealed(400).copy(sealed = false) to listOf(INVALID, INVALID, INVALID),
        ResponseHead(503, notExecuted = true, sealed = false) to listOf(REJECTION, REJECTION, REJECTION),
        ResponseHead(421, notExecuted = false, sealed = false) to listOf(REJECTION, REJECTION, REJECTION),
    )

    @TestFactory
    fun `use of a response`() = cases.map { (head, expected) ->
        DynamicTest.dynamicTest(head.toString()) {
            val actual = listOf(
                useOf(head, streaming = false, responseStarted = false),
                useOf(head, streaming = true, responseStarted = false),
                useOf(head, streaming = true, responseStarted = true),
            )
            expectThat(actual).isEqualTo(expected)
        }
    }
}
