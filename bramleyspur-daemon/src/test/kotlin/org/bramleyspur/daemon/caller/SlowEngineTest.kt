package org.bramleyspur.daemon.caller

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isTrue

/**
 * Guards against stalled responses of an agent's backend server that a byte now and then keeps open beyond their time
 * limit, and against slow but sound ones that are cut.
 */
class SlowEngineTest {
    /** [drip] is what the backend server sends again and again once it has stalled. */
    private class StalledCase(val name: String, val drip: String)

    private val stalledStreams = listOf(
        StalledCase("comments", ": wait\n\n"),
        StalledCase("empty lines", "\n"),
        StalledCase("an event without an end", "x"),
        StalledCase("events without choices", "data: {\"position\":3,\"choices\":[]}\n\n"),
    )

    private fun FakeCall.chunk(text: String) = write("${text.length.toString(HEX)}\r\n$text\r\n")

    private fun FakeCall.beginStream() {
        write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
        event("""{"position":0,"choices":[{"index":0,"text":" t0","finish_reason":null}]}""")
    }

    /** Until the other side closes the connection, which fails a write. */
    private fun drip(write: () -> Unit) {
        repeat(DRIPS) {
            Thread.sleep(DRIP_INTERVAL_MS)
            write()
        }
    }

    @TestFactory
    fun `a stalled stream ends at its time limit, and not as complete`() = stalledStreams.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val engine = FakeBackend {
                bodyText()
                if (path == "/admin/cancel") {
                    reply(200, """{"known":true,"began":true}""")
                } else {
                    beginStream()
                    drip { chunk(case.drip) }
                }
            }
            engine.use {
                TrafficTestBed(engines = listOf(engine.port), timeoutMs = LIMIT_MS).use { checkStalled(it, generation) }
            }
        }
    }

    @TestFactory
    fun `a stalled plain response ends at its time limit, and not as complete`() =
        listOf("Transfer-Encoding: chunked" to "1\r\nx\r\n", "Content-Length: 100000" to "x").map { (header, drip) ->
            DynamicTest.dynamicTest(header) {
                val backend = FakeBackend {
                    write("HTTP/1.1 200 OK\r\n$header\r\n\r\n")
                    drip { write(drip) }
                }
                backend.use {
                    TrafficTestBed(plains = listOf(backend.port), timeoutMs = LIMIT_MS).use {
                        checkStalled(it, request("GET /p/x"))
                    }
                }
            }
        }

    private fun checkStalled(testBed: TrafficTestBed, request: String) = RawClient(testBed.port).use { client ->
        val startNs = System.nanoTime()
        client.send(request)
        expectThat(client.read()?.complete ?: false).isFalse()
        expectThat((System.nanoTime() - startNs) / NANOS_PER_MS).isLessThan(LIMIT_MS + MARGIN_MS)
        awaitTrue(MARGIN_MS, "the release of the request") { testBed.inProgress == 0 && testBed.running(0) == 0 }
    }

    @TestFactory
    fun `a slow stream is not cut`() = listOf(50L, 400L).map { pauseMs ->
        DynamicTest.dynamicTest("$pauseMs ms between events") {
            val engine = FakeBackend {
                bodyText()
                beginStream()
                for (position in 1 until TOKENS) {
                    Thread.sleep(pauseMs)
                    event(
                        """{"position":$position,"choices":[{"index":0,"text":" t$position","finish_reason":null}]}""",
                    )
                }
                val usage = """{"prompt_tokens":1,"completion_tokens":$TOKENS,"total_tokens":${TOKENS + 1}}"""
                event("""{"position":$TOKENS,"choices":[{"text":"","finish_reason":"stop"}],"usage":$usage}""")
                event("[DONE]")
                write("0\r\n\r\n")
            }
            engine.use {
                TrafficTestBed(engines = listOf(engine.port)).use { testBed ->
                    val response = RawClient(testBed.port).use { client ->
                        client.send(generation)
                        client.read()
                    }
                    expectThat(response?.status).isEqualTo(200)
                    expectThat(response?.complete).isEqualTo(true)
                    expectThat(response?.body.orEmpty()).contains(" t${TOKENS - 1}").contains("[DONE]")
                    expectThat(testBed.inProgress == 0).isTrue()
                }
            }
        }
    }

    private companion object {
        val generation = request("POST /v1/completions", """{"model":"m","prompt":"a","stream":true}""")
        const val TOKENS = 6
        const val LIMIT_MS = 1_000L
        const val MARGIN_MS = 3_000L
        const val DRIP_INTERVAL_MS = 50L

        /** Longer than a request may take with all margins. */
        const val DRIPS = 200
        const val HEX = 16
        const val NANOS_PER_MS = 1_000_000
    }
}
