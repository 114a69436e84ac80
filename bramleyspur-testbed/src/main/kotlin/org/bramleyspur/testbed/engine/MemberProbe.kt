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
import org.bramleyspur.core.json.decodeBounded
import org.bramleyspur.testbed.http.parseAddress
import org.bramleyspur.testbed.http.testbedJson

private const val MAX_STATE_BYTES = 64 * 1024

/** Polls `/admin/state` of the member at [address] over one connection. Must be called on [eventLoop] only. */
internal class MemberProbe(private val address: String, private val eventLoop: EventLoop) {
    private var channel: Channel? = null
    private var connecting: ChannelFuture? = null
    private var awaitingResponse = false
    private var closed = false
    private var lastState: StateReport? = null
    private var lastResponseNanos = 0L

    /** Whether the last response is at most [timeoutNanos] old and matches [order]. */
    fun confirms(order: Order, timeoutNanos: Long): Boolean {
        val state = lastState ?: return false
        val recent = System.nanoTime() - lastResponseNanos <= timeoutNanos
        val sameReplica = state.replica == order.replica && state.fencingNumber == order.fencingNumber
        return recent && sameReplica && state.role == EngineRole.MEMBER && state.state == EngineState.READY
    }

    /** Sends a poll, unless the response to the previous one is outstanding. */
    fun poll() {
        val open = channel
        if (open == null) {
            connect()
        } else if (!awaitingResponse) {
            awaitingResponse = true
            val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/admin/state")
            request.headers().set(HttpHeaderNames.HOST, address)
            open.writeAndFlush(request)
        }
    }

    fun close() {
        closed = true
        connecting?.channel()?.close()
        channel?.close()
    }

    private fun connect() {
        if (connecting != null || closed) return
        val bootstrap = Bootstrap().group(eventLoop).channel(NioSocketChannel::class.java).handler(initializer())
        connecting =
            bootstrap.connect(parseAddress(address)).also { future ->
                future.addListener {
                    connecting = null
                    if (future.isSuccess) onConnected(future.channel())
                }
            }
    }

    private fun onConnected(open: Channel) {
        channel = open
        awaitingResponse = false
        open.closeFuture().addListener {
            if (channel === open) channel = null
            lastState = null
        }
        poll()
    }

    private fun initializer() = object : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            channel.pipeline().addLast(HttpClientCodec(), HttpObjectAggregator(MAX_STATE_BYTES), ResponseHandler())
        }
    }

    private inner class ResponseHandler : SimpleChannelInboundHandler<FullHttpResponse>() {
        override fun channelRead0(context: ChannelHandlerContext, response: FullHttpResponse) {
            awaitingResponse = false
            lastResponseNanos = System.nanoTime()
            lastState = parse(response.content().toString(Charsets.UTF_8))
        }

        @Deprecated("Deprecated in Netty for outbound handlers only")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            context.close()
        }
    }

    @Suppress("SwallowedException") // An unreadable response counts as none.
    private fun parse(body: String): StateReport? =
        try {
            testbedJson.decodeBounded<StateReport>(body)
        } catch (e: SerializationException) {
            null
        }
}
