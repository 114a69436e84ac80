package org.bramleyspur.daemon.caller

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.DuplexChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.handler.ssl.SslHandler
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
    private var headPending = false
    private var bodyPaused = false

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
            updateReading()
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

    /** Bytes have arrived; the time of a request counts from its first one. */
    fun onBytes() {
        if (exchange != null || headPending) return
        headPending = true
        startTimeout(limits.requestTimeoutMs) { rejectSlow() }
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
        headPending = false
        val started = Exchange(message)
        exchange = started
        if (HttpUtil.is100ContinueExpected(message)) sendContinue()
        started.request = handler(CallerHead(message.method(), message.uri(), message.headers()), started)
    }

    /**
     * Sends the interim response past the codec. The codec counts each response that it encodes as the answer to one
     * request, so that it would take a later answer for the one to a HEAD and drop its body.
     */
    private fun sendContinue() {
        val codec = context.pipeline().context(HttpServerCodec::class.java)
        codec.writeAndFlush(Unpooled.copiedBuffer("HTTP/1.1 100 Continue\r\n\r\n", Charsets.US_ASCII))
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
        val current = exchange ?: Exchange(null).also { exchange = it }
        current.reject(error)
    }

    private fun startTimeout(delayMs: Long, action: () -> Unit) {
        timeout?.cancel(false)
        timeout = context.executor().schedule(action, delayMs, TimeUnit.MILLISECONDS)
    }

    private fun next() {
        exchange = null
        startTimeout(limits.idleTimeoutMs) { context.close() }
        bodyPaused = false
        while (waiting.isNotEmpty() && exchange?.bodyComplete != true) handle(waiting.removeFirst())
        updateReading()
    }

    private fun updateReading() {
        context.channel().config().isAutoRead = !bodyPaused && waiting.size <= MAX_WAITING_PARTS
    }

    /** Closes the connection once what was written has been sent, or after [LINGER_MS]. */
    private fun closeAfterFlush() {
        context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE)
        startTimeout(LINGER_MS) { context.close() }
    }

    /**
     * Ends the own side of the connection and drops what still arrives for [LINGER_MS]. Closing a socket that holds
     * unread data resets the connection, and the reset can destroy a response that the caller has not read yet.
     */
    private fun closeAfterRest() {
        val channel = context.channel()
        val shutsDown = channel is DuplexChannel && channel.pipeline().get(SslHandler::class.java) == null
        context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener { if (shutsDown) channel.shutdownOutput() }
        bodyPaused = false
        updateReading()
        startTimeout(LINGER_MS) { context.close() }
    }

    /** One request and its response on this connection; [head] is null when it could not be read. */
    private inner class Exchange(private val head: HttpRequest?) : CallerExchange {
        var request: CallerRequest = AnsweredRequest
        var bodyComplete = false
        private val takesChunks = head != null && head.protocolVersion() >= HttpVersion.HTTP_1_1
        private var keepAlive = takesChunks && HttpUtil.isKeepAlive(head) && !closing()
        private var headSent = false
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

        /** Ends the request with [error], and the connection, since its next request cannot be found. */
        fun reject(error: CallerError) {
            keepAlive = false
            if (headSent) return closeNow()
            respond(error)
            request.onCallerGone()
        }

        private fun closeNow() {
            callerGone()
            context.close()
        }

        override fun respond(status: Int, headers: List<Pair<String, String>>, body: ByteArray) {
            if (responded || headSent) return
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
            val bodiless = head?.method() == HttpMethod.HEAD || status in BODILESS_STATUSES
            if (!bodiless && !response.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
                if (takesChunks) response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
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
            if (pending > limits.maxPendingBytes) closeNow()
        }

        override fun endStream() {
            if (responded) return
            context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
            responseComplete()
        }

        override fun abort() {
            if (responded) return
            responded = true
            closeAfterFlush()
        }

        override fun pauseBody(paused: Boolean) {
            if (exchange !== this || bodyPaused == paused) return
            bodyPaused = paused
            updateReading()
            if (bodyComplete || responded) return
            // The time for which the backend server holds up the body is not the caller's.
            if (paused) timeout?.cancel(false) else startTimeout(limits.requestTimeoutMs) { rejectSlow() }
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
            when {
                keepAlive -> context.executor().execute { if (exchange === this) next() }
                bodyComplete -> closeAfterFlush()
                else -> closeAfterRest()
            }
        }
    }

    private companion object {
        const val MAX_WAITING_PARTS = 16
        const val HEADERS_TOO_LARGE = 431
        const val URI_TOO_LONG = 414
        const val REQUEST_TIMEOUT = 408

        /** Long enough for a caller on another continent to read a short response. */
        const val LINGER_MS = 1_000L

        /** Statuses whose responses have no body. */
        val BODILESS_STATUSES = setOf(204, 304)
    }
}
