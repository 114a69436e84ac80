package org.bramleyspur.daemon.http

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import org.bramleyspur.core.settings.Address
import org.bramleyspur.core.time.monotonicMs

/**
 * Whether a response belongs to the request. A backend server can send a second answer to an earlier request where the
 * next answer is expected; such a response is skipped.
 */
typealias ResponseMatcher = (request: HttpRequest, responseHeaders: HttpHeaders) -> Boolean

/**
 * HTTP client for one backend server; keeps idle connections for calls that allow it.
 *
 * @param connectTimeoutMs longest time in milliseconds to open a connection
 * @property idleLimitMs time in milliseconds after which an idle connection is not used again
 */
class HttpClient(
    private val address: Address,
    group: EventLoopGroup,
    private val idleLimitMs: Long = DEFAULT_IDLE_LIMIT_MS,
    connectTimeoutMs: Int = CONNECT_TIMEOUT_MS,
    private val belongs: ResponseMatcher = { _, _ -> true },
) : AutoCloseable {
    private class IdleConnection(val channel: Channel, val untilMs: Long)

    private val idle = ArrayDeque<IdleConnection>()
    private var closed = false
    private val bootstrap =
        Bootstrap()
            .group(group)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs)
            .handler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(channel: SocketChannel) {
                        channel.pipeline().addLast(HttpClientCodec(), ConnectionHandler())
                    }
                },
            )

    /** Starts a call; see [HttpCaller]. */
    fun call(request: HttpRequest, body: ByteBuf?, fresh: Boolean, listener: HttpListener): HttpCall {
        val exchange = Exchange(request, body, listener)
        val pooled = if (fresh) null else takeIdle()
        if (pooled == null) connect(exchange) else exchange.attach(pooled, reused = body != null)
        return exchange
    }

    private fun connect(exchange: Exchange) {
        bootstrap.connect(address.toSocketAddress()).addListener { future ->
            val channel = (future as ChannelFuture).channel()
            if (future.isSuccess) exchange.attach(channel, reused = false) else exchange.connectFailed(future.cause())
        }
    }

    override fun close() {
        closed = true
        idle.forEach { it.channel.close() }
        idle.clear()
    }

    private fun takeIdle(): Channel? {
        while (idle.isNotEmpty()) {
            val next = idle.removeLast()
            if (next.channel.isActive && monotonicMs() < next.untilMs) return next.channel
            next.channel.close()
        }
        return null
    }

    private fun giveBack(channel: Channel, limitMs: Long = idleLimitMs) {
        if (closed || idle.size >= MAX_IDLE || !channel.isActive) {
            channel.close()
        } else {
            idle.addLast(IdleConnection(channel, monotonicMs() + limitMs))
        }
    }

    /** One request and its response. */
    private inner class Exchange(
        private val request: HttpRequest,
        private val body: ByteBuf?,
        private val listener: HttpListener,
    ) : HttpCall {
        private var channel: Channel? = null
        private var done = false
        private var keepAlive = false
        private var requestComplete = false

        /** Whether the request may be sent again, for which the body is kept. */
        private var repeatable = false

        /**
         * Whether the message being read is a 1xx response, which precedes the response, or answers another request.
         */
        private var skipping = false
        private var idleMs = idleLimitMs
        private val pending = ArrayDeque<HttpContent>()

        override val writable: Boolean get() = !done && channel?.isWritable == true

        /** Sends the request on [connection]; a [reused] one can have gone stale, and then a new one follows. */
        fun attach(connection: Channel, reused: Boolean) {
            if (done) {
                body?.release()
                giveBack(connection)
                return
            }
            channel = connection
            repeatable = reused
            connection.pipeline().get(ConnectionHandler::class.java).exchange = this
            connection.write(request)
            if (body != null) {
                requestComplete = true
                connection.write(DefaultLastHttpContent(if (reused) body.retainedDuplicate() else body))
            }
            pending.forEach { connection.write(it) }
            pending.clear()
            connection.flush()
            if (body == null) listener.onWritable(connection.isWritable)
        }

        fun connectFailed(cause: Throwable) {
            releasePending()
            body?.release()
            finish { listener.onFailure(HttpFailure.NOT_SENT, "cannot connect to $address: ${cause.message}") }
        }

        override fun send(data: ByteBuf, last: Boolean) {
            val content = if (last) DefaultLastHttpContent(data) else DefaultHttpContent(data)
            if (last) requestComplete = true
            val connection = channel
            when {
                done -> content.release()
                connection == null -> pending.addLast(content)
                else -> connection.writeAndFlush(content)
            }
        }

        override fun pauseReading(paused: Boolean) {
            if (!done) channel?.config()?.isAutoRead = !paused
        }

        override fun cancel() {
            if (done) return
            done = true
            releasePending()
            dropBody()
            channel?.close()
        }

        fun onWritable(writable: Boolean) {
            if (!done) listener.onWritable(writable)
        }

        fun read(message: Any) {
            if (done) return
            if (message is HttpObject && message.decoderResult().isFailure) return malformed(message)
            if (message is HttpResponse) readHead(message)
            if (message is HttpContent && !skipping) readContent(message)
        }

        private fun readHead(message: HttpResponse) {
            val interim = message.status().codeClass() == HttpStatusClass.INFORMATIONAL
            skipping = interim || !belongs(request, message.headers())
            if (skipping) return
            dropBody()
            keepAlive = HttpUtil.isKeepAlive(message)
            idleMs = minOf(idleLimitMs, declaredIdleMs(message.headers()) ?: idleLimitMs)
            listener.onHead(message.status().code(), message.headers())
        }

        private fun readContent(message: HttpContent) {
            if (!done && message.content().isReadable) listener.onData(message.content())
            if (!done && message is LastHttpContent) complete()
        }

        private fun malformed(message: HttpObject) {
            channel?.close()
            val cause = message.decoderResult().cause().message
            finish { listener.onFailure(HttpFailure.BROKEN, "$address did not answer in HTTP/1.1: $cause") }
        }

        fun disconnected() {
            if (done || !repeatable) return broken()
            repeatable = false
            connect(this)
        }

        private fun broken() = finish { listener.onFailure(HttpFailure.BROKEN, "connection to $address closed") }

        private fun complete() {
            val connection = channel
            connection?.pipeline()?.get(ConnectionHandler::class.java)?.exchange = null
            connection?.config()?.isAutoRead = true
            if (keepAlive && requestComplete && connection != null) {
                giveBack(connection, idleMs)
            } else {
                connection?.close()
            }
            finish { listener.onEnd() }
        }

        private fun dropBody() {
            if (repeatable) body?.release()
            repeatable = false
        }

        private fun finish(notify: () -> Unit) {
            if (done) return
            done = true
            dropBody()
            notify()
        }

        private fun releasePending() {
            pending.forEach { it.release() }
            pending.clear()
        }
    }

    /** Connects a channel to the exchange that uses it now. */
    private class ConnectionHandler : ChannelInboundHandlerAdapter() {
        var exchange: HttpClient.Exchange? = null

        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            try {
                exchange?.read(message) ?: context.close()
            } finally {
                ReferenceCountUtil.release(message)
            }
        }

        override fun channelWritabilityChanged(context: ChannelHandlerContext) {
            exchange?.onWritable(context.channel().isWritable)
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            exchange?.disconnected()
            exchange = null
        }

        @Deprecated("Deprecated in Netty's handler interface, which still calls it.")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            // A response without a length ends with its connection, and a reset must not look like that end.
            exchange?.disconnected()
            exchange = null
            context.close()
        }
    }

    private companion object {
        /** Backend servers close idle connections after some seconds; those that say when are taken at their word. */
        const val DEFAULT_IDLE_LIMIT_MS = 60_000L
        const val CONNECT_TIMEOUT_MS = 1_000
        const val MAX_IDLE = 32
    }
}

private const val KEEP_ALIVE = "Keep-Alive"
private const val TIMEOUT_PARAMETER = "timeout="
private const val MS_PER_SECOND = 1_000L

/** Less than the declared time, since the request must arrive before the connection closes. */
private const val IDLE_MARGIN_MS = 500L

/** The idle time that a response declares, less a margin; null when it declares none. */
private fun declaredIdleMs(headers: HttpHeaders): Long? = headers.get(KEEP_ALIVE)
    ?.split(',')
    ?.firstOrNull { it.trim().startsWith(TIMEOUT_PARAMETER) }
    ?.trim()
    ?.removePrefix(TIMEOUT_PARAMETER)
    ?.toLongOrNull()
    ?.let { it * MS_PER_SECOND - IDLE_MARGIN_MS }
