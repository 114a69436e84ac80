/*
 * HTTP server functions shared by all stand-ins: binding a listener, responding with JSON or an OpenAI error object.
 */
package org.bramleyspur.testbed.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.ChannelPipeline
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpServerKeepAliveHandler
import io.netty.handler.codec.http.HttpVersion
import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import java.io.IOException
import java.net.InetSocketAddress
import kotlin.system.exitProcess

/** Maximum size in bytes of an aggregated request body; larger ones are refused with 413. */
private const val MAX_BODY_BYTES = 8 * 1024 * 1024

/** JSON format of the stand-ins: unknown fields are ignored, default values are written. */
internal val testbedJson =
    Json {
        ignoreUnknownKeys = true
        encodeDefaults = true
    }

/** The OpenAI error object. */
@Serializable
internal data class ErrorBody(val error: ErrorDetail)

/** The content of the OpenAI error object. */
@Serializable
internal data class ErrorDetail(
    val message: String,
    val type: String,
    val param: String? = null,
    val code: String? = null,
)

/** Parses `HOST:PORT`; an IPv6 host is given in brackets. */
internal fun parseAddress(text: String): InetSocketAddress {
    val host = text.substringBeforeLast(':', "").removeSurrounding("[", "]")
    val port = text.substringAfterLast(':').toIntOrNull()
    require(host.isNotEmpty() && port != null && port in 0..65_535) {
        "address '$text' is not HOST:PORT; give it like 127.0.0.1:9001"
    }
    return InetSocketAddress(host, port)
}

/** Listens on [address] and builds the pipeline of each connection with [configure], after the HTTP codec. */
internal fun listenHttp(
    group: EventLoopGroup,
    address: InetSocketAddress,
    configure: (ChannelPipeline) -> Unit,
): Channel {
    val initializer =
        object : ChannelInitializer<SocketChannel>() {
            override fun initChannel(channel: SocketChannel) {
                channel.pipeline().addLast(HttpServerCodec(), HttpServerKeepAliveHandler())
                configure(channel.pipeline())
            }
        }
    val bootstrap = ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel::class.java)
        .option(ChannelOption.SO_BACKLOG, 1024)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(initializer)
    return bootstrap.listen(address)
}

/** Listens on [address]; throws an [IOException] that names it when that fails. */
internal fun ServerBootstrap.listen(address: InetSocketAddress): Channel = try {
    bind(address).sync().channel()
} catch (e: IOException) {
    val remedy = "end the process that uses the address or choose another one"
    throw IOException("cannot listen on ${address.hostString}:${address.port}: ${e.message}; $remedy", e)
}

/** Runs a stand-in; a failure to listen ends the process with a line, since its event loops run already. */
internal fun runStandIn(run: () -> Unit) = try {
    run()
} catch (e: IOException) {
    System.err.println("bramleyspur-standin: ${e.message}")
    exitProcess(EXIT_START_FAILED)
}

private const val EXIT_START_FAILED = 1

/** Creates a handler that aggregates requests with their bodies. */
internal fun aggregator() = HttpObjectAggregator(MAX_BODY_BYTES)

/** Port that a listener is bound to. */
internal val Channel.boundPort: Int get() = (localAddress() as InetSocketAddress).port

/** Responds with the JSON text [body]. */
internal fun ChannelHandlerContext.respondJson(
    body: String,
    status: HttpResponseStatus = HttpResponseStatus.OK,
): ChannelFuture {
    val content = Unpooled.copiedBuffer(body, Charsets.UTF_8)
    val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content)
    response.headers()
        .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
        .setInt(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes())
    return writeAndFlush(response)
}

/** Responds with an OpenAI error object. */
internal fun ChannelHandlerContext.respondError(status: Int, type: String, message: String): ChannelFuture {
    val body = testbedJson.encodeToString(ErrorBody(ErrorDetail(message, type)))
    return respondJson(body, HttpResponseStatus.valueOf(status))
}
