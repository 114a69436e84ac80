package org.bramleyspur.daemon.http

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion

/** Complete response with [body] and its `Content-Length` header. */
internal fun fullResponse(
    status: HttpResponseStatus,
    body: ByteArray,
    contentType: CharSequence,
): DefaultFullHttpResponse {
    val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body))
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType)
    response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.size)
    return response
}
