package org.bramleyspur.daemon.forward

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import java.time.Duration
import java.time.Instant

/** Guards against a backend server that sends bytes without end and keeps the entry reading until it stops. */
class EndlessResponseTest : ForwardTest() {
    private class Case(val name: String, val start: String, val endlessly: String, val status: Int)

    private val chunk = "4\r\nabcd\r\n"
    private val chunked = "Transfer-Encoding: chunked\r\n\r\n"

    private val cases = listOf(
        Case("header fields", "HTTP/1.1 200 OK\r\n", "X-Field: value\r\n", 502),
        Case("a header field", "HTTP/1.1 200 OK\r\nX-Field: ", "a", 502),
        Case("a chunk extension", "${sealedHead()}1;", "a", 502),
        Case("trailers", "${sealedHead()}0\r\n", "X-Field: value\r\n", 502),
        Case("a status line", "HTTP/1.1 200 ", "O", 502),
        Case("line breaks before the status line", "", "\r\n", 502),
        Case("bytes that are not HTTP", "", "\u0001\u0002", 502),
        Case("interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n", 502),
        Case("responses to other requests", "", okResponse("other", id = "6"), 502),
        Case("the body of a response to another request", foreignHead(), chunk, 502),
        Case(
            "the body of a response without a seal",
            "HTTP/1.1 200 OK\r\n$ATTEMPT_ID_HEADER: 7\r\n$chunked",
            chunk,
            502,
        ),
        Case("the body of a refusal", "HTTP/1.1 503 Full\r\nX-Not: 1\r\n$chunked", chunk, 503),
        Case("the body of a refusal without a length", "HTTP/1.1 503 Full\r\nX-Not: 1\r\n\r\n", "abcd", 503),
    )

    private fun chunkOf(text: String) = "${text.length.toString(16)}\r\n$text\r\n"

    private fun sealedHead() = "HTTP/1.1 200 OK\r\n$ATTEMPT_ID_HEADER: 7\r\n$SEAL_HEADER: s\r\n$chunked"

    private fun foreignHead() = "HTTP/1.1 200 OK\r\n$ATTEMPT_ID_HEADER: 6\r\n$SEAL_HEADER: s\r\n$chunked"

    @TestFactory
    fun `the request ends and the connection is closed`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            startBackends(listOf(Script(case.start, endlessly = case.endlessly)))
            val startedAt = Instant.now()
            expectThat(post("/once/1")!!.status).isEqualTo(case.status)
            expectThat(Duration.between(startedAt, Instant.now())).isLessThan(Duration.ofSeconds(1))
            expectClosed(backends.last())
        }
    }

    @TestFactory
    fun `a response that never ends is broken off at the deadline`() =
        listOf("/once/1" to chunk, "/stream/1" to "8\r\ndata:a\n\n\r\n").map { (path, endlessly) ->
            DynamicTest.dynamicTest(path) {
                startBackends(listOf(Script(sealedHead(), endlessly = endlessly)))
                expectThat(post(path)!!.complete).isEqualTo(false)
                expectClosed(backends.last())
            }
        }

    @Test
    fun `a stream that repeats an event without end is broken off at once`() {
        startBackends(listOf(Script(sealedHead(), endlessly = "7\r\nid: 1\n\n\r\n")))
        val startedAt = Instant.now()
        expectThat(post("/stream/1")!!.complete).isEqualTo(false)
        expectThat(Duration.between(startedAt, Instant.now())).isLessThan(Duration.ofSeconds(1))
        expectClosed(backends.last())
    }

    @TestFactory
    fun `a stream with an event without end is broken off at once`() = listOf(
        "a line" to chunkOf("a"),
        "lines" to chunkOf("data: a\n"),
    ).map { (name, endlessly) ->
        DynamicTest.dynamicTest(name) {
            startBackends(listOf(Script(sealedHead(), endlessly = endlessly)))
            val startedAt = Instant.now()
            expectThat(post("/stream/1")!!.status).isEqualTo(502)
            expectThat(Duration.between(startedAt, Instant.now())).isLessThan(Duration.ofSeconds(1))
            expectClosed(backends.last())
        }
    }

    @TestFactory
    fun `a body without end is read no faster than the caller takes it`() = listOf(
        "/once/1" to chunkOf("a".repeat(LARGE_CHUNK)),
        "/stream/1" to chunkOf("data:${"a".repeat(LARGE_CHUNK)}\n\n"),
    ).map { (path, endlessly) ->
        DynamicTest.dynamicTest(path) {
            startBackends(listOf(Script(sealedHead(), endlessly = endlessly)))
            sendWithoutReading(path).use { Thread.sleep(READ_PERIOD_MS) }
            expectThat(backends.last().endlessBytes.get()).isLessThan(MAX_BUFFERED_BYTES)
            expectClosed(backends.last())
        }
    }

    private fun expectClosed(backend: ScriptedBackend) {
        val deadline = Instant.now().plusMillis(CLOSE_LIMIT_MS)
        while (backend.openEndlessResponses.get() > 0 && Instant.now().isBefore(deadline)) Thread.sleep(10)
        expectThat(backend.openEndlessResponses.get()).isEqualTo(0)
    }

    private companion object {
        const val CLOSE_LIMIT_MS = 1_500L
        const val LARGE_CHUNK = 16 * 1024
        const val READ_PERIOD_MS = 1_000L

        /** The buffers of four sockets and of two connections; a loopback link moves this in some milliseconds. */
        const val MAX_BUFFERED_BYTES = 32L * 1024 * 1024
    }
}
