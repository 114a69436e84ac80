/*
 * The boundary between HTTP connections of callers and the code that answers requests.
 */
package org.bramleyspur.daemon.caller

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod

/**
 * Head of a caller's request.
 *
 * @property path path with query, as the caller sent it
 */
data class CallerHead(val method: HttpMethod, val path: String, val headers: HttpHeaders)

/** Answers one request. Exactly one of [respond], [endStream] and [abort] ends it. */
interface CallerExchange {
    /** Whether the caller's connection takes more data now. */
    val writable: Boolean

    /** Sends a whole response. */
    fun respond(status: Int, headers: List<Pair<String, String>>, body: ByteArray)

    /** Sends the head of a response whose body follows. */
    fun startStream(status: Int, headers: List<Pair<String, String>>)

    /** Sends a part of a started response's body. Takes over the reference to [data]. */
    fun send(data: ByteBuf)

    /** Ends a started response as complete. */
    fun endStream()

    /** Closes the connection so that the caller sees an incomplete response. */
    fun abort()

    /** Stops or resumes reading of the request's body. */
    fun pauseBody(paused: Boolean)
}

/** Takes the rest of one request; all calls come on the traffic thread. */
interface CallerRequest {
    /** Takes a part of the body, which is released after the call returns. */
    fun onBody(data: ByteBuf)

    /** The body is complete. */
    fun onBodyEnd()

    /** The caller has closed its connection before the response was complete. */
    fun onCallerGone()

    /** The caller's connection takes more data, or stopped taking it. */
    fun onWritable(writable: Boolean) = Unit
}

/** Begins the handling of a request. */
typealias CallerRequestHandler = (head: CallerHead, exchange: CallerExchange) -> CallerRequest

/** Consumer for a request that has already been answered; it drops the rest of the body. */
internal object AnsweredRequest : CallerRequest {
    override fun onBody(data: ByteBuf) = Unit

    override fun onBodyEnd() = Unit

    override fun onCallerGone() = Unit
}
