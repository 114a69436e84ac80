package org.bramleyspur.daemon.forward

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/**
 * Guards against requests to a backend server whose response said that it is leaving, or which turned a request away
 * for a time. The first of two backend servers is preferred; only it says so.
 */
class BackendBackoffTest : ForwardTest() {
    private fun response(status: String, headers: String = "") =
        Script("HTTP/1.1 $status\r\n$ATTEMPT_ID_HEADER: 7\r\n${headers}Content-Length: 0\r\n\r\n")

    private val sealed = "$SEAL_HEADER: x\r\n"
    private val refused = "X-Not: 1\r\n"

    /**
     * @property first response of the preferred server to the first request
     * @property laterRequests number of requests that reach it of the three that follow
     */
    private class Case(val name: String, val first: Script, val laterRequests: Int)

    private val cases = listOf(
        Case("nothing said", response("200 OK", sealed), laterRequests = 3),
        Case("leaving, in a whole response", response("200 OK", sealed + "X-Leaving: 1\r\n"), 0),
        Case("leaving, in a refusal", response("503 No", refused + "X-Leaving: 1\r\n"), 0),
        Case("leaving, in a failure", response("500 No", sealed + "X-Leaving: 1\r\n"), 0),
        Case("not leaving", response("200 OK", sealed + "X-Leaving: 0\r\n"), laterRequests = 3),
        Case("leaving, said twice", response("200 OK", sealed + "X-Leaving: 0\r\nX-Leaving: 1\r\n"), 0),
        Case("turned away", response("503 No", refused + "Retry-After: 60\r\n"), 0),
        Case("turned away for a fraction", response("503 No", refused + "Retry-After: 0.001\r\n"), 3),
        Case("turned away for a negative time", response("503 No", refused + "Retry-After: -5\r\n"), 3),
        Case("turned away for long", response("503 No", refused + "Retry-After: 999999999\r\n"), 0),
        Case("turned away without a time", response("503 No", refused), laterRequests = 3),
        Case("a time in a whole response", response("200 OK", sealed + "Retry-After: 60\r\n"), 3),
    )

    @TestFactory
    fun `requests after a response that asks for none`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val other = response("200 OK", sealed)
            startBackends(listOf(case.first, other), listOf(other))
            post("/again/")
            Thread.sleep(SETTLE_MS)
            val preferred = backends[backends.size - 2]
            val before = preferred.requests.size
            repeat(3) { expectThat(post("/again/")?.status).isEqualTo(200) }
            expectThat(preferred.requests.size - before).isEqualTo(case.laterRequests)
            loops.traffic.submit { context.expireBackoff() }.get()
            restartUnderNewIds()
        }
    }

    @TestFactory
    fun `a caller is told when the only backend server takes requests again`() = listOf("2", "0.5").map { named ->
        DynamicTest.dynamicTest("Retry-After $named") {
            startBackends(listOf(response("503 No", refused + "Retry-After: $named\r\n")))
            timers.hold()
            val first = post("/again/")
            val second = post("/again/")
            expectThat(listOf(first?.status, second?.status)).isEqualTo(listOf(503, 503))
            expectThat(backends.last().requests.size).isEqualTo(1)
            val seconds = second?.header("retry-after")?.toDoubleOrNull() ?: 0.0
            expectThat(seconds > named.toDouble() * 0.5 && seconds <= named.toDouble()).isEqualTo(true)
            restartUnderNewIds()
        }
    }

    /** Ends the backoff of a case: its backend servers leave the directory. */
    private fun restartUnderNewIds() {
        apply(document, emptyList())
        loops.traffic.submit { context.expireBackoff() }.get()
    }

    private companion object {
        const val SETTLE_MS = 20L
    }
}
