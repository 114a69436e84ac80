package org.bramleyspur.daemon.controlplane

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.ByteBufUtil
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.flow.FlowControlHandler
import io.netty.handler.timeout.ReadTimeoutException
import io.netty.handler.timeout.ReadTimeoutHandler
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.bramleyspur.core.document.Document
import org.bramleyspur.core.settings.Address
import org.bramleyspur.daemon.http.RequestAggregator
import org.bramleyspur.daemon.http.fullResponse
import org.bramleyspur.daemon.http.listen
import org.bramleyspur.daemon.http.respondAndClose
import java.io.IOException
import java.util.concurrent.TimeUnit

/** Handles a call and calls [respond] exactly once, on any thread. */
typealias ControlPlaneHandler = (call: ControlPlaneCall, respond: (ControlPlaneResponse) -> Unit) -> Unit

/**
 * HTTP server for backend servers and operators; calls are handled on the threads of the event loop group.
 *
 * @property onFailure receives an error that closed a connection without a response, unless the peer caused it
 * @property onDropped receives a call that is not handled since its caller has closed the connection
 */
class ControlPlaneServer(
    private val decode: ControlPlaneDecoder,
    private val onFailure: (Throwable) -> Unit,
    private val onDropped: (ControlPlaneCall) -> Unit = {},
    private val handle: ControlPlaneHandler,
) : AutoCloseable {
    private var listener: Channel? = null
    private var address: Address? = null

    /** Listens on [address] with the threads of [group]. */
    fun start(address: Address, group: EventLoopGroup) {
        this.address = address
        listener = ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel::class.java)
            .childHandler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(channel: SocketChannel) {
                        channel.pipeline().addLast(
                            ReadTimeoutHandler(IDLE_TIMEOUT_MS, TimeUnit.MILLISECONDS),
                            HttpServerCodec(),
                            RequestAggregator(Document.MAX_BYTES),
                            FlowControlHandler(),
                            Handler(),
                        )
                    }
                },
            ).listen(address)
    }

    override fun close() {
        listener?.close()
    }

    private inner class Handler : SimpleChannelInboundHandler<FullHttpRequest>() {
        override fun channelRead0(context: ChannelHandlerContext, request: FullHttpRequest) {
            val malformed = request.decoderResult().cause()
            if (malformed != null) {
                val text = "the request is not HTTP/1.1: ${malformed.message}"
                return context.respondAndClose(message(HttpResponseStatus.BAD_REQUEST, text))
            }
            val keepAlive = HttpUtil.isKeepAlive(request)
            // The next call of the connection is read once the client has taken the response to this one.
            context.channel().config().isAutoRead = false
            val path = request.uri()
            val call =
                decode(request.method().name(), path.substringBefore('?'), ByteBufUtil.getBytes(request.content()))
            val respond = { outcome: ControlPlaneResponse -> write(context, httpResponse(outcome, path), keepAlive) }
            if (call.endsWithCaller) handleUnlessEnded(context, call, respond) else handle(call, respond)
        }

        private fun write(context: ChannelHandlerContext, response: FullHttpResponse, keepAlive: Boolean) {
            if (!keepAlive) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
            val written = context.writeAndFlush(response)
            if (keepAlive) {
                written.addListener { context.channel().config().isAutoRead = true }
            } else {
                written.addListener(ChannelFutureListener.CLOSE)
            }
        }

        /**
         * Handles [call] unless its caller has closed the connection: a late copy of a call is followed by the end of
         * its connection. That is read with the next bytes, which the flow control holds back.
         */
        private fun handleUnlessEnded(
            context: ChannelHandlerContext,
            call: ControlPlaneCall,
            respond: (ControlPlaneResponse) -> Unit,
        ) {
            context.pipeline().firstContext().read()
            val handleIfOpen = {
                if (context.channel().isActive) {
                    runCatching { handle(call, respond) }.onFailure { context.fireExceptionCaught(it) }
                } else {
                    onDropped(call)
                }
            }
            // A timer set by a timer runs in a later pass of the event loop, which reads first.
            context.executor().schedule(
                { context.executor().schedule(handleIfOpen, END_READ_MS, TimeUnit.MILLISECONDS) },
                END_READ_MS,
                TimeUnit.MILLISECONDS,
            )
        }

        @Deprecated("Deprecated in Netty's handler interface, which still calls it.")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            // A reset connection and a read timeout concern only the caller.
            if (cause !is IOException && cause !is ReadTimeoutException) onFailure(cause)
            context.close()
        }
    }

    private fun httpResponse(outcome: ControlPlaneResponse, path: String): DefaultFullHttpResponse = when (outcome) {
        ControlPlaneResponse.Accepted -> json(HttpResponseStatus.OK, "{}".encodeToByteArray())
        is ControlPlaneResponse.Content -> json(HttpResponseStatus.OK, outcome.content.toByteArray())
        is ControlPlaneResponse.Redirect -> message(HttpResponseStatus.TEMPORARY_REDIRECT, "ask the leader").apply {
            headers().set(HttpHeaderNames.LOCATION, "http://${outcome.host}:${address!!.port}$path")
        }
        is ControlPlaneResponse.Refused -> message(HttpResponseStatus.BAD_REQUEST, outcome.message)
        is ControlPlaneResponse.Unavailable -> message(HttpResponseStatus.SERVICE_UNAVAILABLE, outcome.message)
        ControlPlaneResponse.NotFound -> message(HttpResponseStatus.NOT_FOUND, "there is no such call")
    }

    private fun message(status: HttpResponseStatus, text: String) =
        json(status, buildJsonObject { put("error", text) }.toString().encodeToByteArray())

    private fun json(status: HttpResponseStatus, body: ByteArray) =
        fullResponse(status, body, HttpHeaderValues.APPLICATION_JSON)

    private companion object {
        const val IDLE_TIMEOUT_MS = 30_000L

        /** Shortest delay of a timer. */
        const val END_READ_MS = 1L
    }
}
