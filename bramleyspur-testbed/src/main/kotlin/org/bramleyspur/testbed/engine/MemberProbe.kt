package org.bramleyspur.testbed.engine

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.EventLoop
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpVersion
import kotlinx.serialization.SerializationException
import org.bramleyspur.testbed.http.parseAddress
import org.bramleyspur.testbed.http.testbedJson

private const val MAX_STATE_BYTES = 64 * 1024

/** Polls `/admin/state` of the member at [address] over one connection; all calls are on [loop]. */
internal class MemberProbe(private val address: String, private val loop: EventLoop) {
    private var channel: Channel? = null
    private var connecting: ChannelFuture? = null
    private var waiting = false
    private var closed = false
    private var last: StateReport? = null
    private var lastNanos = 0L

    /** Whether the last answer is at most [timeoutNanos] old and fits [order]. */
    fun confirms(order: Order, timeoutNanos: Long): Boolean {
        val state = last ?: return false
        val fresh = System.nanoTime() - lastNanos <= timeoutNanos
        val sameReplica = state.replica == order.replica && state.fencingNumber == order.fencingNumber
        return fresh && sameReplica && state.role == EngineRole.MEMBER && state.state == EngineState.READY
    }

    /** Sends the question, unless the previous one is unanswered. */
    fun ask() {
        val open = channel
        if (open == null) {
            connect()
        } else if (!waiting) {
            waiting = true
            val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/admin/state")
            request.headers().set(HttpHeaderNames.HOST, address)
            open.writeAndFlush(request)
        }
    }

    /** Closes the connection. */
    fun close() {
        closed = true
        connecting?.channel()?.close()
        channel?.close()
    }

    private fun connect() {
        if (connecting != null || closed) return
        val bootstrap = Bootstrap().group(loop).channel(NioSocketChannel::class.java).handler(initializer())
        connecting =
            bootstrap.connect(parseAddress(address)).also { future ->
                future.addListener {
                    connecting = null
                    if (future.isSuccess) opened(future.channel())
                }
            }
    }

    private fun opened(open: Channel) {
        channel = open
        waiting = false
        open.closeFuture().addListener {
            if (channel === open) channel = null
            last = null
        }
        ask()
    }

    private fun initializer() = object : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            channel.pipeline().addLast(HttpClientCodec(), HttpObjectAggregator(MAX_STATE_BYTES), AnswerHandler())
        }
    }

    private inner class AnswerHandler : SimpleChannelInboundHandler<FullHttpResponse>() {
        override fun channelRead0(context: ChannelHandlerContext, response: FullHttpResponse) {
            waiting = false
            lastNanos = System.nanoTime()
            last = parse(response.content().toString(Charsets.UTF_8))
        }

        @Deprecated("Deprecated in Netty for outbound handlers only")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            context.close()
        }
    }

    @Suppress("SwallowedException") // An answer that cannot be read counts as no answer.
    private fun parse(body: String): StateReport? =
        try {
            testbedJson.decodeFromString<StateReport>(body)
        } catch (e: SerializationException) {
            null
        }
}
