package org.bramleyspur.daemon.caller

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.TestInstance
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isTrue

private const val COMPLETION = """{"model":"m","prompt":"a"}"""
private const val COMPLETIONS_LINE = "POST /v1/completions"

/** Guards against invalid caller input that gets no clear error response or disturbs other requests. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class CallerInputTest {
    private class Case(val name: String, val status: Int, val code: String, val bytes: String)

    private val engine = fakeEngine(EnginePlan(tokens = 5))
    private val plain = FakeBackend {
        val body = bodyText()
        reply(200, "$method $path $body")
    }
    private val testBed = TrafficTestBed(
        listOf(engine.port),
        listOf(plain.port),
        CallerLimits(requestTimeoutMs = 600, idleTimeoutMs = 5_000),
    )

    @AfterAll
    fun close() {
        testBed.close()
        engine.close()
        plain.close()
    }

    private fun post(body: String, path: String = "/v1/completions") = request("POST $path", body)

    private val cases = listOf(
        Case("empty body", 400, "invalid_request", post("")),
        Case("truncated JSON", 400, "invalid_request", post("""{"model":"m","prompt":""")),
        Case("JSON array", 400, "invalid_request", post("[1,2]")),
        Case("deep arrays", 400, "invalid_request", post("""{"model":"m","prompt":"a","x":${"[".repeat(200_000)}""")),
        Case("deep objects", 400, "invalid_request", post("""{"x":""".repeat(100_000))),
        Case("no model", 400, "invalid_request", post("""{"prompt":"a"}""")),
        Case("model is a number", 400, "invalid_request", post("""{"model":5,"prompt":"a"}""")),
        Case("no prompt", 400, "invalid_request", post("""{"model":"m"}""")),
        Case("prompt is a number", 400, "invalid_request", post("""{"model":"m","prompt":7}""")),
        Case("no messages", 400, "invalid_request", post("""{"model":"m"}""", "/v1/chat/completions")),
        Case(
            "messages are strings",
            400,
            "invalid_request",
            post("""{"model":"m","messages":["a"]}""", "/v1/chat/completions"),
        ),
        Case("n is 2", 400, "invalid_request", post("""{"model":"m","prompt":"a","n":2}""")),
        Case("n is an object", 400, "invalid_request", post("""{"model":"m","prompt":"a","n":{}}""")),
        Case("stream is a number", 400, "invalid_request", post("""{"model":"m","prompt":"a","stream":5}""")),
        Case("stream is a string", 400, "invalid_request", post("""{"model":"m","prompt":"a","stream":"yes"}""")),
        Case("unknown model", 404, "model_not_found", post("""{"model":"x","prompt":"a"}""")),
        Case("unknown adapter", 404, "model_not_found", post("""{"model":"m:x","prompt":"a"}""")),
        Case("plain service as model", 404, "model_not_found", post("""{"model":"p","prompt":"a"}""")),
        Case("unknown account", 401, "invalid_api_key", request("POST /v1/completions", COMPLETION, key = "other")),
        Case("no key", 401, "invalid_api_key", "GET /v1/models HTTP/1.1\r\nHost: e\r\n\r\n"),
        Case("unknown path", 404, "not_found", request("GET /nothing")),
        Case("wrong method", 405, "invalid_request", request("GET /v1/completions")),
        Case("wrong method for models", 405, "invalid_request", request("DELETE /v1/models")),
        Case("connect method", 405, "invalid_request", request("CONNECT /p/x")),
        Case("body of 5 MB", 413, "invalid_request", post("a".repeat(5_000_000))),
        Case(
            "body of 5 MB on a last request",
            413,
            "invalid_request",
            request("POST /v1/completions", "a".repeat(5_000_000), "Connection: close\r\n"),
        ),
        Case(
            "large header",
            431,
            "invalid_request",
            request("GET /v1/models", headers = "X: ${"a".repeat(20_000)}\r\n"),
        ),
        Case("long request line", 414, "invalid_request", request("GET /${"a".repeat(10_000)}")),
        Case("bytes that are no HTTP", 400, "invalid_request", "\u0001\u0002\u00ff garbage\r\n\r\n"),
        Case("malformed header", 400, "invalid_request", "GET / HTTP/1.1\r\nno colon\r\n\r\n"),
        Case(
            "two content lengths",
            400,
            "invalid_request",
            "POST /v1/completions HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        ),
        Case("bad chunk size", 400, "invalid_request", request(COMPLETIONS_LINE, headers = CHUNKED) + "zz\r\nabc\r\n"),
        Case(
            "bad chunk size to a plain service",
            400,
            "invalid_request",
            request("POST /p/x", headers = CHUNKED) + "zz\r\n",
        ),
        Case("slow head", 408, "request_timeout", "POST /v1/completions HTTP/1.1\r\nHos"),
        Case(
            "slow body",
            408,
            "request_timeout",
            request("POST /v1/completions", headers = "Content-Length: 9\r\n") + "a",
        ),
        Case(
            "slow body to a plain service",
            408,
            "request_timeout",
            request("POST /p/x", headers = "Content-Length: 9\r\n"),
        ),
    )

    @TestFactory
    fun `invalid requests get an error object and do not disturb other requests`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            RawClient(testBed.port).use { client ->
                client.send(case.bytes)
                val response = client.read()
                expectThat(response).isNotNull()
                val error = Json.parseToJsonElement(response!!.body).jsonObject["error"]!!.jsonObject
                expectThat(response.status).isEqualTo(case.status)
                expectThat(response.complete).isTrue()
                expectThat(error["code"]!!.jsonPrimitive.content).isEqualTo(case.code)
                expectThat(error.keys).contains("message", "type", "param", "refusal")
                expectThat(response.header("bramleyspur-outcome")).isEqualTo("not_run")
            }
            expectNormalService()
            awaitTrue(1_000, "the release of the request") { testBed.inProgress == 0 }
        }
    }

    private class ValidCase(val name: String, val bytes: String, val statuses: List<Int>)

    private val validCases = listOf(
        ValidCase("continue", request(COMPLETIONS_LINE, COMPLETION, "Expect: 100-continue\r\n"), listOf(100, 200)),
        ValidCase(
            "continue, then another",
            request(COMPLETIONS_LINE, COMPLETION, "Expect: 100-continue\r\n") + request(COMPLETIONS_LINE, COMPLETION),
            listOf(100, 200, 200),
        ),
        ValidCase("chunked", request(COMPLETIONS_LINE, headers = CHUNKED) + chunkedBody(COMPLETION), listOf(200)),
        ValidCase("HTTP/1.0", request(COMPLETIONS_LINE, COMPLETION).replace("HTTP/1.1", "HTTP/1.0"), listOf(200)),
        ValidCase("two, the first rejected", post("{") + post(COMPLETION), listOf(400, 200)),
        ValidCase("two, the second malformed", post(COMPLETION) + "GET\r\n\r\n", listOf(200, 400)),
        ValidCase("many", post(COMPLETION).repeat(40), List(40) { 200 }),
    )

    @TestFactory
    fun `all valid request formats get responses in order`() = validCases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            RawClient(testBed.port).use { client ->
                client.send(case.bytes)
                val responses = case.statuses.map { client.read() }
                expectThat(responses.map { it?.status }).isEqualTo(case.statuses)
                expectThat(responses.filter { it?.status == 200 }.all { generated(5) in it!!.body }).isTrue()
            }
        }
    }

    @Test
    fun `HTTP 1_0 callers get no chunked responses`() {
        val stream = """{"model":"m","prompt":"a","stream":true}"""
        RawClient(testBed.port).use { client ->
            client.send(request(COMPLETIONS_LINE, stream).replace("HTTP/1.1", "HTTP/1.0"))
            val response = client.read()!!
            expectThat(response.header("transfer-encoding")).isEqualTo("")
            expectThat(response.body).contains("data: [DONE]\n\n")
        }
    }

    @Test
    fun `responses to pipelined requests stay in order after a 100-continue expectation and a HEAD request`() {
        RawClient(testBed.port).use { client ->
            client.send(
                request("POST /p/a", "x", "Expect: 100-continue\r\n") + request("HEAD /p/b") + request("GET /p/c"),
            )
            expectThat(client.read()!!.status).isEqualTo(100)
            expectThat(client.read()!!.body).isEqualTo("POST /a x")
            expectThat(client.read("HEAD")!!.body).isEqualTo("")
            expectThat(client.read()!!.body).isEqualTo("GET /c ")
        }
    }

    @Test
    fun `a half-closed connection counts as a disconnected caller`() {
        RawClient(testBed.port).use { client ->
            client.send(request(COMPLETIONS_LINE, headers = "Content-Length: 30\r\n"))
            client.halfClose()
            expectThat(client.isAtEnd()).isTrue()
        }
    }

    @Test
    fun `callers that pipeline requests without reading responses use bounded memory`() {
        RawClient(testBed.port, 4_096).use { client ->
            val inProgressBefore = testBed.inProgress
            val sentBytes = java.util.concurrent.atomic.AtomicLong()
            val part = post(COMPLETION).repeat(1_000).toByteArray()
            val writer = kotlin.concurrent.thread {
                try {
                    repeat(1_000) {
                        client.send(part)
                        sentBytes.addAndGet(part.size.toLong())
                    }
                } catch (_: java.io.IOException) {
                    return@thread
                }
            }
            writer.join(700)
            expectThat(inProgressBefore).isEqualTo(0)
            expectThat(sentBytes.get()).isLessThan(20_000_000L)
            client.reset()
            writer.join()
            expectNormalService()
        }
    }

    private fun expectNormalService() = RawClient(testBed.port).use { client ->
        client.send(post(COMPLETION))
        expectThat(client.read()!!.body).contains(generated(5))
    }

    private companion object {
        const val CHUNKED = "Transfer-Encoding: chunked\r\n"

        fun chunkedBody(text: String) =
            text.chunked(7).joinToString("") { "${it.length.toString(16)}\r\n$it\r\n" } + "0\r\n\r\n"
    }
}
