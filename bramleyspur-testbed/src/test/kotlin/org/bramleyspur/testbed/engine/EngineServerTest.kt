/*
 * Tests of the stand-in engine over loopback sockets.
 */
package org.bramleyspur.testbed.engine

import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.bramleyspur.testbed.anyPort
import org.bramleyspur.testbed.call
import org.bramleyspur.testbed.eventually
import org.bramleyspur.testbed.http.testbedJson
import org.bramleyspur.testbed.open
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import java.io.IOException

class EngineServerTest {
    private val fastSettings =
        EngineSettings(slots = 1, decodeMs = 0.2, loadMs = 1, model = "m", adapters = listOf("a"), groupCheckMs = 5)
    private val endlessRequest = """{"model":"m","prompt":"p","stream":true,"max_tokens":100000000}"""

    /** Guards against a resumed generation that repeats, skips or changes tokens. */
    @ParameterizedTest
    @CsvSource("m,,0", "m,,1", "m,,7", "m,a,19", "m,a,20")
    fun `a resumed generation continues exactly`(model: String, adapter: String?, position: Int) {
        val tokens = TokenFunction(model, "v1", adapter, "the prompt")
        val before = (0 until position).map { tokens.token(it) }
        val name = listOfNotNull(model, adapter).joinToString(":")
        val resume = """{"position":$position,"tokens":${testbedJson.encodeToString(before)}}"""
        val body = """{"model":"$name","prompt":"the prompt","stream":true,"max_tokens":20,"resume":$resume}"""
        EngineServer(anyPort(), fastSettings).use { engine ->
            val lines = call(engine.port, "/v1/completions", body).body().lines().filter { it.isNotEmpty() }
            val events = lines.dropLast(1).map { testbedJson.parseToJsonElement(it.removePrefix("data: ")).jsonObject }
            expectThat(lines.last()).isEqualTo("data: [DONE]")
            expectThat(events.map { it.getValue("position").jsonPrimitive.content.toInt() })
                .isEqualTo((position..20).toList())
            expectThat(events.map { Regex(""""text":"([^"]*)"""").find(it.toString())?.groupValues?.get(1) })
                .isEqualTo((position until 20).map { tokens.token(it) } + "")
        }
    }

    /** Guards against a non-streamed response that differs from the streamed one. */
    @Test
    fun `a chat response without a stream has the complete text`() {
        val expected = TokenFunction("m", "v1", null, chatPrompt(listOf("user" to "hi"))).text(5)
        EngineServer(anyPort(), fastSettings).use { engine ->
            val body = """{"model":"m","messages":[{"role":"user","content":"hi"}],"max_tokens":5}"""
            expectThat(call(engine.port, "/v1/chat/completions", body).body()).contains("\"content\":\"$expected\"")
        }
    }

    /** Guards against a slot that stays occupied after its generation was cancelled. */
    @Test
    fun `a cancellation frees the slot before its response`() {
        EngineServer(anyPort(), fastSettings).use { engine ->
            val running = open(engine.port, "/v1/completions", endlessRequest, mapOf("X-Request-Id" to "r/1"))
            expectThat(call(engine.port, "/v1/completions", endlessRequest).statusCode()).isEqualTo(429)
            val response = call(engine.port, "/admin/cancel", """{"request":"r/1"}""").body()
            expectThat(response).isEqualTo("""{"known":true,"began":true}""")
            expectThat(call(engine.port, "/admin/state").body()).contains("\"running\":0")
            expectThat(call(engine.port, "/admin/cancel", """{"request":"other/1"}""").body())
                .isEqualTo("""{"known":false,"began":false}""")
            expectThat(textUntilEnd(running.body()::readAllBytes)).isEqualTo("broken")
        }
    }

    /** Guards against generations that continue after their callers have disconnected. */
    @Test
    fun `a disconnect frees the slot`() {
        EngineServer(anyPort(), fastSettings).use { engine ->
            val running = open(engine.port, "/v1/completions", endlessRequest)
            expectThat(call(engine.port, "/admin/state").body()).contains("\"running\":1")
            running.body().close()
            eventually("slot free") { "\"running\":0" in call(engine.port, "/admin/state").body() }
        }
    }

    /** Guards against a stand-in that does not reproduce both kinds of engines. */
    @ParameterizedTest
    @CsvSource("HONOUR,412,5", "IGNORE,200,4")
    fun `an order with an old number is refused only where numbers are honoured`(
        mode: Fencing,
        status: Int,
        reportedNumber: Long,
    ) {
        EngineServer(anyPort(), fastSettings.copy(fencing = mode)).use { engine ->
            expectThat(call(engine.port, "/admin/orders", order(5, "r-1")).statusCode()).isEqualTo(200)
            expectThat(call(engine.port, "/admin/orders", order(4, "r-2")).statusCode()).isEqualTo(status)
            expectThat(call(engine.port, "/admin/state").body()).contains("\"fencing_number\":$reportedNumber,")
        }
    }

    /** Guards against runs under a replica or fencing number that the engine no longer has. */
    @ParameterizedTest
    @CsvSource("HONOUR,r-1,5,200", "HONOUR,r-1,4,409", "HONOUR,r-2,5,409", "IGNORE,r-1,4,200", "IGNORE,r-2,5,409")
    fun `a request must match the role`(mode: Fencing, replica: String, number: String, status: Int) {
        EngineServer(anyPort(), fastSettings.copy(fencing = mode)).use { engine ->
            call(engine.port, "/admin/orders", order(5, "r-1"))
            eventually("ready") { "\"ready\"" in call(engine.port, "/admin/state").body() }
            val headers = mapOf("X-Replica" to replica, "X-Fencing-Number" to number)
            val response =
                call(engine.port, "/v1/completions", """{"model":"m","prompt":"p","max_tokens":1}""", headers)
            expectThat(response.statusCode()).isEqualTo(status)
            if (status != 200) expectThat(response.body()).contains("\"type\":\"not_in_role\"")
        }
    }

    /** Guards against a replica that serves with only some of its engines. */
    @Test
    fun `an incomplete group aborts streams without DONE and refuses requests`() {
        val idleSettings = fastSettings.copy(model = null, groupTimeoutMs = 500)
        EngineServer(anyPort(), idleSettings).use { first ->
            val member = EngineServer(anyPort(), idleSettings)
            val members = listOf(first, member).map { "127.0.0.1:${it.port}" }
            call(first.port, "/admin/orders", order(5, "r-1", "first", members))
            val running = member.use {
                call(first.port, "/v1/completions", endlessRequest).also { expectThat(it.statusCode()).isEqualTo(409) }
                call(member.port, "/admin/orders", order(5, "r-1", "member", members))
                var stream = open(first.port, "/v1/completions", endlessRequest)
                eventually("group complete") {
                    if (stream.statusCode() != 200) stream = open(first.port, "/v1/completions", endlessRequest)
                    stream.statusCode() == 200
                }
                stream
            }
            expectThat(textUntilEnd(running.body()::readAllBytes)).isEqualTo("broken")
            val refused = call(first.port, "/v1/completions", endlessRequest)
            expectThat(refused.statusCode()).isEqualTo(409)
            expectThat(refused.body()).contains("not_in_role")
        }
    }

    /** Guards against malformed input that runs or is refused without an OpenAI error object. */
    @ParameterizedTest
    @ValueSource(
        strings = [
            "", "{", "[]", """{"model":"m"}""", """{"model":"m","prompt":5,"max_tokens":"x"}""",
            """{"model":"m","prompt":"p","max_tokens":0}""",
            """{"model":"m","prompt":"p","resume":{"position":2,"tokens":["a"]}}""",
            """{"model":"m","prompt":"p","resume":{"position":-1,"tokens":[]}}""",
            """{"model":"m","prompt":"p","resume":{"position":1,"tokens":[" foreign"]}}""",
        ],
    )
    fun `malformed input gets an error object`(body: String) {
        EngineServer(anyPort(), fastSettings).use { engine ->
            val response = call(engine.port, "/v1/completions", body)
            val error = testbedJson.decodeFromString<StrictErrorBody>(response.body()).error
            expectThat(response.statusCode()).isEqualTo(400)
            expectThat(error.type).isEqualTo("invalid_request_error")
            expectThat(call(engine.port, "/admin/runs").body()).isEqualTo("""{"total":0,"by_request":{}}""")
        }
    }

    /** Guards against refusals that are counted as runs. */
    @ParameterizedTest
    @CsvSource("other,1000,404", "m:b,1000,404", "m,0,408", "m,-5,408")
    fun `a refused request does not run`(model: String, timeoutMs: String, status: Int) {
        EngineServer(anyPort(), fastSettings).use { engine ->
            val body = """{"model":"$model","prompt":"p","max_tokens":1}"""
            val response = call(engine.port, "/v1/completions", body, mapOf("X-Timeout-Ms" to timeoutMs))
            expectThat(response.statusCode()).isEqualTo(status)
            expectThat(call(engine.port, "/admin/runs").body()).contains("\"total\":0")
        }
    }

    /** Guards against a queue that ignores priorities. */
    @Test
    fun `a waiting request of higher priority begins first`() {
        EngineServer(anyPort(), fastSettings.copy(queueLimit = 2, reportLagMs = 0)).use { engine ->
            open(engine.port, "/v1/completions", endlessRequest, mapOf("X-Request-Id" to "first/1"))
            for ((id, priority) in listOf("low/1" to "1", "high/1" to "2")) {
                val headers = mapOf("X-Request-Id" to id, "X-Priority" to priority)
                Thread { runCatching { open(engine.port, "/v1/completions", endlessRequest, headers) } }.start()
                val queued = if (id == "low/1") 1 else 2
                eventually("queued") { "\"queued\":$queued" in call(engine.port, "/admin/load").body() }
            }
            call(engine.port, "/admin/cancel", """{"request":"first/1"}""")
            expectThat(call(engine.port, "/admin/runs").body())
                .isEqualTo("""{"total":2,"by_request":{"first":1,"high":1}}""")
        }
    }

    /** Guards against a stand-in whose event stream has no gaps, which would hide faults in their handling. */
    @Test
    fun `lost cache events leave gaps in the sequence`() {
        val settings = fastSettings.copy(cacheEventLoss = 0.5, cacheEventDelayMs = 0, seed = 3)
        EngineServer(anyPort(), settings).use { engine ->
            val prompt = "x".repeat(256 * 20)
            call(engine.port, "/v1/completions", """{"model":"m","prompt":"$prompt","max_tokens":1}""")
            val reader = open(engine.port, "/admin/cache-events?after=0").body().bufferedReader()
            val events = List(5) {
                testbedJson.decodeFromString<CacheEvent>(reader.readLine().removePrefix("data: ")).also {
                    reader.readLine()
                }
            }
            val sequences = events.map { it.sequence }
            expectThat(sequences).isEqualTo(sequences.sorted().distinct())
            expectThat(sequences.last()).isGreaterThan(5)
            val digests = prefixDigests(prompt.toByteArray())
            expectThat(events.map { it.prefix }).isEqualTo(sequences.map { digests[it.toInt() - 1] })
            reader.close()
        }
    }

    /** Guards against a cache that does not shorten the prefill or keeps more than its capacity. */
    @Test
    fun `the prefix cache keeps the most recently used blocks`() {
        val events = ArrayList<String>()
        val cache = PrefixCache(capacity = 2) { kind, _ -> events += kind }
        val long = ByteArray(600) { 1 }
        val other = ByteArray(300) { 2 }
        expectThat(listOf(cache.use(long), cache.use(long), cache.use(other), cache.use(long)))
            .containsExactly(0, 512, 0, 0)
        expectThat(events.count { it == "stored" } - events.count { it == "evicted" }).isLessThan(3)
    }

    /** Returns the body, or `broken` if the connection was closed before its end. */
    @Suppress("SwallowedException") // The broken connection is what the test expects.
    private fun textUntilEnd(read: () -> ByteArray): String =
        try {
            String(read())
        } catch (e: IOException) {
            "broken"
        }

    private fun order(number: Int, replica: String, role: String = "first", members: List<String> = emptyList()) =
        """{"order_id":"o","fencing_number":$number,"replica":"$replica","role":"$role","rank":0,"model":"m",""" +
            """"version":"v1","adapters":[],"members":${testbedJson.encodeToString(members)}}"""
}
