package org.bramleyspur.daemon.forward

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders

/** Response to a caller's request; written on the traffic thread. */
internal interface CallerResponse {
    /** Whether the connection's outbound buffer has room for more data. */
    val writable: Boolean

    /** Sends a complete response with [status] and a short text body. */
    fun refuse(status: Int, text: String, retryAfterMs: Long? = null)

    /** Sends the response head; without a Content-Length in [headers] the body is sent in chunks. */
    fun begin(status: Int, headers: HttpHeaders)

    /** Sends a part of the body and takes ownership of [data]. */
    fun write(data: ByteBuf)

    /** Completes the response. */
    fun finish()

    /** Closes the connection so that the caller can tell that the response is incomplete. */
    fun abort()
}

/** A complete request of a caller. */
internal class CallerRequest(
    val method: String,
    val uri: String,
    val headers: HttpHeaders,
    val body: ByteArray,
    val receivedAtMs: Long,
) {
    /** Path without the query string. */
    val path: String get() = uri.substringBefore('?')
}
