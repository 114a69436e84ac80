/*
 * A stand-in for an OTLP/HTTP collector that stores the received spans and lists them.
 */
package org.bramleyspur.testbed.otlp

import com.google.protobuf.InvalidProtocolBufferException
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.nio.NioEventLoopGroup
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpContentDecompressor
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.opentelemetry.proto.collector.trace.v1.ExportTraceServiceRequest
import kotlinx.serialization.encodeToString
import org.bramleyspur.testbed.http.RequestHandler
import org.bramleyspur.testbed.http.aggregator
import org.bramleyspur.testbed.http.boundPort
import org.bramleyspur.testbed.http.listenHttp
import org.bramleyspur.testbed.http.respondError
import org.bramleyspur.testbed.http.respondJson
import org.bramleyspur.testbed.http.testbedJson
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

/** Number of spans kept before the oldest is discarded. */
private const val MAX_KEPT_SPANS = 50_000

/** An OTLP receiver that listens on [address] and runs on its own event loop. */
class OtlpServer(address: InetSocketAddress) : AutoCloseable {
    private val eventLoops = NioEventLoopGroup(1)
    private val spans = ArrayDeque<SpanReport>()
    private val channel =
        listenHttp(eventLoops, address) { it.addLast(HttpContentDecompressor(0), aggregator(), OtlpHandler(spans)) }

    /** Port that the receiver listens on. */
    val port: Int get() = channel.boundPort

    /** Waits until the listener is closed. */
    fun await() {
        channel.closeFuture().sync()
    }

    override fun close() {
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }
}

private class OtlpHandler(private val spans: ArrayDeque<SpanReport>) : RequestHandler() {
    override fun handle(context: ChannelHandlerContext, request: FullHttpRequest) {
        when ("${request.method()} ${request.uri()}") {
            "POST /v1/traces" -> receive(context, request)
            "GET /spans" -> context.respondJson(testbedJson.encodeToString(spans.toList()))
            "DELETE /spans" -> {
                spans.clear()
                context.respondJson("{}")
            }
            else -> context.respondError(404, "not_found", "no such call: ${request.uri()}")
        }
    }

    private fun receive(context: ChannelHandlerContext, request: FullHttpRequest) {
        val export =
            try {
                ExportTraceServiceRequest.parseFrom(request.content().nioBuffer())
            } catch (e: InvalidProtocolBufferException) {
                throw IllegalArgumentException("the body is not an OTLP export request: ${e.message}", e)
            }
        spans.addAll(spansOf(export))
        while (spans.size > MAX_KEPT_SPANS) spans.removeFirst()
        // An empty body is an ExportTraceServiceResponse without a partial failure.
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK)
        response.headers()
            .set(HttpHeaderNames.CONTENT_TYPE, "application/x-protobuf")
            .setInt(HttpHeaderNames.CONTENT_LENGTH, 0)
        context.writeAndFlush(response)
    }
}
