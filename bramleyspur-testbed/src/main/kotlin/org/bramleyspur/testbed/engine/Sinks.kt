/*
 * The two forms of a response: a stream of server-sent events with one token per event, and a single JSON body.
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
import org.bramleyspur.testbed.http.respondError
import org.bramleyspur.testbed.http.respondJson
import org.bramleyspur.testbed.http.testbedJson

/** Writes the head of a stream of server-sent events. */
internal fun ChannelHandlerContext.startEventStream() {
    val head = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK)
    head.headers()
        .set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream")
        .set(HttpHeaderNames.CACHE_CONTROL, HttpHeaderValues.NO_CACHE)
        .set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
    write(head)
}

/** Writes and flushes one server-sent event. */
internal fun ChannelHandlerContext.writeEvent(data: String) {
    val buffer = alloc().buffer(data.length + 8)
    ByteBufUtil.writeAscii(buffer, "data: ")
    ByteBufUtil.writeUtf8(buffer, data)
    ByteBufUtil.writeAscii(buffer, "\n\n")
    writeAndFlush(DefaultHttpContent(buffer), voidPromise())
}

/** Common behaviour of both forms of a response. */
internal abstract class ResponseSink(
    protected val context: ChannelHandlerContext,
    protected val request: CompletionRequest,
    private val onEnd: () -> Unit,
) : TokenSink {
    override val writable: Boolean get() = context.channel().isWritable

    override fun abort() {
        onEnd()
        context.close()
    }

    override fun refuse(refusal: EngineRefusal) {
        onEnd()
        context.respondError(refusal.status, refusal.type, refusal.message)
    }

    protected fun notifyEnd() = onEnd()
}

/**
 * A response as server-sent events. Each token is written as one encoded HTTP chunk that bypasses the codec's encoder,
 * which would write three buffers for it. This is the hot path of the engine.
 */
internal class StreamSink(context: ChannelHandlerContext, request: CompletionRequest, id: String, onEnd: () -> Unit) :
    ResponseSink(context, request, onEnd) {
    private val codecContext = context.pipeline().context(HttpServerCodec::class.java)
    private val eventHead = eventHead(id, request).toByteArray()
    private val textPrefix = if (request.chat) "\"delta\":{\"content\":\"" else "\"text\":\""
    private val textSuffix = if (request.chat) "\"}" else "\""
    private var started = false

    override fun token(position: Int, text: String) {
        start()
        writeChunk("$position,\"choices\":[{\"index\":0,$textPrefix$text$textSuffix,\"finish_reason\":null}]}\n\n")
    }

    override fun finish(position: Int, reason: String, usage: Usage) {
        start()
        notifyEnd()
        val usageJson = testbedJson.encodeToString(usage)
        val choices = "\"choices\":[{\"index\":0,$textPrefix$textSuffix,\"finish_reason\":\"$reason\"}]"
        writeChunk("$position,$choices,\"usage\":$usageJson}\n\n")
        context.writeEvent("[DONE]")
        context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
    }

    private fun start() {
        if (started) return
        started = true
        context.startEventStream()
    }

    /** Writes an event made of [eventHead] and the ASCII text [tail] as an HTTP chunk. */
    private fun writeChunk(tail: String) {
        val length = eventHead.size + tail.length
        val buffer = codecContext.alloc().buffer(length + 16)
        ByteBufUtil.writeAscii(buffer, Integer.toHexString(length))
        ByteBufUtil.writeAscii(buffer, "\r\n")
        buffer.writeBytes(eventHead)
        ByteBufUtil.writeAscii(buffer, tail)
        ByteBufUtil.writeAscii(buffer, "\r\n")
        codecContext.writeAndFlush(buffer, codecContext.voidPromise())
    }

    private fun eventHead(id: String, request: CompletionRequest): String {
        val type = if (request.chat) "chat.completion.chunk" else "text_completion"
        val model = testbedJson.encodeToString(request.modelName)
        return "data: {\"id\":${testbedJson.encodeToString(id)},\"object\":\"$type\",\"model\":$model,\"position\":"
    }
}

/** A response as one JSON body. */
internal class JsonBodySink(
    context: ChannelHandlerContext,
    request: CompletionRequest,
    private val id: String,
    onEnd: () -> Unit,
) : ResponseSink(context, request, onEnd) {
    private val text = StringBuilder(request.resume?.tokens.orEmpty().joinToString(""))

    override fun token(position: Int, text: String) {
        this.text.append(text)
    }

    override fun finish(position: Int, reason: String, usage: Usage) {
        notifyEnd()
        val type = if (request.chat) "chat.completion" else "text_completion"
        val content = testbedJson.encodeToString(text.toString())
        val message = "\"message\":{\"role\":\"assistant\",\"content\":$content}"
        val choice = if (request.chat) message else "\"text\":$content"
        val identity = "\"id\":${testbedJson.encodeToString(id)},\"object\":\"$type\""
        val model = "\"model\":${testbedJson.encodeToString(request.modelName)}"
        val choices = "\"choices\":[{\"index\":0,$choice,\"finish_reason\":\"$reason\"}]"
        context.respondJson("{$identity,$model,$choices,\"usage\":${testbedJson.encodeToString(usage)}}")
    }
}
