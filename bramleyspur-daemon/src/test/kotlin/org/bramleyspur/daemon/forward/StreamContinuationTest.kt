package org.bramleyspur.daemon.forward

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against a response that ends in the stream that another backend server began, which then looks complete. */
class StreamContinuationTest : ForwardTest() {
    private val error = """{"error":"x"}"""
    private val begun = (1..3).joinToString("") { event(it) }
    private val rest = event(4) + event(5)
    private val brokenOff = Script(streamResponse(begun, complete = false), close = true)

    private fun event(id: Int) = "id: $id\ndata: $id\n\n"

    private class Framing(val name: String, val close: Boolean, val frame: (String) -> String)

    private val framings = listOf(
        Framing("length", close = false) { "Content-Length: ${it.length}\r\n\r\n$it" },
        Framing("chunked", close = false) { "Transfer-Encoding: chunked\r\n\r\n${chunkOf(it)}0\r\n\r\n" },
        Framing("until close", close = true) { "\r\n$it" },
    )

    private fun chunkOf(text: String) = if (text.isEmpty()) "" else "${text.length.toString(16)}\r\n$text\r\n"

    private fun response(status: Int, framing: Framing, body: String, headers: String = "$SEAL_HEADER: s\r\n") =
        "HTTP/1.1 $status Status\r\n$ATTEMPT_ID_HEADER: 7\r\n$headers".let { head ->
            if (status == 204) Script("$head\r\n") else Script(head + framing.frame(body), close = framing.close)
        }

    private class Case(val name: String, val status: Int, val body: String, val headers: String = "$SEAL_HEADER: s\r\n")

    /** Responses that do not continue the stream. */
    private val others = listOf(204, 206, 302, 400, 404, 409, 422, 500).map { Case("$it", it, error) } + listOf(
        Case("503, not executed", 503, error, "X-Not: 1\r\n"),
        Case("200 without a seal", 200, rest, ""),
        Case("200 that is no event stream", 200, error, "$SEAL_HEADER: s\r\nContent-Type: application/json\r\n"),
        Case("200, an encoded body", 200, rest, "$SEAL_HEADER: s\r\nContent-Encoding: gzip\r\n"),
        Case("200 without an event", 200, ""),
        Case("200, a body that is no event", 200, error),
        Case("200, an event without an id", 200, "event: error\ndata: $error\n\n"),
        Case("200, only old events", 200, event(1) + event(2)),
    )

    /** Guards against an error that a caller found as a further chunk of its stream, which ended as complete. */
    @TestFactory
    fun `what does not continue a stream never reaches it`() = others.flatMap { case ->
        framings.map { framing ->
            DynamicTest.dynamicTest("${case.name}, ${framing.name}") {
                startBackends(listOf(brokenOff), listOf(response(case.status, framing, case.body, case.headers)))
                val response = post("/stream/1")!!
                expectThat(response.status).isEqualTo(200)
                expectThat(response.body).isEqualTo(begun)
                expectThat(response.complete).isEqualTo(false)
                expectThat(backends.takeLast(2).map { it.requests.size }).isEqualTo(listOf(1, 1))
            }
        }
    }

    /** Guards against a stream that ends at a response that does not continue it though another server can. */
    @TestFactory
    fun `another backend server continues the stream`() = listOf(204, 302, 404, 422).map { status ->
        DynamicTest.dynamicTest("$status") {
            val resumed = Script(streamResponse(rest, complete = true))
            // Either of the last two may be tried first.
            val sends = List(PLAYS) {
                startBackends(listOf(brokenOff), listOf(response(status, framings[0], error)), listOf(resumed))
                val response = post("/stream3/1")!!
                expectThat(response.body).isEqualTo(begun + rest)
                expectThat(response.complete).isEqualTo(true)
                backends.takeLast(3).sumOf { it.requests.size }
            }
            expectThat(sends.max()).isEqualTo(3)
        }
    }

    @TestFactory
    fun `a stream that continues another one completes it`() = framings.flatMap { framing ->
        listOf(
            Case("its rest", 200, rest) to rest,
            Case("all of it", 200, begun + rest) to rest,
            Case("a comment and its rest", 200, ": wait\n\n$rest") to ": wait\n\n$rest",
            Case("the last event again", 200, event(3)) to "",
        ).map { (case, added) ->
            DynamicTest.dynamicTest("${case.name}, ${framing.name}") {
                startBackends(listOf(brokenOff), listOf(response(200, framing, case.body)))
                val response = post("/stream/1")!!
                expectThat(response.body).isEqualTo(begun + added)
                expectThat(response.complete).isEqualTo(true)
            }
        }
    }

    /** Guards against a failure that is not passed on because the route is a streaming one. */
    @TestFactory
    fun `an error of a stream that has not begun is forwarded`() = listOf(302, 400, 404, 409, 422).flatMap { status ->
        framings.map { framing ->
            DynamicTest.dynamicTest("$status, ${framing.name}") {
                startBackends(listOf(response(status, framing, error)))
                val response = post("/stream/1")!!
                expectThat(Triple(response.status, response.body, response.complete))
                    .isEqualTo(Triple(status, error, true))
            }
        }
    }

    private companion object {
        const val PLAYS = 10
    }
}
