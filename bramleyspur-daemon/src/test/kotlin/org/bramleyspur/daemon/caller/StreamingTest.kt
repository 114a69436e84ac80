package org.bramleyspur.daemon.caller

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import java.io.IOException
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** Guards against responses that are truncated, duplicated, out of order, or reported with a wrong outcome. */
class StreamingTest {
    private class Case(
        val name: String,
        val chat: Boolean,
        val stream: Boolean,
        val engines: List<EnginePlan>,
        val tokens: Int = 2_000,
    )

    private val formats = listOf(true, false).flatMap { chat -> listOf(true, false).map { chat to it } }

    private val cases = formats.flatMap { (chat, stream) ->
        val format = (if (chat) "chat" else "completions") + (if (stream) ", streamed" else "")
        listOf(
            Case("$format, 2,000 tokens", chat, stream, listOf(EnginePlan(2_000))),
            Case("$format, repeated events", chat, stream, listOf(EnginePlan(50, repeatEvents = true)), 50),
            Case(
                "$format, interrupted and resumed",
                chat,
                stream,
                listOf(EnginePlan(200, closeAtToken = 77), EnginePlan(200, closeAtToken = 131), EnginePlan(200)),
                200,
            ),
        )
    }

    private fun body(chat: Boolean, stream: Boolean) = if (chat) {
        """{"model":"m","messages":[{"role":"user","content":"a"}],"stream":$stream}"""
    } else {
        """{"model":"m","prompt":"a","stream":$stream}"""
    }

    private fun generation(chat: Boolean, stream: Boolean) =
        request(if (chat) "POST /v1/chat/completions" else "POST /v1/completions", body(chat, stream))

    private fun textOf(response: String, chat: Boolean, stream: Boolean): String {
        val objects = if (!stream) listOf(response) else dataOf(response).filter { it != "[DONE]" }
        return objects.map { Json.parseToJsonElement(it).jsonObject }.joinToString("") { textOf(it, chat, stream) }
    }

    private fun dataOf(response: String) =
        response.lines().filter { it.startsWith("data: ") }.map { it.removePrefix("data: ") }

    private fun textOf(event: JsonObject, chat: Boolean, stream: Boolean): String {
        val choice = event["choices"]!!.jsonArray[0].jsonObject
        val textParent = if (chat) choice[if (stream) "delta" else "message"]!!.jsonObject else choice
        return textParent[if (chat) "content" else "text"]?.jsonPrimitive?.content.orEmpty()
    }

    @TestFactory
    fun `generations are delivered completely`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val engines = case.engines.map { fakeEngine(it) }
            TrafficTestBed(engines.map { it.port }).use { testBed ->
                RawClient(testBed.port).use { client ->
                    client.send(generation(case.chat, case.stream))
                    val response = client.read()!!
                    expectThat(response.status).isEqualTo(200)
                    expectThat(textOf(response.body, case.chat, case.stream)).isEqualTo(generated(case.tokens))
                    if (case.stream) expectThat(dataOf(response.body).last()).isEqualTo("[DONE]")
                    expectThat(response.complete).isTrue()
                }
                awaitTrue(1_000, "the release of the request") { testBed.inProgress == 0 }
            }
            engines.forEach { it.close() }
        }
    }

    @Test
    fun `a stream that no agent can continue ends with an error event and a closed connection`() {
        val engine = fakeEngine(EnginePlan(20, closeAtToken = 7))
        TrafficTestBed(listOf(engine.port), timeoutMs = 600).use { testBed ->
            RawClient(testBed.port).use { client ->
                client.send(generation(chat = true, stream = true))
                val response = client.read()!!
                expectThat(response.complete).isFalse()
                expectThat(response.body).contains(" t6")
                expectThat("[DONE]" in response.body).isFalse()
                val error = Json.parseToJsonElement(dataOf(response.body).last()).jsonObject["error"]!!.jsonObject
                expectThat(error["refusal"]!!.jsonObject["kind"]!!.jsonPrimitive.content).isEqualTo("may_have_run")
            }
        }
        engine.close()
    }

    /** Guards against an error of a later attempt in a stream that has begun, which then ends as complete. */
    @TestFactory
    fun `an error response to a resumed stream does not reach it`() =
        listOf(204, 302, 400, 404, 409, 422).map { status ->
            DynamicTest.dynamicTest("$status") {
                val engine = fakeEngine(EnginePlan(20, closeAtToken = 7))
                val refusing = FakeBackend {
                    bodyText()
                    if (path == "/admin/cancel") reply(200, "{}") else reply(status, """{"error":{"message":"odd"}}""")
                }
                TrafficTestBed(listOf(engine.port, refusing.port), timeoutMs = 600).use { testBed ->
                    // The agent that is tried first is chosen at random.
                    val responses = List(PLAYS) {
                        RawClient(testBed.port).use { client ->
                            client.send(generation(chat = true, stream = true))
                            client.read()!!
                        }
                    }
                    val begun = responses.filter { " t6" in it.body }
                    expectThat(begun.size).isGreaterThan(0)
                    begun.forEach {
                        expectThat(it.complete).isFalse()
                        expectThat("odd" in it.body).isFalse()
                    }
                }
                engine.close()
                refusing.close()
            }
        }

    private val requestsWithoutLease = listOf(
        "completion" to generation(chat = false, stream = false),
        "models" to request("GET /v1/models"),
        "plain call" to request("GET /p/x"),
        "key that is not in the configuration yet" to request("GET /p/x", key = "new"),
    )

    @TestFactory
    fun `an entry without a lease refuses requests as not run`() = requestsWithoutLease.map { (name, bytes) ->
        DynamicTest.dynamicTest(name) {
            TrafficTestBed().use { testBed ->
                testBed.snapshot = testBed.snapshot.copy(leaseUntilMs = Long.MIN_VALUE)
                RawClient(testBed.port).use { client ->
                    client.send(bytes)
                    val response = client.read()!!
                    expectThat(response.status).isEqualTo(503)
                    expectThat(response.header("bramleyspur-outcome")).isEqualTo("not_run")
                    expectThat(response.header("retry-after").toInt()).isGreaterThan(0)
                }
            }
        }
    }

    @Test
    fun `the engine call of a caller that disconnects is cancelled within 250 ms`() {
        val engine = fakeEngine(EnginePlan(20, pauseAtToken = 5))
        TrafficTestBed(listOf(engine.port)).use { testBed ->
            val client = RawClient(testBed.port)
            client.send(generation(chat = false, stream = true))
            client.readUntil(" t4")
            expectThat(testBed.running(0)).isEqualTo(1)
            client.reset()
            val elapsedMs = awaitTrue(2_000, "the release of the slot") {
                testBed.running(0) == 0 &&
                    engine.requestCount("POST /admin/cancel") == 1
            }
            expectThat(elapsedMs).isLessThan(250)
            awaitTrue(1_000, "the release of the request") { testBed.inProgress == 0 }
        }
        engine.close()
    }

    @Test
    fun `a slow reader slows down its engine and frees the slot when it disconnects`() {
        val plan = EnginePlan(tokens = 150_000, paddingChars = 200)
        val engine = fakeEngine(plan)
        TrafficTestBed(listOf(engine.port)).use { testBed ->
            val client = RawClient(testBed.port, 4_096)
            client.send(generation(chat = false, stream = true))
            client.readUntil(" t4")
            awaitStall { plan.tokensWritten.get() }
            expectThat(plan.tokensWritten.get()).isLessThan(plan.tokens)
            client.reset()
            awaitTrue(1_000, "the release of the slot") { testBed.inProgress == 0 && testBed.running(0) == 0 }
            awaitTrue(1_000, "the cancel of the run") { engine.requestCount("POST /admin/cancel") == 1 }
        }
        engine.close()
    }

    /** Waits until [count] has not changed for 300 ms. */
    private fun awaitStall(count: () -> Int) {
        var lastCount = -1
        var unchangedSinceNs = System.nanoTime()
        awaitTrue(9_000, "a stall of the engine") {
            val currentCount = count()
            if (currentCount != lastCount) unchangedSinceNs = System.nanoTime()
            lastCount = currentCount
            System.nanoTime() - unchangedSinceNs > 300_000_000
        }
    }

    @Test
    fun `the connection to an engine that sends an endless line is closed`() {
        val closed = CountDownLatch(1)
        val engine = FakeBackend {
            bodyText()
            if (path == "/admin/cancel") return@FakeBackend reply(200, "{}")
            try {
                write("HTTP/1.1 200 OK\r\n\r\n")
                while (true) write("x".repeat(65_536))
            } catch (_: IOException) {
                closed.countDown()
            }
        }
        TrafficTestBed(listOf(engine.port)).use { testBed ->
            RawClient(testBed.port).use { client ->
                client.send(generation(chat = false, stream = false))
                expectThat(closed.await(3, TimeUnit.SECONDS)).isTrue()
                expectThat(client.read()!!.header("bramleyspur-outcome")).isEqualTo("may_have_run")
            }
        }
        engine.close()
    }

    private companion object {
        const val PLAYS = 6
    }
}
