package org.bramleyspur.daemon.forward

import org.bramleyspur.core.document.RouteKind
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import java.time.Duration
import java.time.Instant

/**
 * Guards against a wrong end of a request whose backend server is silent: a refusal as not run that is not true, a
 * second run of a request that may run once, a response that another one is appended to, and servers that go on in
 * vain.
 */
class SilenceEndTest : ForwardTest() {
    private class Case(
        val name: String,
        val path: String,
        val first: Script,
        val others: Script,
        val status: Int,
        val body: String?,
        val complete: Boolean = true,
        val otherRequests: Int,
    )

    private val refusal = "HTTP/1.1 503 Full\r\nX-Not: 1\r\nContent-Length: 0\r\n\r\n"
    private val refuses = Script(refusal)
    private val serves = Script(okResponse("0123456789"))
    private val continues = Script(streamResponse(event(1), event(2), complete = true))
    private val errorHead = "HTTP/1.1 404 No\r\n$ATTEMPT_ID_HEADER: 7\r\n$SEAL_HEADER: s\r\nContent-Length: 4\r\n\r\n"

    private fun String.bodyOf() = substringAfter("\r\n\r\n")

    private fun event(id: Int) = "id: $id\ndata: a\n\n"

    private fun afterPause(text: String, close: Boolean = false, before: String = "", pauseMs: Long = PAUSE_MS) =
        Script(before, close = close, pauseMs = pauseMs, afterPause = text)

    private val cases = listOf(
        Case("all refuse", "/again/", afterPause(refusal), refuses, 503, null, otherRequests = 2),
        Case("silent, then closed", "/again/", afterPause("", close = true), refuses, 502, null, otherRequests = 2),
        Case("all refuse the stream", "/stream/", afterPause(refusal), refuses, 503, null, otherRequests = 2),
        Case("may run once", "/once/", afterPause(okResponse("late")), serves, 200, "late", otherRequests = 0),
        Case(
            "plain body with a pause",
            "/again/",
            afterPause("56789", before = okResponse("0123456789").dropLast(5)),
            serves,
            200,
            "0123456789",
            otherRequests = 0,
        ),
        Case(
            "error response with a pause",
            "/stream/",
            afterPause("ne", before = errorHead + "no"),
            continues,
            404,
            "none",
            otherRequests = 0,
        ),
        Case(
            "error response that breaks off",
            "/stream/",
            Script(errorHead + "no", close = true),
            continues,
            404,
            "no",
            complete = false,
            otherRequests = 0,
        ),
        Case(
            "others send a comment and break off",
            "/stream/",
            afterPause(streamResponse(event(1), complete = true)),
            Script(streamResponse(": wait\n\n", complete = false), close = true),
            200,
            event(1),
            otherRequests = 2,
        ),
        Case(
            "others end without an event",
            "/stream/",
            afterPause(streamResponse(event(1), complete = true)),
            Script(streamResponse(complete = true)),
            200,
            event(1),
            otherRequests = 2,
        ),
        Case(
            "others do not continue the stream",
            "/stream/",
            afterPause(
                streamResponse(event(2), complete = true).bodyOf(),
                before = streamResponse(event(1), complete = false),
            ),
            Script(errorHead + "none"),
            200,
            event(1) + event(2),
            otherRequests = 2,
        ),
        Case(
            "a sealed refusal to do it",
            "/stream/",
            afterPause(streamResponse(event(1), complete = true)),
            Script(errorHead + "none"),
            404,
            "none",
            otherRequests = 1,
        ),
    )

    private fun start(first: Script, others: Script) {
        val routes = listOf(
            route("/again/", RouteKind.IDEMPOTENT, 3),
            route("/stream/", RouteKind.STREAMING, 3),
            route("/once/", RouteKind.NON_IDEMPOTENT, 3),
        ).map { it.copy(targetLatencyMs = 300) }
        startServices(document(routes), mapOf("s" to listOf(first, others, others).map { ScriptedBackend(it) }))
    }

    @TestFactory
    fun `end of a request whose backend server is silent`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            start(case.first, case.others)
            val response = post(case.path)!!
            expectThat(response.status to response.complete).isEqualTo(case.status to case.complete)
            case.body?.let { expectThat(response.body).isEqualTo(it) }
            expectThat(backends.takeLast(2).sumOf { it.requests.size }).isEqualTo(case.otherRequests)
        }
    }

    @TestFactory
    fun `all servers are told when the caller leaves or the deadline has passed`() =
        listOf("/again/", "/stream/").flatMap { path -> listOf(true, false).map { path to it } }
            .map { (path, callerLeaves) ->
                DynamicTest.dynamicTest("$path, caller leaves $callerLeaves") { expectCancelled(path, callerLeaves) }
            }

    private fun expectCancelled(path: String, callerLeaves: Boolean) {
        val silent = afterPause(okResponse("late"), pauseMs = SILENT_MS)
        start(silent, silent)
        val servers = backends.takeLast(3)
        val startedAt = Instant.now()
        if (callerLeaves) {
            sendWithoutReading(path).use { while (servers.any { it.requests.isEmpty() }) Thread.sleep(5) }
        } else {
            expectThat(post(path)!!.status).isEqualTo(504)
        }
        expectThat(Duration.between(startedAt, Instant.now())).isLessThan(Duration.ofMillis(2_500))
        expectThat(servers.map { it.requests.size }).isEqualTo(listOf(1, 1, 1))
        Thread.sleep(CLOSE_MS)
        expectThat(servers.map { it.closedWhileSilent.get() }).isEqualTo(listOf(1, 1, 1))
        expectThat(loops.traffic.submit<Int> { totalInFlight() }.get()).isEqualTo(0)
    }

    private fun totalInFlight() =
        context.directory.backends.values.sumOf { context.loads.loadOf(it.announcement)!!.inFlight }

    @Test
    fun `the log names the attempts beside a silent one and the one that takes over`() {
        start(afterPause("", before = streamResponse(event(1), complete = false)), continues)
        expectThat(post("/stream/")!!.body).isEqualTo(event(1) + event(2))
        expectThat(logLines("attempt-beside").single()).contains("\"silent\":\"b0\"").contains("\"last_event\":1")
        expectThat(logLines("attempt-took-over").single()).contains("\"cancelled\":\"b0\"")
    }

    private companion object {
        /** Longer than two attempts beside the silent one take, shorter than the callers' patience. */
        const val PAUSE_MS = 1_300L
        const val SILENT_MS = 8_000L
        const val CLOSE_MS = 200L
    }
}
