package org.bramleyspur.daemon.forward

import org.bramleyspur.traffic.quarantine.EngineLife
import org.bramleyspur.traffic.quarantine.PartObservation
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

/** Guards against requests with one prompt part that crash one engine after the other. */
class PromptPartTest : ForwardTest() {
    private val crash = Script("", close = true)
    private val events = Script(streamResponse("id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", complete = true))

    private fun ends(part: String, vararg engines: String) = loops.traffic.submit {
        context.promptParts.receive(engines.map { PartObservation.EngineEnded(part, EngineLife(it, 1)) })
    }.get()

    private fun send(parts: String) = post("/stream/1", "X-Parts: $parts\r\n")!!

    @Test
    fun `a request with a part under which three engines ended reaches no engine`() {
        startBackends(listOf(events))
        ends("bad", "x", "y", "z")
        val response = send("bad:10,own:5")
        expectThat(response.status).isEqualTo(503)
        expectThat(response.header("Retry-After").toDouble()).isGreaterThan(1.0)
        expectThat(backends.single().requests).hasSize(0)
        expectThat(send("good:10,bad:5").status).isEqualTo(200)
    }

    @Test
    fun `a request under which an engine ended is not sent again when another engine had ended under its part`() {
        startBackends(listOf(crash), listOf(events))
        ends("bad", "x")
        expectThat(send("bad:10,own:5").status).isEqualTo(502)
        expectThat(backends.sumOf { it.requests.size }).isEqualTo(1)
    }

    @Test
    fun `the first request under which an engine ended is sent to another engine`() {
        startBackends(listOf(crash), listOf(events))
        expectThat(send("bad:10,own:5").complete).isEqualTo(true)
    }
}
