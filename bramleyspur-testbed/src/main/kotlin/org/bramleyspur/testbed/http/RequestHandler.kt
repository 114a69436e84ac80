package org.bramleyspur.testbed.http

import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.FullHttpRequest
import kotlinx.serialization.SerializationException
import java.io.IOException

/** Handler of aggregated requests that refuses malformed ones with an OpenAI error object. */
internal abstract class RequestHandler : SimpleChannelInboundHandler<FullHttpRequest>() {
    /** Handles a well-formed request; [SerializationException] and [IllegalArgumentException] result in status 400. */
    abstract fun handle(context: ChannelHandlerContext, request: FullHttpRequest)

    override fun channelRead0(context: ChannelHandlerContext, request: FullHttpRequest) {
        if (request.decoderResult().isFailure) {
            val failure = context.respondError(400, "invalid_request_error", "the request is not valid HTTP/1.1")
            failure.addListener(ChannelFutureListener.CLOSE)
            return
        }
        try {
            handle(context, request)
        } catch (e: IllegalArgumentException) {
            context.respondError(400, "invalid_request_error", e.message ?: "the request is malformed")
        }
    }

    @Deprecated("Deprecated in Netty for outbound handlers only")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        if (cause !is IOException) System.err.println("request failed: $cause")
        context.close()
    }
}
