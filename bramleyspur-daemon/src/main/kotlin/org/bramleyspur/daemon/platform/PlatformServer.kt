/*
 * HTTP endpoints for the platform: liveness, readiness for the load balancer, and metrics.
 */
package org.bramleyspur.daemon.platform

import io.netty.bootstrap.ServerBootstrap
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
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.bramleyspur.core.settings.Address
import org.bramleyspur.daemon.http.RequestAggregator
import org.bramleyspur.daemon.http.fullResponse
import org.bramleyspur.daemon.http.listen
import org.bramleyspur.daemon.http.respondAndClose
import java.io.ByteArrayOutputStream

private const val MAX_REQUEST_BYTES = 16 * 1024
private const val TEXT_CONTENT_TYPE = "text/plain; charset=utf-8"

/** Whether a process accepts new work; [reason] is the body of the readiness response. */
data class Readiness(val ready: Boolean, val reason: String)

/** Serves `/livez`, [readyPath] and `/metrics`, on one address or several. */
class PlatformServer(
    private val readiness: () -> Readiness,
    private val registry: PrometheusRegistry,
    private val readyPath: String = "/readyz",
) : AutoCloseable {
    private val channels = ArrayList<Channel>()

    /** Listens on [address] with the threads of [group], and returns the bound port. */
    fun start(address: Address, group: EventLoopGroup): Int {
        val bootstrap =
            ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel::class.java)
                .childHandler(PipelineInitializer())
        val bound = bootstrap.listen(address)
        channels += bound
        return (bound.localAddress() as java.net.InetSocketAddress).port
    }

    override fun close() {
        channels.forEach { it.close() }
    }

    private fun respond(path: String): DefaultFullHttpResponse = when (path) {
        "/livez" -> text(HttpResponseStatus.OK, "ok\n")
        readyPath -> readyResponse()
        "/metrics" -> metricsResponse()
        else -> text(HttpResponseStatus.NOT_FOUND, "not found; use /livez, $readyPath or /metrics\n")
    }

    private fun readyResponse(): DefaultFullHttpResponse {
        val current = readiness()
        val status = if (current.ready) HttpResponseStatus.OK else HttpResponseStatus.SERVICE_UNAVAILABLE
        return text(status, current.reason + "\n")
    }

    private fun metricsResponse(): DefaultFullHttpResponse {
        val writer = PrometheusTextFormatWriter.create()
        val out = ByteArrayOutputStream()
        writer.write(out, registry.scrape())
        return fullResponse(HttpResponseStatus.OK, out.toByteArray(), writer.contentType)
    }

    private fun text(status: HttpResponseStatus, body: String) =
        fullResponse(status, body.toByteArray(), TEXT_CONTENT_TYPE)

    private inner class PipelineInitializer : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            channel.pipeline().addLast(HttpServerCodec(), RequestAggregator(MAX_REQUEST_BYTES), Handler())
        }
    }

    /** Responds to the first request of a connection. */
    private inner class Handler : SimpleChannelInboundHandler<FullHttpRequest>() {
        private var responded = false

        override fun channelRead0(context: ChannelHandlerContext, request: FullHttpRequest) {
            if (responded) return
            responded = true
            if (request.decoderResult().isFailure) {
                return context.respondAndClose(text(HttpResponseStatus.BAD_REQUEST, "the request is not HTTP/1.1\n"))
            }
            val response = respond(request.uri().substringBefore('?'))
            context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE)
        }
    }
}
