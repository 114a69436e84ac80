/*
 * The HTTP interface of the plain stand-in. Request bodies are hashed and counted as they arrive and are not buffered.
 */
package org.bramleyspur.testbed.plain

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpChunkedInput
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.stream.ChunkedStream
import io.netty.util.concurrent.Future
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString
import org.bramleyspur.testbed.engine.requestIdOf
import org.bramleyspur.testbed.http.respondError
import org.bramleyspur.testbed.http.respondJson
import org.bramleyspur.testbed.http.testbedJson
import java.io.InputStream
import java.security.MessageDigest
import java.util.HexFormat
import java.util.concurrent.TimeUnit

/** Response to a call, which describes the received request. */
@Serializable
internal data class Echo(
    val method: String,
    val path: String,
    @SerialName("request_id") val requestId: String,
    @SerialName("body_length") val bodyLength: Long,
    @SerialName("body_sha256") val bodySha256: String,
)

/** Response to `GET /admin/state`. */
@Serializable
internal data class PlainStateReport(
    @SerialName("boot_id") val bootId: String,
    val state: String,
    val running: Int,
    val slots: Int,
)

/** Response to `GET /admin/runs`. */
@Serializable
internal data class PlainRunsReport(
    val total: Long,
    @SerialName("by_request") val byRequest: Map<String, Int>,
    @SerialName("by_key") val byKey: Map<String, Int>,
)

/** Behaviour requested by a call through its `X-Test-*` headers. */
private class TestHeaders(request: HttpRequest, settings: PlainSettings) {
    val delayMs = request.headers()["X-Test-Delay-Ms"]?.toLongOrNull() ?: settings.delayMs
    val status = request.headers()["X-Test-Status"]?.toIntOrNull() ?: settings.failureStatus
    val drop = request.headers()["X-Test-Drop"] == "true"
    val responseBytes = request.headers()["X-Test-Answer-Bytes"]?.toLongOrNull()
}

/** Serves one connection with one call at a time. */
internal class PlainHandler(private val state: PlainState) : SimpleChannelInboundHandler<HttpObject>() {
    private inner class Call(val request: HttpRequest, val requestId: String) {
        val headers = TestHeaders(request, state.settings)
        val digest: MessageDigest = MessageDigest.getInstance("SHA-256")
        var length = 0L
        var timer: Future<*>? = null
    }

    private var call: Call? = null
    private var pendingResponse: ((ChannelHandlerContext) -> Unit)? = null

    override fun channelRead0(context: ChannelHandlerContext, message: HttpObject) {
        if (message is HttpRequest) readHead(context, message)
        if (message is HttpContent) readContent(context, message)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        call?.timer?.cancel(false)
        endCall()
        super.channelInactive(context)
    }

    @Deprecated("Deprecated in Netty for outbound handlers only")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        context.close()
    }

    private fun readHead(context: ChannelHandlerContext, request: HttpRequest) {
        if (request.decoderResult().isFailure || call != null) {
            context.close()
            return
        }
        pendingResponse = adminResponse(request) ?: slotRefusal()
        if (pendingResponse != null) return
        begin(request)
        if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
        }
    }

    private fun adminResponse(request: HttpRequest): ((ChannelHandlerContext) -> Unit)? = when (request.uri()) {
        "/admin/state" -> ({ it.respondJson(testbedJson.encodeToString(stateReport())) })
        "/admin/runs" -> ({ it.respondJson(testbedJson.encodeToString(runsReport())) })
        else -> null
    }

    private fun slotRefusal(): ((ChannelHandlerContext) -> Unit)? {
        if (state.running < state.settings.slots) return null
        return { it.respondError(429, "no_slot", "no free slot; send the call to another server or later") }
    }

    private fun begin(request: HttpRequest) {
        val headers = request.headers()
        val requestId = requestIdOf(headers["X-Request-Id"].orEmpty())
        state.running++
        state.byRequest.count(requestId)
        headers["Idempotency-Key"]?.let(state.byKey::count)
        call = Call(request, requestId)
    }

    private fun readContent(context: ChannelHandlerContext, content: HttpContent) {
        val active = call
        if (active != null) active.add(content.content())
        if (content !is LastHttpContent) return
        if (active != null) {
            active.timer =
                context.executor().schedule({ respond(context, active) }, active.headers.delayMs, TimeUnit.MILLISECONDS)
        } else {
            pendingResponse?.invoke(context)
            pendingResponse = null
        }
    }

    private fun Call.add(bytes: ByteBuf) {
        length += bytes.readableBytes()
        bytes.nioBuffers().forEach(digest::update)
    }

    private fun respond(context: ChannelHandlerContext, call: Call) {
        endCall()
        val headers = call.headers
        when {
            headers.drop -> context.close()
            headers.status > 0 -> context.respondError(headers.status, "server_error", "failure requested by the test")
            headers.responseBytes != null -> respondBytes(context, headers.responseBytes)
            else -> context.respondJson(testbedJson.encodeToString(echo(call)))
        }
    }

    private fun respondBytes(context: ChannelHandlerContext, length: Long) {
        val head = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK)
        head.headers()
            .set(HttpHeaderNames.CONTENT_TYPE, "application/octet-stream")
            .set(HttpHeaderNames.CONTENT_LENGTH, length)
        context.write(head)
        context.writeAndFlush(HttpChunkedInput(ChunkedStream(RepeatedBytes(length))))
    }

    private fun echo(call: Call) = Echo(
        method = call.request.method().name(),
        path = call.request.uri(),
        requestId = call.requestId,
        bodyLength = call.length,
        bodySha256 = HexFormat.of().formatHex(call.digest.digest()),
    )

    private fun endCall() {
        if (call == null) return
        call = null
        state.running--
    }

    private fun stateReport() = PlainStateReport(state.settings.bootId, "ready", state.running, state.settings.slots)

    private fun runsReport() = PlainRunsReport(state.byRequest.total, state.byRequest.byKey(), state.byKey.byKey())
}

/** A stream of [length] bytes, all of them the letter `x`. */
private class RepeatedBytes(length: Long) : InputStream() {
    private var remaining = length

    override fun read(): Int {
        if (remaining == 0L) return -1
        remaining--
        return 'x'.code
    }

    override fun read(target: ByteArray, offset: Int, count: Int): Int {
        if (remaining == 0L) return -1
        val read = minOf(remaining, count.toLong()).toInt()
        target.fill('x'.code.toByte(), offset, offset + read)
        remaining -= read
        return read
    }

    override fun available(): Int = minOf(remaining, Int.MAX_VALUE.toLong()).toInt()
}
