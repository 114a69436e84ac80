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
import org.bramleyspur.daemon.http.ResetDetector
import org.bramleyspur.daemon.http.WatchableChannel
import java.util.concurrent.TimeUnit

/**
 * Limits on one caller connection.
 *
 * @property requestTimeoutMs maximum time from the first to the last byte of a request
 * @property idleTimeoutMs maximum time without a request on an open connection
 * @property maxPendingBytes maximum unsent response data before the connection of a slow reader is closed
 */
data class CallerLimits(
    val requestTimeoutMs: Long = 30_000,
    val idleTimeoutMs: Long = 75_000,
    val maxPendingBytes: Long = 4L * 1024 * 1024,
)

/**
 * One HTTP/1.1 connection of a caller. Pipelined requests are queued until the previous response is complete; reading
 * stops while more than [MAX_PENDING_PARTS] of their parts are queued.
 *
 * @property closing whether the process is stopping, so that each response is the last on its connection
 */
internal class CallerConnection(
    private val handler: CallerRequestHandler,
    private val limits: CallerLimits,
    private val resetDetector: ResetDetector,
    private val closing: () -> Boolean,
) : ChannelInboundHandlerAdapter() {
    private val pendingParts = ArrayDeque<HttpObject>()
    private lateinit var context: ChannelHandlerContext
    private var exchange: Exchange? = null
    private var timeout: ScheduledFuture<*>? = null
    private var headPending = false
    private var bodyPaused = false
    private var resetWatch: AutoCloseable? = null

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
            pendingParts.addLast(part)
            updateReading()
        } else {
            handlePart(part)
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        timeout?.cancel(false)
        endResetWatch()
        pendingParts.forEach { ReferenceCountUtil.release(it) }
        pendingParts.clear()
        exchange?.onCallerDisconnected()
        exchange = null
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        exchange?.listener?.onWritable(context.channel().isWritable)
    }

    @Deprecated("Deprecated in Netty's handler interface, which still calls it.")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        context.close()
    }

    /** Starts the request timeout at the first byte of a request. */
    fun onBytesReceived() {
        if (exchange != null || headPending) return
        headPending = true
        startTimeout(limits.requestTimeoutMs) { rejectTimedOut() }
    }

    /** Closes the connection if no request is in progress or being read. */
    fun closeIfIdle() {
        if (exchange == null && !headPending) context.close()
    }

    private fun handlePart(part: HttpObject) {
        try {
            val failure = part.decoderResult().cause()
            when {
                failure != null -> rejectMalformed(failure)
                part is HttpRequest -> beginRequest(part)
                part is HttpContent -> exchange?.onBodyPart(part)
            }
        } finally {
            ReferenceCountUtil.release(part)
        }
    }

    private fun beginRequest(message: HttpRequest) {
        startTimeout(limits.requestTimeoutMs) { rejectTimedOut() }
        headPending = false
        val newExchange = Exchange(message)
        exchange = newExchange
        if (HttpUtil.is100ContinueExpected(message)) sendContinue()
        newExchange.listener = handler(CallerHead(message.method(), message.uri(), message.headers()), newExchange)
    }

    /**
     * Writes the interim response below the codec. The codec matches each response that it encodes to one request, so
     * it would mistake a later response for the response to a HEAD request and drop its body.
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

    private fun rejectTimedOut() {
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

    private fun startNextRequest() {
        exchange = null
        startTimeout(limits.idleTimeoutMs) { context.close() }
        bodyPaused = false
        while (pendingParts.isNotEmpty() && exchange?.bodyComplete != true) handlePart(pendingParts.removeFirst())
        updateReading()
    }

    private fun updateReading() {
        val channel = context.channel() as WatchableChannel
        val reading = !bodyPaused && pendingParts.size <= MAX_PENDING_PARTS
        channel.config().isAutoRead = reading
        when {
            reading -> endResetWatch()
            resetWatch == null -> resetWatch = resetDetector.watch(channel) { context.close() }
        }
    }

    private fun endResetWatch() {
        resetWatch?.close()
        resetWatch = null
    }

    /** Closes the connection when the written data has been sent, or after [LINGER_MS]. */
    private fun closeAfterFlush() {
        context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE)
        startTimeout(LINGER_MS) { context.close() }
    }

    /**
     * Shuts down the output and discards incoming data for [LINGER_MS] before closing. Closing a socket with unread
     * data resets the connection, and the reset can destroy a response that the caller has not read yet.
     */
    private fun closeAfterLinger() {
        val channel = context.channel()
        val canShutDownOutput = channel is DuplexChannel && channel.pipeline().get(SslHandler::class.java) == null
        context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener { if (canShutDownOutput) channel.shutdownOutput() }
        bodyPaused = false
        updateReading()
        startTimeout(LINGER_MS) { context.close() }
    }

    /** One request and its response on this connection; [head] is null if it could not be parsed. */
    private inner class Exchange(private val head: HttpRequest?) : CallerExchange {
        var listener: CallerListener = DiscardingListener
        var bodyComplete = false
        private val supportsChunked = head != null && head.protocolVersion() >= HttpVersion.HTTP_1_1
        private var keepAlive = supportsChunked && HttpUtil.isKeepAlive(head) && !closing()
        private var headSent = false
        private var responded = false

        override val writable: Boolean get() = context.channel().isWritable

        fun onBodyPart(part: HttpContent) {
            if (part.content().isReadable && !responded) listener.onBody(part.content())
            if (part !is LastHttpContent) return
            bodyComplete = true
            timeout?.cancel(false)
            if (responded) finish() else listener.onBodyEnd()
        }

        fun onCallerDisconnected() {
            if (responded) return
            responded = true
            listener.onCallerDisconnected()
        }

        /** Responds with [error] and closes the connection, since the start of its next request is unknown. */
        fun reject(error: CallerError) {
            keepAlive = false
            if (headSent) return closeNow()
            respond(error)
            listener.onCallerDisconnected()
        }

        private fun closeNow() {
            onCallerDisconnected()
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
            setConnectionHeader(response)
            headSent = true
            context.writeAndFlush(response)
            onResponseComplete()
        }

        override fun startStream(status: Int, headers: List<Pair<String, String>>) {
            if (responded || headSent) return
            val response: HttpResponse =
                DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
            headers.forEach { (name, value) -> response.headers().add(name, value) }
            val bodiless = head?.method() == HttpMethod.HEAD || status in BODILESS_STATUSES
            if (!bodiless && !response.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
                if (supportsChunked) response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
            }
            setConnectionHeader(response)
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
            onResponseComplete()
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
            // Time during which the backend server delays the body does not count against the caller.
            if (paused) timeout?.cancel(false) else startTimeout(limits.requestTimeoutMs) { rejectTimedOut() }
        }

        private fun setConnectionHeader(response: HttpMessage) {
            if (closing()) keepAlive = false
            if (!keepAlive) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        }

        private fun onResponseComplete() {
            responded = true
            if (bodyComplete || !keepAlive) finish()
        }

        private fun finish() {
            when {
                keepAlive -> context.executor().execute { if (exchange === this) startNextRequest() }
                bodyComplete -> closeAfterFlush()
                else -> closeAfterLinger()
            }
        }
    }

    private companion object {
        const val MAX_PENDING_PARTS = 16
        const val HEADERS_TOO_LARGE = 431
        const val URI_TOO_LONG = 414
        const val REQUEST_TIMEOUT = 408

        /** Long enough for a caller on another continent to read a short response. */
        const val LINGER_MS = 1_000L

        /** Statuses whose responses have no body. */
        val BODILESS_STATUSES = setOf(204, 304)
    }
}
