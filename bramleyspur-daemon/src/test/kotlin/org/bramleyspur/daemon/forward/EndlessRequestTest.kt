package org.bramleyspur.daemon.forward

import org.bramleyspur.daemon.caller.CallerLimits
import org.bramleyspur.daemon.caller.FakeBackend
import org.bramleyspur.daemon.caller.TrafficTestBed
import org.bramleyspur.daemon.caller.awaitTrue
import org.bramleyspur.daemon.http.Sender
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against a caller that sends a request without end, and an entry that keeps it or forwards a part of it. */
class EndlessRequestTest : ForwardTest() {
    /** [timedOut] if only the time limit of a request ends it at an entry with agents. */
    private class Case(val name: String, val start: String, val next: String, val timedOut: Boolean = false)

    private val head = "POST /once/1 HTTP/1.1\r\nHost: h\r\nX-Left: 2000\r\nAuthorization: Bearer key\r\n"
    private val modelHead = "POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\n"

    private fun casesOf(head: String) = listOf(
        Case("a request line", "GET /", "a"),
        Case("line breaks before the request line", "", "\r\n", timedOut = true),
        Case("header fields", head, "X-Field: value\r\n"),
        Case("a header field", "${head}X-Field: ", "a"),
        Case("a chunk extension", "${head}Transfer-Encoding: chunked\r\n\r\n1;", "a"),
        Case("trailers", "${head}Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Field: value\r\n"),
        Case("chunks", "${head}Transfer-Encoding: chunked\r\n\r\n", "1000\r\n${"a".repeat(CHUNK_BYTES)}\r\n", true),
        Case("a body that is too long", "${head}Content-Length: 1000000000\r\n\r\n", "a"),
    )

    @TestFactory
    fun `an entry without agents closes the connection`() = casesOf(head).map { case ->
        DynamicTest.dynamicTest(case.name) {
            startBackends(listOf(Script(okResponse("ok"))))
            expectClosed(port, case)
            expectThat(backends.last().requests.size).isEqualTo(0)
        }
    }

    @TestFactory
    fun `an entry with agents closes the connection`() = casesOf(modelHead).map { case ->
        DynamicTest.dynamicTest(case.name) {
            FakeBackend { reply(200, "{}") }.use { engine ->
                val limits = if (case.timedOut) CallerLimits(requestTimeoutMs = REQUEST_TIMEOUT_MS) else CallerLimits()
                TrafficTestBed(engines = listOf(engine.port), limits = limits).use { testBed ->
                    expectClosed(testBed.port, case)
                    expectThat(engine.requestHeads.size).isEqualTo(0)
                }
            }
        }
    }

    private fun expectClosed(port: Int, case: Case) = Sender(port, case.start, case.next).use { sender ->
        awaitTrue(CLOSE_LIMIT_MS, "the end of the connection") { sender.closedByServer }
    }

    private companion object {
        const val CHUNK_BYTES = 0x1000
        const val REQUEST_TIMEOUT_MS = 1_000L

        /** Less than the time limits of a request, longer than an entry lets a refused caller read its answer. */
        const val CLOSE_LIMIT_MS = 2_800L
    }
}
