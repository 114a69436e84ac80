/*
 * A caller's connection: reads one request at a time and writes the responses in order.
 */
package org.bramleyspur.daemon.forward

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.util.ReferenceCountUtil
import org.bramleyspur.core.document.DocumentAccount
import org.bramleyspur.daemon.http.fullResponse
import org.bramleyspur.traffic.forward.targetService
import java.io.ByteArrayOutputStream
import java.util.Locale

/** Server side of a caller's connection. Confined to the traffic thread. */
internal class FrontConnection(
    private val server: FrontServer,
    private val context: ForwardContext,
    private val channel: Channel,
) : ChannelInboundHandlerAdapter() {
    /** Observes bytes before the HTTP codec, so that the time limit also covers an incomplete request head. */
    val byteObserver = object : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            onBytes()
            context.fireChannelRead(message)
        }
    }

    private val pendingMessages = ArrayDeque<HttpObject>()
    private var requestHead: HttpRequest? = null
    private var body = ByteArrayOutputStream()
    private var discardingInput = false
    private var currentRequest: ForwardedRequest? = null
    private var responding = false
    private var keepAlive = true
    private var headStartedAtMs: Long? = null
    private var headReceivedAtMs = 0L
    private var idleSinceMs = context.timers.nowMs()

    /** Whether a request is being read or a response is being sent. */
    val busy: Boolean get() = responding || requestHead != null

    private fun onBytes() {
        if (!responding && requestHead == null && headStartedAtMs == null) headStartedAtMs = context.timers.nowMs()
    }

    override fun channelActive(handler: ChannelHandlerContext) {
        server.onOpen(this)
    }

    override fun channelInactive(handler: ChannelHandlerContext) {
        server.onClosed(this)
        pendingMessages.forEach { ReferenceCountUtil.release(it) }
        pendingMessages.clear()
        val running = currentRequest
        currentRequest = null
        running?.onCallerDisconnected()
    }

    override fun channelWritabilityChanged(handler: ChannelHandlerContext) {
        currentRequest?.onCallerWritable(channel.isWritable)
    }

    @Deprecated("Deprecated in Netty's handler interface, which still calls it.")
    override fun exceptionCaught(handler: ChannelHandlerContext, cause: Throwable) {
        channel.close()
    }

    /** Ends the connection when it has been idle, or an incomplete request has been arriving, for too long. */
    fun closeIfTimedOut() {
        val now = context.timers.nowMs()
        val startedAtMs = headStartedAtMs
        when {
            responding -> Unit
            requestHead != null || startedAtMs != null -> {
                if (now - (startedAtMs ?: headReceivedAtMs) > server.limits.headerTimeoutMs) {
                    refuseInput(HttpResponseStatus.REQUEST_TIMEOUT, "the request was not sent within the time limit")
                }
            }
            now - idleSinceMs > server.limits.idleTimeoutMs -> channel.close()
        }
    }

    fun close() {
        channel.close()
    }

    override fun channelRead(handler: ChannelHandlerContext, message: Any) {
        if (message !is HttpObject) return ReferenceCountUtil.release(message).let { }
        if (responding || pendingMessages.isNotEmpty()) {
            pendingMessages.addLast(message)
            // Bounds the memory for a caller that pipelines requests without reading the responses.
            if (pendingMessages.size > MAX_PENDING_MESSAGES) channel.config().isAutoRead = false
        } else {
            process(message)
        }
    }

    private fun process(message: HttpObject) {
        try {
            when {
                discardingInput -> Unit
                message.decoderResult().isFailure -> onMalformed(message.decoderResult().cause())
                else -> {
                    if (message is HttpRequest) onHead(message)
                    if (message is HttpContent && requestHead != null) onContent(message)
                }
            }
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun onMalformed(cause: Throwable) = if (cause is TooLongHttpHeaderException) {
        refuseInput(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head of the request is too large")
    } else {
        refuseInput(HttpResponseStatus.BAD_REQUEST, "the request is not HTTP/1.1: ${cause.message}")
    }

    private fun onHead(request: HttpRequest) {
        requestHead = request
        headReceivedAtMs = context.timers.nowMs()
        headStartedAtMs = headReceivedAtMs
        body = ByteArrayOutputStream()
        keepAlive = HttpUtil.isKeepAlive(request)
        if (HttpUtil.getContentLength(request, 0L) > server.limits.maxBodyBytes) return refuseBody()
        if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
        }
    }

    private fun refuseBody() =
        refuseInput(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is larger than the limit")

    private fun onContent(content: HttpContent) {
        val data = content.content()
        if (body.size() + data.readableBytes() > server.limits.maxBodyBytes) return refuseBody()
        data.readBytes(body, data.readableBytes())
        if (content is LastHttpContent) onRequest()
    }

    private fun onRequest() {
        val request = requestHead ?: return
        requestHead = null
        headStartedAtMs = null
        responding = true
        val now = context.timers.nowMs()
        admit(CallerRequest(request.method().name(), request.uri(), request.headers(), body.toByteArray(), now))
    }

    /** Checks the request against the current configuration document, and forwards it. */
    private fun admit(request: CallerRequest) {
        val routes = context.routes
            ?: return rejectRequest(HttpResponseStatus.SERVICE_UNAVAILABLE, "no configuration is known yet", request)
        val host = request.headers.get(HttpHeaderNames.HOST)
            ?: return rejectRequest(HttpResponseStatus.BAD_REQUEST, "the request names no host", request)
        val route = routes.route(host, request.path)
            ?: return rejectRequest(HttpResponseStatus.NOT_FOUND, "no route matches host and path", request)
        var account: DocumentAccount? = null
        if (routes.keysRequired && !route.isPublic) {
            account = bearerKey(request.headers)?.let { routes.account(it) }
                ?: return rejectRequest(HttpResponseStatus.UNAUTHORIZED, "the key is unknown", request)
        }
        val service = routes.document.services.getValue(targetService(route, context.randomFraction()))
        val admitted = AdmittedRequest(context, request, route, service, account)
        val forwardedRequest = ForwardedRequest(context, admitted, Response(), ::onResponded)
        currentRequest = forwardedRequest
        forwardedRequest.start()
    }

    private fun rejectRequest(status: HttpResponseStatus, text: String, request: CallerRequest) {
        context.log.write(
            "request",
            "request" to request.headers.get(context.headers.attemptId),
            "outcome" to "rejected",
            "status" to status.code(),
            "config" to context.routes?.version,
            "detail" to text,
        )
        Response().refuse(status.code(), text, if (status.code() == STATUS_UNAVAILABLE) RETRY_AFTER_MS else null)
        onResponded()
    }

    /** Responds to input that is no valid request, and closes the connection. */
    private fun refuseInput(status: HttpResponseStatus, text: String) {
        context.log.write("unreadable-request", "status" to status.code(), "detail" to text)
        discardingInput = true
        requestHead = null
        responding = true
        keepAlive = false
        Response().refuse(status.code(), text)
    }

    private fun onResponded() {
        currentRequest = null
        responding = false
        idleSinceMs = context.timers.nowMs()
        // Scheduled as a separate task, since this request may have ended while it was being started.
        channel.eventLoop().execute { processPending() }
    }

    private fun processPending() {
        while (!responding && pendingMessages.isNotEmpty()) process(pendingMessages.removeFirst())
        if (pendingMessages.size <= MAX_PENDING_MESSAGES && channel.isActive) channel.config().isAutoRead = true
    }

    private inner class Response : CallerResponse {
        override val writable: Boolean get() = channel.isWritable

        override fun refuse(status: Int, text: String, retryAfterMs: Long?) {
            val body = "$text\n".encodeToByteArray()
            val response = fullResponse(HttpResponseStatus.valueOf(status), body, TEXT_CONTENT_TYPE)
            retryAfterMs?.let {
                response.headers().set(HttpHeaderNames.RETRY_AFTER, "%.3f".format(Locale.ROOT, it / MS_PER_SECOND))
            }
            setConnection(response.headers())
            closeUnlessKeptAlive(channel.writeAndFlush(response))
        }

        override fun begin(status: Int, headers: HttpHeaders) {
            val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers)
            if (!headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
                headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
            }
            setConnection(headers)
            channel.write(response)
        }

        private fun setConnection(headers: HttpHeaders) {
            if (server.closesConnections) keepAlive = false
            if (!keepAlive) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        }

        override fun write(data: ByteBuf) {
            channel.writeAndFlush(DefaultHttpContent(data))
        }

        override fun finish() = closeUnlessKeptAlive(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT))

        override fun abort() {
            keepAlive = false
            channel.close()
        }

        private fun closeUnlessKeptAlive(written: ChannelFuture) {
            if (!keepAlive) written.addListener(ChannelFutureListener.CLOSE)
        }
    }

    private companion object {
        const val TEXT_CONTENT_TYPE = "text/plain; charset=utf-8"
        const val MAX_PENDING_MESSAGES = 64
        const val STATUS_UNAVAILABLE = 503

        /** An entry receives the configuration within some hundred milliseconds of its start. */
        const val RETRY_AFTER_MS = 200L
        const val MS_PER_SECOND = 1_000.0

        fun bearerKey(headers: HttpHeaders): String? {
            val value = headers.get(HttpHeaderNames.AUTHORIZATION)?.trim() ?: return null
            val scheme = value.substringBefore(' ', "")
            return if (scheme.equals("Bearer", ignoreCase = true)) value.substringAfter(' ').trim() else null
        }
    }
}
