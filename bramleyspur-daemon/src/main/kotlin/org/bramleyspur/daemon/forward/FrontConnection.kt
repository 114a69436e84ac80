/*
 * A caller's connection: reads one request after the other and writes their answers in order.
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

/** One caller's connection. Used by the traffic thread. */
internal class FrontConnection(
    private val server: FrontServer,
    private val context: ForwardContext,
    private val channel: Channel,
) : ChannelInboundHandlerAdapter() {
    /** Sees the bytes before they are parsed: a head that never ends has a time limit. */
    val byteWatch = object : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            onBytes()
            context.fireChannelRead(message)
        }
    }

    private val waiting = ArrayDeque<HttpObject>()
    private var head: HttpRequest? = null
    private var body = ByteArrayOutputStream()
    private var skipping = false
    private var forwarded: ForwardedRequest? = null
    private var answering = false
    private var keepAlive = true
    private var headStartMs: Long? = null
    private var receivedMs = 0L
    private var quietSinceMs = context.timers.nowMs()

    /** Whether a request is being read or answered. */
    val busy: Boolean get() = answering || head != null

    private fun onBytes() {
        if (!answering && head == null && headStartMs == null) headStartMs = context.timers.nowMs()
    }

    override fun channelActive(handler: ChannelHandlerContext) {
        server.onOpen(this)
    }

    override fun channelInactive(handler: ChannelHandlerContext) {
        server.onClosed(this)
        waiting.forEach { ReferenceCountUtil.release(it) }
        waiting.clear()
        val running = forwarded
        forwarded = null
        running?.callerLeft()
    }

    override fun channelWritabilityChanged(handler: ChannelHandlerContext) {
        forwarded?.onCallerWritable(channel.isWritable)
    }

    @Deprecated("Deprecated in Netty's handler interface, which still calls it.")
    override fun exceptionCaught(handler: ChannelHandlerContext, cause: Throwable) {
        channel.close()
    }

    /** Closes the connection when it has been idle, or has sent a part of a head, for too long. */
    fun sweep() {
        val now = context.timers.nowMs()
        val headStart = headStartMs
        when {
            answering -> Unit
            head != null || headStart != null -> {
                if (now - (headStart ?: receivedMs) > server.limits.headerTimeoutMs) {
                    refuse(HttpResponseStatus.REQUEST_TIMEOUT, "the request was not sent within the time limit")
                }
            }
            now - quietSinceMs > server.limits.idleTimeoutMs -> channel.close()
        }
    }

    /** Closes the connection. */
    fun close() {
        channel.close()
    }

    override fun channelRead(handler: ChannelHandlerContext, message: Any) {
        if (message !is HttpObject) return ReferenceCountUtil.release(message).let { }
        if (answering || waiting.isNotEmpty()) {
            waiting.addLast(message)
            // A caller that sends ahead without reading must not fill the memory.
            if (waiting.size > MAX_WAITING) channel.config().isAutoRead = false
        } else {
            take(message)
        }
    }

    private fun take(message: HttpObject) {
        try {
            when {
                skipping -> Unit
                message.decoderResult().isFailure -> onMalformed(message.decoderResult().cause())
                else -> {
                    if (message is HttpRequest) onHead(message)
                    if (message is HttpContent && head != null) onContent(message)
                }
            }
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun onMalformed(cause: Throwable) = if (cause is TooLongHttpHeaderException) {
        refuse(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head of the request is too large")
    } else {
        refuse(HttpResponseStatus.BAD_REQUEST, "the request is not HTTP/1.1: ${cause.message}")
    }

    private fun onHead(request: HttpRequest) {
        head = request
        receivedMs = context.timers.nowMs()
        headStartMs = receivedMs
        body = ByteArrayOutputStream()
        keepAlive = HttpUtil.isKeepAlive(request)
        if (HttpUtil.getContentLength(request, 0L) > server.limits.maxBodyBytes) return refuseBody()
        if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
        }
    }

    private fun refuseBody() = refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is larger than the limit")

    private fun onContent(content: HttpContent) {
        val data = content.content()
        if (body.size() + data.readableBytes() > server.limits.maxBodyBytes) return refuseBody()
        data.readBytes(body, data.readableBytes())
        if (content is LastHttpContent) onRequest()
    }

    private fun onRequest() {
        val request = head ?: return
        head = null
        headStartMs = null
        answering = true
        val now = context.timers.nowMs()
        admit(CallerRequest(request.method().name(), request.uri(), request.headers(), body.toByteArray(), now))
    }

    /** Checks the request against the document in force, and forwards it. */
    private fun admit(request: CallerRequest) {
        val routes = context.routes
            ?: return reject(HttpResponseStatus.SERVICE_UNAVAILABLE, "no configuration is known yet", request)
        val host = request.headers.get(HttpHeaderNames.HOST)
            ?: return reject(HttpResponseStatus.BAD_REQUEST, "the request names no host", request)
        val route = routes.route(host, request.path)
            ?: return reject(HttpResponseStatus.NOT_FOUND, "no route matches host and path", request)
        var account: DocumentAccount? = null
        if (routes.keysRequired && !route.isPublic) {
            account = bearerKey(request.headers)?.let { routes.account(it) }
                ?: return reject(HttpResponseStatus.UNAUTHORIZED, "the key is unknown", request)
        }
        val service = routes.document.services.getValue(targetService(route, context.point()))
        val next = ForwardedRequest(context, request, route, service, account, Answer(), ::onAnswered)
        forwarded = next
        next.start()
    }

    private fun reject(status: HttpResponseStatus, text: String, request: CallerRequest) {
        context.log.write(
            "request",
            "request" to request.headers.get(context.headers.attemptId),
            "outcome" to "rejected",
            "status" to status.code(),
            "config" to context.routes?.version,
            "detail" to text,
        )
        Answer().refuse(status.code(), text, if (status.code() == STATUS_UNAVAILABLE) RETRY_AFTER_MS else null)
        onAnswered()
    }

    /** Answers what cannot be read as a request, and closes the connection. */
    private fun refuse(status: HttpResponseStatus, text: String) {
        context.log.write("unreadable-request", "status" to status.code(), "detail" to text)
        skipping = true
        head = null
        answering = true
        keepAlive = false
        Answer().refuse(status.code(), text)
    }

    private fun onAnswered() {
        forwarded = null
        answering = false
        quietSinceMs = context.timers.nowMs()
        // The next request is read in a turn of its own, since this one may have ended within its start.
        channel.eventLoop().execute { readWaiting() }
    }

    private fun readWaiting() {
        while (!answering && waiting.isNotEmpty()) take(waiting.removeFirst())
        if (waiting.size <= MAX_WAITING && channel.isActive) channel.config().isAutoRead = true
    }

    private inner class Answer : CallerAnswer {
        override val writable: Boolean get() = channel.isWritable

        override fun refuse(status: Int, text: String, retryAfterMs: Long?) {
            val body = "$text\n".encodeToByteArray()
            val response = fullResponse(HttpResponseStatus.valueOf(status), body, TEXT_CONTENT_TYPE)
            retryAfterMs?.let {
                response.headers().set(HttpHeaderNames.RETRY_AFTER, "%.3f".format(Locale.ROOT, it / MS_PER_SECOND))
            }
            setConnection(response.headers())
            ended(channel.writeAndFlush(response))
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

        override fun finish() = ended(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT))

        override fun abort() {
            keepAlive = false
            channel.close()
        }

        private fun ended(written: ChannelFuture) {
            if (!keepAlive) written.addListener(ChannelFutureListener.CLOSE)
        }
    }

    private companion object {
        const val TEXT_CONTENT_TYPE = "text/plain; charset=utf-8"
        const val MAX_WAITING = 64
        const val STATUS_UNAVAILABLE = 503

        /** An entry learns the configuration within some hundred milliseconds of its start. */
        const val RETRY_AFTER_MS = 200L
        const val MS_PER_SECOND = 1_000.0

        fun bearerKey(headers: HttpHeaders): String? {
            val value = headers.get(HttpHeaderNames.AUTHORIZATION)?.trim() ?: return null
            val scheme = value.substringBefore(' ', "")
            return if (scheme.equals("Bearer", ignoreCase = true)) value.substringAfter(' ').trim() else null
        }
    }
}
