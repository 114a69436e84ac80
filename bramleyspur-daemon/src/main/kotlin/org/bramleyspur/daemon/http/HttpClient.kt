package org.bramleyspur.daemon.http

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.ConnectTimeoutException
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
import java.net.ConnectException
import java.util.concurrent.TimeUnit

/**
 * Decides whether a response belongs to the request. A backend server can send a second response to an earlier request
 * where the response to the next one is expected; such a response is skipped.
 */
typealias ResponseMatcher = (request: HttpRequest, responseHeaders: HttpHeaders) -> Boolean

/**
 * HTTP client for one backend server; reuses idle connections for calls that allow it.
 *
 * @param connectTimeoutMs maximum time in milliseconds to open a connection
 * @property idleLimitMs time in milliseconds after which an idle connection is not reused
 */
class HttpClient(
    private val address: Address,
    group: EventLoopGroup,
    private val idleLimitMs: Long = DEFAULT_IDLE_LIMIT_MS,
    connectTimeoutMs: Int = CONNECT_TIMEOUT_MS,
    private val isResponseTo: ResponseMatcher = { _, _ -> true },
) : AutoCloseable {
    private class IdleConnection(val channel: Channel, val untilMs: Long)

    private val idleConnections = ArrayDeque<IdleConnection>()
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
                        val handler = ConnectionHandler()
                        channel.pipeline().addLast(handler.byteObserver, HttpClientCodec(), handler)
                    }
                },
            )

    /** Starts a call as described at [HttpCallStarter]. */
    fun call(request: HttpRequest, body: ByteBuf?, newConnection: Boolean, listener: HttpListener): HttpCall {
        val exchange = Exchange(request, body, listener)
        val pooled = if (newConnection) null else takeIdle()
        if (pooled == null) connect(exchange) else exchange.attach(pooled, reused = body != null)
        return exchange
    }

    private fun connect(exchange: Exchange) {
        bootstrap.connect(address.toSocketAddress()).addListener { future ->
            val channel = (future as ChannelFuture).channel()
            if (future.isSuccess) exchange.attach(channel, reused = false) else exchange.onConnectFailed(future.cause())
        }
    }

    override fun close() {
        closed = true
        idleConnections.forEach { it.channel.close() }
        idleConnections.clear()
    }

    private fun takeIdle(): Channel? {
        while (idleConnections.isNotEmpty()) {
            val next = idleConnections.removeLast()
            if (next.channel.isActive && monotonicMs() < next.untilMs) return next.channel
            next.channel.close()
        }
        return null
    }

    private fun returnToPool(channel: Channel, limitMs: Long = idleLimitMs) {
        if (closed || idleConnections.size >= MAX_IDLE_CONNECTIONS || !channel.isActive) {
            channel.close()
        } else {
            idleConnections.addLast(IdleConnection(channel, monotonicMs() + limitMs))
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

        /** Whether the request may be retried; the body is retained for that. */
        private var retryable = false

        /**
         * Whether the current message is skipped: a 1xx response, or the response to another request.
         */
        private var skipping = false
        private var skippedBytes = 0L
        private var skippedResponses = 0
        private var discarding = false
        private var idleMs = idleLimitMs
        private val pending = ArrayDeque<HttpContent>()

        override val writable: Boolean get() = !done && channel?.isWritable == true

        /** Sends the request on [connection]; if a [reused] one turns out to be closed, a new one is opened. */
        fun attach(connection: Channel, reused: Boolean) {
            if (done) {
                body?.release()
                returnToPool(connection)
                return
            }
            channel = connection
            retryable = reused
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

        fun onConnectFailed(cause: Throwable) {
            releasePending()
            body?.release()
            val message = "cannot connect to $address: ${cause.message}"
            val refused = cause is ConnectException && cause !is ConnectTimeoutException
            finish { if (refused) listener.onRefused(message) else listener.onFailure(HttpFailure.NOT_SENT, message) }
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

        override fun discard() {
            if (done) return
            discarding = true
            channel?.eventLoop()?.schedule({ cancel() }, DISCARD_TIMEOUT_MS, TimeUnit.MILLISECONDS)
        }

        override fun cancel() {
            if (done) return
            done = true
            releasePending()
            releaseBody()
            channel?.close()
        }

        fun onWritable(writable: Boolean) {
            if (!done) listener.onWritable(writable)
        }

        fun read(message: Any) {
            if (done) return
            if (message is HttpObject && message.decoderResult().isFailure) return onMalformed(message)
            if (message is HttpResponse) readHead(message)
            if (message is HttpContent) {
                if (skipping || discarding) skippedBytes += message.content().readableBytes()
                if (!skipping) readContent(message)
            }
            if (skippedBytes > MAX_SKIPPED_BYTES || skippedResponses > MAX_SKIPPED_RESPONSES) onEndless()
        }

        /** Ends the exchange after too many bytes that are no part of its response. */
        fun onEndless() {
            channel?.close()
            finish { listener.onFailure(HttpFailure.BROKEN, "$address sent bytes without end") }
        }

        private fun readHead(message: HttpResponse) {
            val interim = message.status().codeClass() == HttpStatusClass.INFORMATIONAL
            skipping = interim || !isResponseTo(request, message.headers())
            if (skipping) {
                skippedResponses++
                return
            }
            releaseBody()
            keepAlive = HttpUtil.isKeepAlive(message)
            idleMs = minOf(idleLimitMs, declaredIdleMs(message.headers()) ?: idleLimitMs)
            listener.onHead(message.status().code(), message.headers())
        }

        private fun readContent(message: HttpContent) {
            if (!done && message.content().isReadable) listener.onData(message.content())
            if (!done && message is LastHttpContent) onComplete()
        }

        private fun onMalformed(message: HttpObject) {
            channel?.close()
            val cause = message.decoderResult().cause().message
            finish { listener.onFailure(HttpFailure.BROKEN, "$address did not answer in HTTP/1.1: $cause") }
        }

        fun onDisconnected() {
            if (done || !retryable) return failAsBroken()
            retryable = false
            connect(this)
        }

        private fun failAsBroken() = finish { listener.onFailure(HttpFailure.BROKEN, "connection to $address closed") }

        private fun onComplete() {
            val connection = channel
            connection?.pipeline()?.get(ConnectionHandler::class.java)?.exchange = null
            connection?.config()?.isAutoRead = true
            if (keepAlive && requestComplete && connection != null) {
                returnToPool(connection, idleMs)
            } else {
                connection?.close()
            }
            finish { listener.onEnd() }
        }

        private fun releaseBody() {
            if (retryable) body?.release()
            retryable = false
        }

        private fun finish(notify: () -> Unit) {
            if (done) return
            done = true
            releaseBody()
            notify()
        }

        private fun releasePending() {
            pending.forEach { it.release() }
            pending.clear()
        }
    }

    /** Passes the events of a channel to the exchange that currently uses it. */
    private class ConnectionHandler : ChannelInboundHandlerAdapter() {
        var exchange: HttpClient.Exchange? = null

        /** Bytes received since the last part of a message; the decoder skips line breaks without limit. */
        private var undecodedBytes = 0L

        /** Observes bytes before the HTTP codec. */
        val byteObserver = object : ChannelInboundHandlerAdapter() {
            override fun channelRead(context: ChannelHandlerContext, message: Any) {
                if (exchange == null) {
                    ReferenceCountUtil.release(message)
                    context.close()
                    return
                }
                undecodedBytes += (message as? ByteBuf)?.readableBytes() ?: 0
                context.fireChannelRead(message)
                if (undecodedBytes > MAX_UNDECODED_BYTES) exchange?.onEndless()
            }
        }

        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            undecodedBytes = 0
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
            exchange?.onDisconnected()
            exchange = null
        }

        @Deprecated("Deprecated in Netty's handler interface, which still calls it.")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            // A response without a length ends when the connection closes; a reset must not be taken for that end.
            exchange?.onDisconnected()
            exchange = null
            context.close()
        }
    }

    private companion object {
        /** Backend servers close idle connections after some time, which they may declare in a `Keep-Alive` header. */
        const val DEFAULT_IDLE_LIMIT_MS = 60_000L
        const val CONNECT_TIMEOUT_MS = 1_000
        const val MAX_IDLE_CONNECTIONS = 32

        /** Several times the decoder's limits for a head. */
        const val MAX_UNDECODED_BYTES = 64 * 1024L

        /** Reading more than this costs more than a new connection. */
        const val MAX_SKIPPED_BYTES = 64 * 1024L
        const val MAX_SKIPPED_RESPONSES = 16

        /** Time in which the rest of an unused response arrives if its connection is worth reusing. */
        const val DISCARD_TIMEOUT_MS = 500L
    }
}

private const val KEEP_ALIVE = "Keep-Alive"
private const val TIMEOUT_PARAMETER = "timeout="
private const val MS_PER_SECOND = 1_000L

/** Subtracted from the declared timeout, since the request must arrive before the connection closes. */
private const val IDLE_TIMEOUT_MARGIN_MS = 500L

/** The idle timeout that a response declares, less a margin; null if it declares none. */
private fun declaredIdleMs(headers: HttpHeaders): Long? = headers.get(KEEP_ALIVE)
    ?.split(',')
    ?.firstOrNull { it.trim().startsWith(TIMEOUT_PARAMETER) }
    ?.trim()
    ?.removePrefix(TIMEOUT_PARAMETER)
    ?.toLongOrNull()
    ?.let { it * MS_PER_SECOND - IDLE_TIMEOUT_MARGIN_MS }
