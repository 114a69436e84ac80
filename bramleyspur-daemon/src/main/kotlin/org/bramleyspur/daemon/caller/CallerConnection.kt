package org.bramleyspur.daemon.caller

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ReferenceCountUtil
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/**
 * Limits on one connection of a caller.
 *
 * @property requestTimeoutMs longest time from the first byte of a request to its last
 * @property idleTimeoutMs longest time without a request on an open connection
 * @property maxPendingBytes response data that a slow reader may leave unread before its connection is closed
 */
data class CallerLimits(
    val requestTimeoutMs: Long = 30_000,
    val idleTimeoutMs: Long = 75_000,
    val maxPendingBytes: Long = 4L * 1024 * 1024,
)

/**
 * One HTTP/1.1 connection of a caller. Pipelined requests wait until the one before them is answered; reading stops
 * while more than a few of their parts wait.
 *
 * @property closing whether the process is stopping, so that each response is the last on its connection
 */
internal class CallerConnection(
    private val handler: CallerRequestHandler,
    private val limits: CallerLimits,
    private val closing: () -> Boolean,
) : ChannelInboundHandlerAdapter() {
    private val waiting = ArrayDeque<HttpObject>()
    private lateinit var context: ChannelHandlerContext
    private var exchange: Exchange? = null
    private var timeout: ScheduledFuture<*>? = null

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
    }

    override fun channelActive(context: ChannelHandlerContext) {
        startTimeout(limits.idleTimeoutMs) { context.close() }
        super.channelActive(context)
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        val part = message as HttpObject
        val current = exchange
        if (current != null && current.bodyComplete) {
            waiting.addLast(part)
            if (waiting.size > MAX_WAITING_PARTS) context.channel().config().isAutoRead = false
        } else {
            handle(part)
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        timeout?.cancel(false)
        waiting.forEach { ReferenceCountUtil.release(it) }
        waiting.clear()
        exchange?.callerGone()
        exchange = null
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        exchange?.request?.onWritable(context.channel().isWritable)
    }

    @Deprecated("Deprecated in Netty's handler interface, which still calls it.")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        context.close()
    }

    /** Closes the connection when no request is in progress. */
    fun closeIfIdle() {
        if (exchange == null) context.close()
    }

    private fun handle(part: HttpObject) {
        try {
            val failure = part.decoderResult().cause()
            when {
                failure != null -> rejectMalformed(failure)
                part is HttpRequest -> begin(part)
                part is HttpContent -> exchange?.takeBody(part)
            }
        } finally {
            ReferenceCountUtil.release(part)
        }
    }

    private fun begin(message: HttpRequest) {
        startTimeout(limits.requestTimeoutMs) { rejectSlow() }
        val started = Exchange(HttpUtil.isKeepAlive(message) && !closing())
        exchange = started
        if (HttpUtil.is100ContinueExpected(message)) {
            context.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
        }
        started.request = handler(CallerHead(message.method(), message.uri(), message.headers()), started)
    }

    private fun rejectMalformed(cause: Throwable) {
        val error =
            when (cause) {
                is TooLongHttpHeaderException ->
                    CallerError.invalid("the request headers are too large; send less than 16 KiB", HEADERS_TOO_LARGE)

                is TooLongHttpLineException ->
                    CallerError.invalid("the request line is too long; send less than 8 KiB", URI_TOO_LONG)

                else -> CallerError.invalid("the request is not valid HTTP/1.1: ${cause.message}")
            }
        rejectAndClose(error)
    }

    private fun rejectSlow() {
        if (exchange?.bodyComplete == true) return
        val message = "the request did not arrive within ${limits.requestTimeoutMs} ms; send it faster"
        rejectAndClose(CallerError.invalid(message, REQUEST_TIMEOUT, "request_timeout"))
    }

    private fun rejectAndClose(error: CallerError) {
        val current = exchange ?: Exchange(false).also { exchange = it }
        current.keepAlive = false
        if (current.headSent) {
            current.abort()
        } else {
            current.request.onCallerGone()
            current.respond(error)
        }
    }

    private fun startTimeout(delayMs: Long, action: () -> Unit) {
        timeout?.cancel(false)
        timeout = context.executor().schedule(action, delayMs, TimeUnit.MILLISECONDS)
    }

    private fun next() {
        exchange = null
        startTimeout(limits.idleTimeoutMs) { context.close() }
        while (waiting.isNotEmpty() && exchange?.bodyComplete != true) handle(waiting.removeFirst())
        context.channel().config().isAutoRead = true
    }

    /** One request and its response on this connection. */
    private inner class Exchange(var keepAlive: Boolean) : CallerExchange {
        var request: CallerRequest = AnsweredRequest
        var bodyComplete = false
        var headSent = false
        private var responded = false

        override val writable: Boolean get() = context.channel().isWritable

        fun takeBody(part: HttpContent) {
            if (part.content().isReadable && !responded) request.onBody(part.content())
            if (part !is LastHttpContent) return
            bodyComplete = true
            timeout?.cancel(false)
            if (responded) finish() else request.onBodyEnd()
        }

        fun callerGone() {
            if (responded) return
            responded = true
            request.onCallerGone()
        }

        override fun respond(status: Int, headers: List<Pair<String, String>>, body: ByteArray) {
            if (responded) return
            val response: FullHttpResponse =
                DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(status),
                    Unpooled.wrappedBuffer(body),
                )
            headers.forEach { (name, value) -> response.headers().add(name, value) }
            response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.size)
            markConnection(response)
            headSent = true
            context.writeAndFlush(response)
            responseComplete()
        }

        override fun startStream(status: Int, headers: List<Pair<String, String>>) {
            if (responded || headSent) return
            val response: HttpResponse =
                DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
            headers.forEach { (name, value) -> response.headers().add(name, value) }
            if (!response.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
                response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
            }
            markConnection(response)
            headSent = true
            context.write(response)
        }

        override fun send(data: ByteBuf) {
            if (responded) {
                data.release()
                return
            }
            context.writeAndFlush(DefaultHttpContent(data))
            val pending = context.channel().unsafe().outboundBuffer()?.totalPendingWriteBytes() ?: 0
            if (pending > limits.maxPendingBytes) dropSlowReader()
        }

        override fun endStream() {
            if (responded) return
            context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
            responseComplete()
        }

        override fun abort() {
            responded = true
            context.close()
        }

        override fun pauseBody(paused: Boolean) {
            context.channel().config().isAutoRead = !paused
        }

        private fun dropSlowReader() {
            callerGone()
            context.close()
        }

        private fun markConnection(response: HttpMessage) {
            if (closing()) keepAlive = false
            if (!keepAlive) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        }

        private fun responseComplete() {
            responded = true
            if (bodyComplete || !keepAlive) finish()
        }

        private fun finish() {
            if (keepAlive) {
                context.executor().execute { if (exchange === this) next() }
            } else {
                context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE)
            }
        }
    }

    private companion object {
        const val MAX_WAITING_PARTS = 16
        const val HEADERS_TOO_LARGE = 431
        const val URI_TOO_LONG = 414
        const val REQUEST_TIMEOUT = 408
    }
}
