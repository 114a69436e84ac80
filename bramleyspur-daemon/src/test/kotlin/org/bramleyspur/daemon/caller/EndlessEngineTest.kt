package org.bramleyspur.daemon.caller

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

/** Guards against an agent's backend server that sends without end, and an entry or agent that keeps all of it. */
class EndlessEngineTest {
    private val streamHead =
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

    private fun chunkOf(text: String) = "${text.length.toString(HEX)}\r\n$text\r\n"

    private fun tokenOf(position: Int, text: String) = chunkOf(
        "data: {\"position\":$position,\"choices\":[{\"index\":0,\"text\":\"$text\",\"finish_reason\":null}]}\n\n",
    )

    private fun generation(stream: Boolean) =
        request("POST /v1/completions", """{"model":"m","prompt":"a","stream":$stream}""")

    private fun engine(flood: Flood, start: String, next: (Int) -> String) = FakeBackend {
        bodyText()
        if (path == "/admin/cancel") reply(200, "{}") else flood.send(this, start, next)
    }

    @TestFactory
    fun `a generation without end is broken off before the entry keeps much of it`() =
        listOf(true, false).map { stream ->
            DynamicTest.dynamicTest(if (stream) "streamed" else "as one answer") {
                val flood = Flood()
                val text = "a".repeat(LARGE_TOKEN)
                engine(flood, streamHead) { tokenOf(it, text) }.use { engine ->
                    TrafficTestBed(engines = listOf(engine.port), timeoutMs = LONG_LIMIT_MS).use { testBed ->
                        RawClient(testBed.port).use { client ->
                            client.send(generation(stream))
                            val response = client.read()
                            expectThat(flood.bytes.get()).isLessThan(MAX_GENERATION_BYTES)
                            expectThat(response?.status).isEqualTo(if (stream) 200 else 502)
                            expectThat(response?.complete).isEqualTo(!stream)
                        }
                        expectThat(flood.begun.get()).isEqualTo(1)
                        expectEnded(testBed, flood)
                    }
                }
            }
        }

    private val cases = ENDLESS_HEADS + listOf(
        EndlessResponse("a chunk extension", "$streamHead;1", "a"),
        EndlessResponse("trailers", "${streamHead}0\r\n", "X-Field: value\r\n"),
        EndlessResponse("a line of a stream", streamHead, chunkOf("a")),
        EndlessResponse("comments", streamHead, chunkOf(": wait\n\n")),
        EndlessResponse("events without an end", streamHead, chunkOf("id: 1\n")),
        EndlessResponse("events without choices", streamHead, chunkOf("data: {\"position\":0,\"choices\":[]}\n\n")),
        EndlessResponse("a repeated token", streamHead, tokenOf(0, " t0")),
        EndlessResponse(
            "the body of a rejection",
            "HTTP/1.1 400 Bad\r\nTransfer-Encoding: chunked\r\n\r\n",
            chunkOf("abcd"),
        ),
        EndlessResponse("the body of a refusal", "HTTP/1.1 429 Full\r\n\r\n", "abcd"),
        EndlessResponse("the body of an error", "HTTP/1.1 500 Error\r\n\r\n", "abcd"),
    )

    @TestFactory
    fun `a response without end that is no generation ends with its request`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val flood = Flood()
            engine(flood, case.start) { case.next }.use { engine ->
                TrafficTestBed(engines = listOf(engine.port), timeoutMs = LIMIT_MS).use { testBed ->
                    RawClient(testBed.port).use { client ->
                        client.send(generation(stream = false))
                        expectThat((client.read()?.status ?: 0) >= 400).isEqualTo(true)
                    }
                    expectEnded(testBed, flood)
                }
            }
        }
    }

    @Test
    fun `a response that goes on after its generation is not read on`() {
        val flood = Flood()
        val usage = """"usage":{"prompt_tokens":1,"completion_tokens":1}"""
        val end = """{"position":1,"choices":[{"text":"","finish_reason":"stop"}],$usage}"""
        val start = streamHead + tokenOf(0, " t0") + chunkOf("data: $end\n\ndata: [DONE]\n\n")
        engine(flood, start) { chunkOf(": more\n\n") }.use { engine ->
            TrafficTestBed(engines = listOf(engine.port), timeoutMs = LIMIT_MS).use { testBed ->
                RawClient(testBed.port).use { client ->
                    client.send(generation(stream = false))
                    expectThat(client.read()?.status).isEqualTo(200)
                }
                expectEnded(testBed, flood)
            }
        }
    }

    @TestFactory
    fun `the answer to a cancellation is not awaited without end`() = listOf(
        "header fields" to ("HTTP/1.1 200 OK\r\n" to "X-Field: value\r\n"),
        "a body" to ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" to chunkOf("abcd")),
        "nothing" to ("" to ""),
    ).map { (name, answer) ->
        DynamicTest.dynamicTest(name) {
            val (start, next) = answer
            val flood = Flood()
            val server = FakeBackend {
                bodyText()
                when {
                    path != "/admin/cancel" -> write(streamHead + tokenOf(0, " t0")).also { awaitDisconnect() }
                    next.isEmpty() -> flood.beSilent(this)
                    else -> flood.send(this, start) { next }
                }
            }
            server.use { engine ->
                TrafficTestBed(engines = listOf(engine.port)).use { testBed ->
                    RawClient(testBed.port).use { client ->
                        client.send(generation(stream = true))
                        client.readUntil(" t0")
                    }
                    awaitTrue(MARGIN_MS, "the cancellation") { flood.begun.get() > 0 }
                    expectEnded(testBed, flood)
                }
            }
        }
    }

    @TestFactory
    fun `a response without end is read no faster than its caller takes it`() = listOf(
        "generation" to generation(stream = true),
        "plain response" to request("GET /p/x"),
    ).map { (name, request) ->
        DynamicTest.dynamicTest(name) {
            val flood = Flood()
            val text = "a".repeat(LARGE_TOKEN)
            engine(flood, streamHead) { tokenOf(it, text) }.use { server ->
                val ports = listOf(server.port)
                TrafficTestBed(engines = ports, plains = ports, timeoutMs = LIMIT_MS).use { testBed ->
                    RawClient(testBed.port).use { client ->
                        client.send(request)
                        Thread.sleep(LIMIT_MS / 2)
                        expectThat(flood.begun.get()).isEqualTo(1)
                        expectThat(flood.bytes.get()).isLessThan(MAX_BUFFERED_BYTES)
                    }
                    expectEnded(testBed, flood)
                }
            }
        }
    }

    private fun expectEnded(testBed: TrafficTestBed, flood: Flood) {
        awaitTrue(MARGIN_MS, "the release of the request") {
            testBed.inProgress == 0 && testBed.agents.indices.all { testBed.running(it) == 0 }
        }
        awaitTrue(MARGIN_MS, "the end of the connections") { flood.open.get() == 0 }
    }

    private companion object {
        const val HEX = 16
        const val LARGE_TOKEN = 16 * 1024
        const val LIMIT_MS = 1_500L
        const val MARGIN_MS = 5_000L

        /** Longer than a generation of [MAX_GENERATION_BYTES] takes. */
        const val LONG_LIMIT_MS = 9_000L

        /** The limit of a generation and the buffers of four sockets and of the connection between the processes. */
        const val MAX_GENERATION_BYTES = 64L * 1024 * 1024

        /** The buffers of six sockets and of the connection between the processes. */
        const val MAX_BUFFERED_BYTES = 48L * 1024 * 1024
    }
}
