package org.bramleyspur.testbed.plain

import org.bramleyspur.testbed.anyPort
import org.bramleyspur.testbed.call
import org.bramleyspur.testbed.eventually
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import java.io.IOException

class PlainServerTest {
    /** Guards against counts that miss repeated runs, which at-most-once checks depend on. */
    @Test
    fun `runs are counted by request and by key`() {
        PlainServer(anyPort(), PlainSettings()).use { server ->
            for ((id, key) in listOf("a/1" to "k1", "a/2" to "k1", "b/1" to "k2")) {
                call(server.port, "/orders?x=1", "body", mapOf("X-Request-Id" to id, "Idempotency-Key" to key))
            }
            expectThat(call(server.port, "/admin/runs").body())
                .isEqualTo("""{"total":3,"by_request":{"a":2,"b":1},"by_key":{"k1":2,"k2":1}}""")
        }
    }

    /** Guards against request bodies that are truncated or described wrongly. */
    @ParameterizedTest
    @CsvSource("0", "1", "100000", "5000000")
    fun `the response describes the received request`(length: Int) {
        PlainServer(anyPort(), PlainSettings()).use { server ->
            val response = call(server.port, "/p?q=1", "x".repeat(length), mapOf("X-Request-Id" to "a/1")).body()
            expectThat(response).contains(""""method":"POST","path":"/p?q=1","request_id":"a","body_length":$length,""")
        }
    }

    /** Guards against failed calls that are not counted as runs although they had begun. */
    @ParameterizedTest
    @CsvSource("X-Test-Status,503", "X-Test-Drop,true")
    fun `a failed call counts as a run`(header: String, value: String) {
        PlainServer(anyPort(), PlainSettings()).use { server ->
            val outcome =
                try {
                    call(server.port, "/", "b", mapOf("X-Request-Id" to "a/1", header to value)).statusCode().toString()
                } catch (e: IOException) {
                    "true".takeIf { e.message != null }
                }
            expectThat(outcome).isEqualTo(value)
            expectThat(call(server.port, "/admin/runs").body()).contains("\"by_request\":{\"a\":1}")
        }
    }

    /** Guards against a refusal for lack of slots that is counted as a run. */
    @Test
    fun `a call without a slot is refused and not run`() {
        PlainServer(anyPort(), PlainSettings(slots = 1)).use { server ->
            val slow = Thread { runCatching { call(server.port, "/", "b", mapOf("X-Test-Delay-Ms" to "60000")) } }
            slow.start()
            eventually("running") { "\"running\":1" in call(server.port, "/admin/state").body() }
            expectThat(call(server.port, "/", "b").statusCode()).isEqualTo(429)
            expectThat(call(server.port, "/admin/runs").body()).contains("\"total\":1")
            slow.interrupt()
            eventually("slot free after the disconnect") { "\"running\":0" in call(server.port, "/admin/state").body() }
        }
    }
}
