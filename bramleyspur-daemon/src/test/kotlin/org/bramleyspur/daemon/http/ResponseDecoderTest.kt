package org.bramleyspur.daemon.http

import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.util.ReferenceCountUtil
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against a result that depends on how the network splits a response. */
class ResponseDecoderTest {
    private val sound =
        "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" +
            "HTTP/1.1 200 OK\r\nX-Note: b c\r\nContent-Length: 5\r\n\r\nX Y\r\n" +
            "\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n: a\r\n\r\n0\r\nX-Sum: a\r\n\r\n" +
            "HTTP/1.1 204 No Content\r\n\r\n" +
            "HTTP/1.1 200 OK\r\nX-Note:\r\n\r\n a b\r\n: c"

    /** Status codes, bodies and failures of the responses that are received in [parts]. */
    private fun decode(parts: List<String>): String {
        val channel = EmbeddedChannel(ResponseDecoder())
        parts.forEach { channel.writeInbound(Unpooled.copiedBuffer(it, Charsets.ISO_8859_1)) }
        channel.finish()
        return generateSequence { channel.readInbound<HttpObject>() }.joinToString("") { message ->
            textOf(message).also { ReferenceCountUtil.release(message) }
        }
    }

    private fun textOf(message: HttpObject): String = when {
        message.decoderResult().isFailure -> "[failed]"
        message is HttpResponse -> "[${message.status().code()}]"
        message is HttpContent -> message.content().toString(Charsets.ISO_8859_1)
        else -> "[unknown]"
    }

    private fun splitsOf(text: String): List<List<String>> =
        text.indices.map { listOf(text.take(it), text.drop(it)) } + listOf(text.map { "$it" })

    @Test
    fun `responses are decoded however they are split`() {
        val expected = "[103][200]X Y\r\n[200]: a\r\n[204][200] a b\r\n: c"
        splitsOf(sound).forEach { parts -> expectThat(decode(parts)).describedAs("$parts").isEqualTo(expected) }
    }

    @TestFactory
    fun `a malformed head fails however it is split`() = MALFORMED_HEADS.map { head ->
        DynamicTest.dynamicTest(head.name) {
            val before = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"
            splitsOf(before + head.response("b")).forEach { parts ->
                expectThat(decode(parts).substringBefore(']', "")).describedAs("$parts").isEqualTo("[200")
                expectThat(decode(parts).substringAfter("[200]a").take("[failed]".length)).isEqualTo("[failed]")
            }
        }
    }
}
