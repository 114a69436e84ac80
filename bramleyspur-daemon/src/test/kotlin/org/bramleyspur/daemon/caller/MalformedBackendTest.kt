package org.bramleyspur.daemon.caller

import org.bramleyspur.daemon.http.MALFORMED_HEADS
import org.bramleyspur.daemon.http.MalformedHead
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against a malformed response of an agent's backend server that reaches the caller as an answer. */
class MalformedBackendTest {
    private class Call(val name: String, val bytes: String, val answer: (MalformedHead) -> String)

    private val event = "data: {\"position\":0,\"choices\":[{\"index\":0,\"text\":\" t0\",\"finish_reason\":null}]}\n\n"

    private val calls = listOf(
        Call("plain call", request("POST /p/x", "a")) { it.response("hello") },
    ) + listOf(true, false).map { stream ->
        val body = """{"model":"m","prompt":"a","stream":$stream}"""
        Call("generation, stream $stream", request("POST /v1/completions", body)) {
            it.response(event, "Content-Type: text/event-stream\r\n")
        }
    }

    @TestFactory
    fun `a malformed head is no answer`() = MALFORMED_HEADS.flatMap { head ->
        calls.map { call ->
            DynamicTest.dynamicTest("${head.name}, ${call.name}") {
                val server = FakeBackend {
                    bodyText()
                    if (path == "/admin/cancel") reply(200, "{}") else write(call.answer(head))
                }
                server.use { backend ->
                    val ports = listOf(backend.port)
                    TrafficTestBed(engines = ports, plains = ports, timeoutMs = LIMIT_MS).use { testBed ->
                        RawClient(testBed.port).use { client ->
                            client.send(call.bytes)
                            val response = client.read()
                            expectThat(response?.status).isEqualTo(502)
                            expectThat(response?.header("bramleyspur-outcome")).isEqualTo("may_have_run")
                        }
                    }
                }
            }
        }
    }

    private companion object {
        const val LIMIT_MS = 1_500L
    }
}
