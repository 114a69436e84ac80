package org.bramleyspur.daemon.forward

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders

/** The answer to one caller's request; written by the traffic thread. */
internal interface CallerAnswer {
    /** Whether the caller takes more data now. */
    val writable: Boolean

    /** Answers with a status and a short text of this entry, complete. */
    fun refuse(status: Int, text: String, retryAfterMs: Long? = null)

    /** Begins an answer; without a Content-Length in [headers] the body is sent in chunks. */
    fun begin(status: Int, headers: HttpHeaders)

    /** Sends a part of the body; takes over the reference to [data]. */
    fun write(data: ByteBuf)

    /** Ends the answer as complete. */
    fun finish()

    /** Ends the connection so that the answer does not look complete. */
    fun abort()
}

/** A caller's whole request. */
internal class CallerRequest(
    val method: String,
    val uri: String,
    val headers: HttpHeaders,
    val body: ByteArray,
    val receivedMs: Long,
) {
    /** Path without the query. */
    val path: String get() = uri.substringBefore('?')
}
