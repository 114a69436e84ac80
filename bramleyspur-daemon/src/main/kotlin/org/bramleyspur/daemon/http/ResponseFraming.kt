package org.bramleyspur.daemon.http

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders

/**
 * How the response with [status] and [headers] to a request with [method] ends. If only the end of the connection ends
 * it, one without a body looks the same as one that broke off after its head.
 */
internal class ResponseFraming(method: String, status: Int, headers: HttpHeaders) {
    private val endsWithConnection = method != "HEAD" && status !in BODILESS_STATUSES &&
        !headers.contains(HttpHeaderNames.CONTENT_LENGTH) && !headers.contains(HttpHeaderNames.TRANSFER_ENCODING)
    private var bodyReceived = false

    /** Records that a part of the body arrived. */
    fun onData() {
        bodyReceived = true
    }

    /** Whether the response may have broken off if it ends here. */
    val maybeCut: Boolean get() = endsWithConnection && !bodyReceived

    private companion object {
        val BODILESS_STATUSES = setOf(204, 304)
    }
}
