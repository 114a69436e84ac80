package org.bramleyspur.daemon.http

import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseDecoder

/** Decodes the responses of a connection that carries one request at a time. */
internal class ResponseDecoder : HttpResponseDecoder() {
    /** Method of the request that awaits its response. */
    var requestMethod: HttpMethod = HttpMethod.GET

    /** Whether bytes were received that are not decoded yet; after a complete response, they belong to no request. */
    val hasUndecodedBytes: Boolean get() = actualReadableBytes() > 0

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        requestMethod == HttpMethod.HEAD || super.isContentAlwaysEmpty(message)
}
