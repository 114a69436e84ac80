package org.bramleyspur.daemon.http

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.ConnectTimeoutException
import io.netty.channel.EventLoop
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.SocketChannelConfig
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import org.bramleyspur.core.settings.Address
import org.bramleyspur.core.time.monotonicMs
import org.bramleyspur.traffic.forward.Attribution
import java.net.ConnectException
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.TimeUnit

/**
 * Decides to which request a response belongs; [first] if it is the first one on its connection. A backend server can
 * send a second response to an earlier request where the response to the next one is expected. A response to another
 * request is skipped, and one that cannot be attributed ends the call.
 */
typealias ResponseAttributor = (request: HttpRequest, responseHeaders: HttpHeaders, first: Boolean) -> Attribution

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
    private val attribute: ResponseAttributor = { _, _, _ -> Attribution.OWN },
) : AutoCloseable {
    private val loop: EventLoop = group.next()
    private val idleConnections = IdleConnections(loop)
    private val bootstrap =
        Bootstrap()
            .group(loop)
            .channelFactory(::ClientChannel)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs)
            .handler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(channel: SocketChannel) {
                        val handler = ConnectionHandler()
                        channel.pipeline().addLast(
                            handler.byteObserver,
                            HttpRequestEncoder(),
                            ResponseDecoder(),
                            handler,
                        )
                    }
                },
            )

    /** Starts a call as described at [HttpCallStarter]. */
    fun call(request: HttpRequest, body: ByteBuf?, newConnection: Boolean, listener: HttpListener): HttpCall {
        val exchange = Exchange(request, body, listener)
        val pooled = if (newConnection) null else idleConnections.take()
        if (pooled == null) connect(exchange) else exchange.attach(pooled, reused = body != null)
        return exchange
    }

    private fun connect(exchange: Exchange) {
        bootstrap.connect(address.toSocketAddress()).addListener { future ->
            val channel = (future as ChannelFuture).channel()
            if (future.isSuccess) exchange.attach(channel, reused = false) else exchange.onConnectFailed(future.cause())
        }
    }

    /** Closes the idle connections; may be called on any thread. */
    override fun close() {
        if (loop.inEventLoop()) return idleConnections.close()
        try {
            loop.execute { idleConnections.close() }
        } catch (_: RejectedExecutionException) {
            // The event loop has ended, and has closed its connections.
        }
    }

    /** One request and its response. */
    private inner class Exchange(
        private val request: HttpRequest,
        private val body: ByteBuf?,
        private val listener: HttpListener,
    ) : HttpCall,
        ConnectionUser {
        private var channel: Channel? = null
        private var done = false
        private var keepAlive = false
        private var requestComplete = false

        /** Whether the response is a success that only the end of the connection ends. */
        private var endsWithConnection = false

        /** Whether the request may be retried; the body is retained for that. */
        private var retryable = false

        /** Whether the request was written to a reused connection that was closed. */
        private var writtenBefore = false
        private var attachedAtMs = 0L

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
                idleConnections.add(connection, idleLimitMs)
                return
            }
            channel = connection
            attachedAtMs = monotonicMs()
            retryable = reused
            // A small request that is sent at once has arrived as a whole before the response to it.
            val isSmall = body != null && body.readableBytes() <= MAX_SMALL_BODY_BYTES
            connection.allowHalfClosure(!isSmall)
            connection.handler.exchange = this
            connection.decoder.requestMethod = request.method()
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
            finish {
                when {
                    writtenBefore -> listener.onFailure(HttpFailure.BROKEN, message)
                    refused -> listener.onRefused(message)
                    else -> listener.onFailure(HttpFailure.NOT_SENT, message)
                }
            }
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
            channel?.reset()
        }

        /** Closes with a reset, which drops a request that the network has not delivered yet. */
        private fun Channel.reset() {
            config().setOption(ChannelOption.SO_LINGER, 0)
            close()
        }

        override fun onWritable(writable: Boolean) {
            if (!done) listener.onWritable(writable)
        }

        override fun read(message: Any) {
            if (done) return
            if (message is HttpObject && message.decoderResult().isFailure) return onMalformed(message)
            if (message is HttpResponse) readHead(message)
            if (message is HttpContent) {
                if (skipping || discarding) skippedBytes += message.content().readableBytes()
                if (!skipping) readContent(message)
            }
            if (skippedBytes > MAX_SKIPPED_BYTES || skippedResponses > MAX_SKIPPED_RESPONSES) onEndless()
        }

        override fun onEndless() {
            channel?.close()
            finish { listener.onFailure(HttpFailure.BROKEN, "$address sent bytes without end") }
        }

        private fun readHead(message: HttpResponse) {
            val attribution = attributionOf(message)
            skipping = attribution != Attribution.OWN
            if (attribution == Attribution.UNKNOWN) return onUnattributed(message)
            if (skipping) {
                skippedResponses++
                return
            }
            releaseBody()
            keepAlive = HttpUtil.isKeepAlive(message)
            endsWithConnection = message.status().codeClass() == HttpStatusClass.SUCCESS &&
                !HttpUtil.isContentLengthSet(message) && !HttpUtil.isTransferEncodingChunked(message)
            idleMs = minOf(idleLimitMs, declaredIdleMs(message.headers()) ?: idleLimitMs)
            listener.onHead(message.status().code(), message.headers())
        }

        private fun attributionOf(message: HttpResponse): Attribution {
            if (message.status().codeClass() == HttpStatusClass.INFORMATIONAL) return Attribution.OTHER
            val handler = channel?.handler ?: return Attribution.UNKNOWN
            val first = handler.awaitsFirstResponse
            handler.awaitsFirstResponse = false
            return attribute(request, message.headers(), first)
        }

        private fun onUnattributed(message: HttpResponse) {
            channel?.close()
            val status = message.status().code()
            finish { listener.onFailure(HttpFailure.UNATTRIBUTED, "$address sent $status that names no request") }
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

        /** A peer may refuse a request that it does not read; a response with a length shows by itself if it is cut. */
        override val needsWholeRequest: Boolean get() = endsWithConnection

        override val requestWritten: Boolean
            get() = requestComplete && channel?.unsafe()?.outboundBuffer()?.isEmpty == true

        override fun onDisconnected() {
            val stale = monotonicMs() - attachedAtMs <= STALE_CONNECTION_LIMIT_MS
            if (done || !retryable || !stale) return failAsBroken()
            retryable = false
            writtenBefore = true
            connect(this)
        }

        private fun failAsBroken() = finish { listener.onFailure(HttpFailure.BROKEN, "connection to $address closed") }

        private fun onComplete() {
            val connection = channel
            connection?.handler?.exchange = null
            connection?.config()?.isAutoRead = true
            connection?.allowHalfClosure(false)
            // Bytes after a complete response belong to no request.
            val reusable = keepAlive && requestComplete && connection?.decoder?.hasUndecodedBytes == false
            if (reusable && connection != null) {
                idleConnections.add(connection, idleMs)
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

    private companion object {
        /** Backend servers close idle connections after some time, which they may declare in a `Keep-Alive` header. */
        const val DEFAULT_IDLE_LIMIT_MS = 60_000L
        const val CONNECT_TIMEOUT_MS = 1_000

        /** Reading more than this costs more than a new connection. */
        const val MAX_SKIPPED_BYTES = 64 * 1024L
        const val MAX_SKIPPED_RESPONSES = 16

        /**
         * Many times the round trip after which a connection that the peer had closed before turns out to be closed. A
         * later end is that of the request, and whether to send it again is the caller's decision.
         */
        const val STALE_CONNECTION_LIMIT_MS = 200L

        /** Fits into the buffers of any host. */
        const val MAX_SMALL_BODY_BYTES = 32 * 1024

        /** Time in which the rest of an unused response arrives if its connection is worth reusing. */
        const val DISCARD_TIMEOUT_MS = 500L
    }
}

private val Channel.handler: ConnectionHandler get() = pipeline().get(ConnectionHandler::class.java)

private val Channel.decoder: ResponseDecoder get() = pipeline().get(ResponseDecoder::class.java)

private fun Channel.allowHalfClosure(allowed: Boolean) {
    (config() as? SocketChannelConfig)?.isAllowHalfClosure = allowed
}
