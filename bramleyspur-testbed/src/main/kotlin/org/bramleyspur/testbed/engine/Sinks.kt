/*
 * The two forms of an answer: a stream of server-sent events with one token an event, and one whole JSON body.
 */
package org.bramleyspur.testbed.engine

import io.netty.buffer.ByteBufUtil
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import kotlinx.serialization.encodeToString
import org.bramleyspur.testbed.http.answerError
import org.bramleyspur.testbed.http.answerJson
import org.bramleyspur.testbed.http.testbedJson

/** Writes the head of a stream of server-sent events. */
internal fun ChannelHandlerContext.startEvents() {
    val head = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK)
    head.headers()
        .set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream")
        .set(HttpHeaderNames.CACHE_CONTROL, HttpHeaderValues.NO_CACHE)
        .set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
    write(head)
}

/** Writes and flushes one server-sent event. */
internal fun ChannelHandlerContext.event(data: String) {
    val buffer = alloc().buffer(data.length + 8)
    ByteBufUtil.writeAscii(buffer, "data: ")
    ByteBufUtil.writeUtf8(buffer, data)
    ByteBufUtil.writeAscii(buffer, "\n\n")
    writeAndFlush(DefaultHttpContent(buffer), voidPromise())
}

/** What all answers of one request have in common. */
internal abstract class AnswerSink(
    protected val context: ChannelHandlerContext,
    protected val request: CompletionRequest,
    private val onEnd: () -> Unit,
) : TokenSink {
    override val writable: Boolean get() = context.channel().isWritable

    override fun broken() {
        onEnd()
        context.close()
    }

    override fun refused(refusal: EngineRefusal) {
        onEnd()
        context.answerError(refusal.status, refusal.type, refusal.message)
    }

    protected fun ended() = onEnd()
}

/**
 * An answer as server-sent events. Each token is written as one finished HTTP chunk past the codec's encoder, which
 * would otherwise write three buffers for it: this is the engine's busiest path.
 */
internal class StreamSink(context: ChannelHandlerContext, request: CompletionRequest, id: String, onEnd: () -> Unit) :
    AnswerSink(context, request, onEnd) {
    private val raw = context.pipeline().context(HttpServerCodec::class.java)
    private val head = head(id, request).toByteArray()
    private val piece = if (request.chat) "\"delta\":{\"content\":\"" else "\"text\":\""
    private val pieceEnd = if (request.chat) "\"}" else "\""
    private var started = false

    override fun token(position: Int, text: String) {
        start()
        chunk("$position,\"choices\":[{\"index\":0,$piece$text$pieceEnd,\"finish_reason\":null}]}\n\n")
    }

    override fun finish(position: Int, reason: String, usage: Usage) {
        start()
        ended()
        val counts = testbedJson.encodeToString(usage)
        val choices = "\"choices\":[{\"index\":0,$piece$pieceEnd,\"finish_reason\":\"$reason\"}]"
        chunk("$position,$choices,\"usage\":$counts}\n\n")
        context.event("[DONE]")
        context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
    }

    private fun start() {
        if (started) return
        started = true
        context.startEvents()
    }

    /** Writes the event of [head] and [tail], which is ASCII, as an HTTP chunk. */
    private fun chunk(tail: String) {
        val length = head.size + tail.length
        val buffer = raw.alloc().buffer(length + 16)
        ByteBufUtil.writeAscii(buffer, Integer.toHexString(length))
        ByteBufUtil.writeAscii(buffer, "\r\n")
        buffer.writeBytes(head)
        ByteBufUtil.writeAscii(buffer, tail)
        ByteBufUtil.writeAscii(buffer, "\r\n")
        raw.writeAndFlush(buffer, raw.voidPromise())
    }

    private fun head(id: String, request: CompletionRequest): String {
        val shape = if (request.chat) "chat.completion.chunk" else "text_completion"
        val model = testbedJson.encodeToString(request.modelName)
        return "data: {\"id\":${testbedJson.encodeToString(id)},\"object\":\"$shape\",\"model\":$model,\"position\":"
    }
}

/** An answer as one JSON body. */
internal class WholeSink(
    context: ChannelHandlerContext,
    request: CompletionRequest,
    private val id: String,
    onEnd: () -> Unit,
) : AnswerSink(context, request, onEnd) {
    private val text = StringBuilder(request.resume?.tokens.orEmpty().joinToString(""))

    override fun token(position: Int, text: String) {
        this.text.append(text)
    }

    override fun finish(position: Int, reason: String, usage: Usage) {
        ended()
        val shape = if (request.chat) "chat.completion" else "text_completion"
        val content = testbedJson.encodeToString(text.toString())
        val message = "\"message\":{\"role\":\"assistant\",\"content\":$content}"
        val piece = if (request.chat) message else "\"text\":$content"
        val names = "\"id\":${testbedJson.encodeToString(id)},\"object\":\"$shape\""
        val model = "\"model\":${testbedJson.encodeToString(request.modelName)}"
        val choices = "\"choices\":[{\"index\":0,$piece,\"finish_reason\":\"$reason\"}]"
        context.answerJson("{$names,$model,$choices,\"usage\":${testbedJson.encodeToString(usage)}}")
    }
}
