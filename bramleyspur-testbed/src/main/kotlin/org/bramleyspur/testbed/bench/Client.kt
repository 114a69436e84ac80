/*
 * The HTTP client of the load tool: a pool of persistent connections to one address with one call at a time on each. It
 * runs on one event loop.
 */
package org.bramleyspur.testbed.bench

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

/** Sends calls to [address]; a call that has not ended after [timeoutMs] milliseconds times out. */
internal class Client(
    private val eventLoop: EventLoop,
    private val address: InetSocketAddress,
    private val timeoutMs: Long,
) {
    private val idleChannels = ArrayDeque<Channel>()

    /** Sends [request] and passes the response to [reader]; [onEnd] runs once, after the outcome is recorded. */
    fun send(request: FullHttpRequest, reader: ResponseReader, onEnd: () -> Unit) {
        val exchange = Exchange(reader, onEnd)
        val idleChannel = takeIdle()
        if (idleChannel != null) {
            exchange.write(idleChannel, request)
            return
        }
        bootstrap.connect(address).also { future ->
            future.addListener {
                if (future.isSuccess) {
                    exchange.write(future.channel(), request)
                } else {
                    request.release()
                    exchange.end(Outcomes.NOT_CONNECTED)
                }
            }
        }
    }

    /** Closes the idle connections. */
    fun close() {
        idleChannels.forEach { it.close() }
    }

    private val bootstrap =
        Bootstrap()
            .group(eventLoop)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMs.toInt())
            .handler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(channel: SocketChannel) {
                        channel.pipeline().addLast(HttpClientCodec(), ResponseHandler())
                    }
                },
            )

    private fun takeIdle(): Channel? {
        while (true) {
            val channel = idleChannels.removeLastOrNull() ?: return null
            if (channel.isActive) return channel
        }
    }

    private inner class Exchange(private val reader: ResponseReader, private val onEnd: () -> Unit) {
        private var keepAlive = true

        fun write(channel: Channel, request: FullHttpRequest) {
            channel.pipeline().get(ResponseHandler::class.java).exchange = this
            channel.writeAndFlush(request)
            val timeout =
                eventLoop.schedule({
                    end(Outcomes.TIMED_OUT)
                    channel.close()
                }, timeoutMs, TimeUnit.MILLISECONDS)
            cancelTimeout = { timeout.cancel(false) }
        }

        private var cancelTimeout: () -> Unit = {}

        fun read(message: HttpObject) {
            if (message is HttpResponse) {
                keepAlive = HttpUtil.isKeepAlive(message)
                reader.head(message)
            }
            if (message is HttpContent) reader.body(message.content())
        }

        fun complete(channel: Channel) {
            if (reader.ended) return
            reader.complete()
            end(Outcomes.COMPLETE)
            if (keepAlive) idleChannels.addLast(channel) else channel.close()
        }

        fun fail() {
            if (reader.ended) return
            reader.complete()
            end(Outcomes.BROKEN)
        }

        /** Ends the call; [outcome] is recorded only if the reader has not recorded one. */
        fun end(outcome: String) {
            cancelTimeout()
            reader.end(outcome)
            onEnd()
        }
    }

    private inner class ResponseHandler : SimpleChannelInboundHandler<HttpObject>() {
        var exchange: Exchange? = null

        override fun channelRead0(context: ChannelHandlerContext, message: HttpObject) {
            val current = exchange ?: return
            current.read(message)
            if (message !is LastHttpContent) return
            exchange = null
            if (message.decoderResult().isFailure) current.fail() else current.complete(context.channel())
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            exchange?.fail()
            exchange = null
            super.channelInactive(context)
        }

        @Deprecated("Deprecated in Netty for outbound handlers only")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            context.close()
        }
    }
}
