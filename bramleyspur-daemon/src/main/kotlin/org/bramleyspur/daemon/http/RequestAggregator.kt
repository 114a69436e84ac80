package org.bramleyspur.daemon.http

import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpResponseStatus
import java.util.concurrent.TimeUnit

private const val TEXT_CONTENT_TYPE = "text/plain; charset=utf-8"

/** Long enough for a client in another data centre to read a short response. */
private const val LINGER_MS = 1_000L

/** Collects whole requests; refuses one with a body above [maxBytes] and closes its connection. */
internal class RequestAggregator(private val maxBytes: Int) : HttpObjectAggregator(maxBytes) {
    override fun handleOversizedMessage(context: ChannelHandlerContext, oversized: HttpMessage) {
        val text = "the body is larger than $maxBytes bytes\n".encodeToByteArray()
        context.respondAndClose(fullResponse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, text, TEXT_CONTENT_TYPE))
    }
}

/**
 * Sends [response] and closes the connection after [LINGER_MS], in which further input is discarded. Closing a socket
 * with unread data resets the connection, and the reset can destroy a response that the client has not read yet.
 */
internal fun ChannelHandlerContext.respondAndClose(response: FullHttpResponse) {
    response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    writeAndFlush(response)
    executor().schedule({ close() }, LINGER_MS, TimeUnit.MILLISECONDS)
}
