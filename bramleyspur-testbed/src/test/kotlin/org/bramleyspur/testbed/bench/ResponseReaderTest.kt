package org.bramleyspur.testbed.bench

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import org.bramleyspur.testbed.engine.TokenFunction
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class ResponseReaderTest {
    private val model = BenchModel("m", "v1", null)
    private val call =
        PlannedCall(0, 0, "g", Side.ENTRY, BenchAccount("a", null), false, PlannedPrompt("s", "u"), maxTokens = 2)
    private val tokens = TokenFunction("m", "v1", null, "su")

    /** Guards against truncated, repeated or invented responses that count as complete. */
    @ParameterizedTest
    @CsvSource(
        "0 1 finish done,complete",
        "0 1 finish,broken",
        "0 done,wrong_text",
        "0 finish done,wrong_text",
        "0 0 1 finish done,wrong_text",
        "1 0 finish done,wrong_text",
        "0 0,wrong_text",
        "0 error,error_event",
        "0 1 finish error done,wrong_text",
        "0 1 finish garbage done,wrong_text",
    )
    fun `the outcome follows from the received events`(events: String, outcome: String) {
        expectThat(outcomeOf(200, null, events.split(' ').joinToString("") { "data: ${event(it)}\n\n" }))
            .isEqualTo(outcome)
    }

    /** Guards against refusals whose kinds are not distinguished. */
    @ParameterizedTest
    @CsvSource("503,not_run,not_run", "502,may_have_run,may_have_run", "500,,http_500", "429,,http_429")
    fun `the outcome of a refusal is its kind`(status: Int, kind: String?, outcome: String) {
        expectThat(outcomeOf(status, kind, "{}")).isEqualTo(outcome)
    }

    private fun outcomeOf(status: Int, kind: String?, body: String): String {
        val recorder = GroupRecorder("g")
        val reader = ResponseReader(call, model, System.nanoTime(), recorder)
        val head = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
        kind?.let { head.headers().set("Bramleyspur-Outcome", it) }
        reader.head(head)
        // One byte per read, the worst case of events split across reads.
        body.toByteArray().forEach { reader.body(Unpooled.wrappedBuffer(byteArrayOf(it))) }
        reader.complete()
        return recorder.report(1.0).outcomes.keys.single()
    }

    private fun event(name: String): String = when (name) {
        "finish" -> """{"choices":[{"text":"","finish_reason":"length"}]}"""
        "done" -> "[DONE]"
        "error" -> """{"error":{"message":"x"}}"""
        "garbage" -> "{"
        else -> """{"choices":[{"text":"${tokens.token(name.toInt())}","finish_reason":null}]}"""
    }
}
