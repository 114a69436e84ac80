package org.bramleyspur.daemon.engine

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpHeaders
import org.bramleyspur.core.settings.Address
import org.bramleyspur.core.time.ManualTimers
import org.bramleyspur.daemon.http.HttpCall
import org.bramleyspur.daemon.http.HttpListener
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isLessThan

/** Guards against an agent that keeps the whole of an engine's long error or report. */
class EngineResponseLimitTest {
    private var keptChars = 0
    private lateinit var response: HttpListener
    private val engine = OpenAiEngine(
        Address("127.0.0.1", 1),
        { _, body, _, listener ->
            body?.release()
            response = listener
            UnusedCall
        },
        ManualTimers(),
    )

    private object UnusedCall : HttpCall {
        override val writable = false

        override fun send(data: ByteBuf, last: Boolean) = Unit

        override fun pauseReading(paused: Boolean) = Unit

        override fun cancel() = Unit

        override fun discard() = Unit
    }

    private val listener = object : EngineListener {
        override fun onRefused(reason: EngineRefusal, message: String) = keep(message)

        override fun onBegun() = Unit

        override fun onToken(position: Int, token: String) = Unit

        override fun onEnd(finishReason: String, promptTokens: Int, completionTokens: Int) = Unit

        override fun onBroken(message: String, begun: Boolean) = keep(message)

        override fun onRejected(status: Int, message: String) = keep(message)

        private fun keep(message: String) {
            keptChars = message.length
        }
    }

    private fun HttpListener.receive(status: Int) {
        onHead(status, DefaultHttpHeaders())
        repeat(PARTS) { onData(Unpooled.wrappedBuffer(ByteArray(PART_BYTES) { 'a'.code.toByte() })) }
        onEnd()
    }

    @TestFactory
    fun `little is kept of an error`() = listOf(400, 408, 409, 429, 500).map { status ->
        DynamicTest.dynamicTest("$status") {
            val request = EngineRequest("1/1", "/v1/completions", "{}", 0, 1_000, "", 0, "")
            engine.execute(request, listener)
            response.receive(status)
            expectThat(keptChars).isLessThan(MAX_KEPT_CHARS)
        }
    }

    @Test
    fun `little is kept of a report`() {
        BodyReader { _, body -> keptChars = body.length }.receive(200)
        expectThat(keptChars).isLessThan(MAX_KEPT_CHARS)
    }

    private companion object {
        const val PARTS = 100
        const val PART_BYTES = 8 * 1024

        /** The limit and one part. */
        const val MAX_KEPT_CHARS = 32 * 1024
    }
}
