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

    override fun createMessage(initialLine: Array<String>): HttpMessage {
        val status = initialLine[STATUS_INDEX]
        // The superclass accepts any integer.
        require(STATUS_CODE.matches(status)) { "invalid status code '$status'" }
        return super.createMessage(initialLine)
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        requestMethod == HttpMethod.HEAD || super.isContentAlwaysEmpty(message)

    private companion object {
        /** Position of the status code in the status line, after the protocol version. */
        const val STATUS_INDEX = 1

        val STATUS_CODE = Regex("[1-9][0-9]{2}")
    }
}
