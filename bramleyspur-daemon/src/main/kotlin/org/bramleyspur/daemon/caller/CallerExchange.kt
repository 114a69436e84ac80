/*
 * Interfaces between caller connections and request handlers.
 */
package org.bramleyspur.daemon.caller

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod

/**
 * Request line and headers of a caller's request.
 *
 * @property path path with query, as the caller sent it
 */
data class CallerHead(val method: HttpMethod, val path: String, val headers: HttpHeaders)

/** Sends the response to one request. Exactly one of [respond], [endStream] and [abort] ends it. */
interface CallerExchange {
    /** Whether the connection's write buffer accepts more data. */
    val writable: Boolean

    /** Sends a complete response. */
    fun respond(status: Int, headers: List<Pair<String, String>>, body: ByteArray)

    /** Sends the status line and headers of a response whose body follows. */
    fun startStream(status: Int, headers: List<Pair<String, String>>)

    /** Sends a part of the body of a started response. Takes ownership of [data]. */
    fun send(data: ByteBuf)

    /** Completes a started response. */
    fun endStream()

    /** Closes the connection, so that the caller detects an incomplete response. */
    fun abort()

    /** Pauses or resumes reading of the request body. */
    fun pauseBody(paused: Boolean)
}

/** Receives the body of one request and events of its connection; all calls come on the traffic thread. */
interface CallerListener {
    /** Handles a part of the body; [data] is released after the call returns. */
    fun onBody(data: ByteBuf)

    /** Called when the body is complete. */
    fun onBodyEnd()

    /** Called when the caller closed its connection before the response was complete. */
    fun onCallerDisconnected()

    /** Called when the writability of the caller's connection changes. */
    fun onWritable(writable: Boolean) = Unit
}

/** Starts handling a request. */
typealias CallerRequestHandler = (head: CallerHead, exchange: CallerExchange) -> CallerListener

/** Discards the rest of a request whose response has already been sent. */
internal object DiscardingListener : CallerListener {
    override fun onBody(data: ByteBuf) = Unit

    override fun onBodyEnd() = Unit

    override fun onCallerDisconnected() = Unit
}
