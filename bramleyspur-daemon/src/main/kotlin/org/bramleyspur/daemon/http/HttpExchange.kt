/*
 * HTTP calls from an agent to its backend server. A call tells exactly how far it got, because the answer to a caller
 * depends on whether any byte of the request can have reached the backend server.
 */
package org.bramleyspur.daemon.http

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest

/** How a call failed. */
enum class HttpFailure {
    /** No connection was made, so the backend server has seen nothing. */
    NOT_SENT,

    /** The connection broke after bytes were written; the backend server may have acted on them. */
    BROKEN,
}

/** Receives the response of one call; all calls come on the traffic thread. */
interface HttpListener {
    /** Takes the status line and headers. */
    fun onHead(status: Int, headers: HttpHeaders)

    /** Takes a part of the body, which is released after the call returns. */
    fun onData(data: ByteBuf)

    /** The response is complete. */
    fun onEnd()

    /** The call ended without a complete response. */
    fun onFailure(failure: HttpFailure, message: String)

    /** The connection can take more body data, or stopped taking it. */
    fun onWritable(writable: Boolean) = Unit
}

/** A call in progress. */
interface HttpCall {
    /** Sends a part of the request body; [last] ends it. Takes over the reference to [data]. */
    fun send(data: ByteBuf, last: Boolean)

    /** Whether the connection takes more body data now. */
    val writable: Boolean

    /** Stops or resumes reading of the response. */
    fun pauseReading(paused: Boolean)

    /** Closes the connection; the listener hears nothing more. */
    fun cancel()
}

/**
 * Starts a call. [request] carries the headers; when [body] is null the body follows through [HttpCall.send].
 * With [fresh] a new connection is opened, so that a stale pooled connection cannot make the call's fate unknown.
 * Without it, a call that gets no answer on a pooled connection is sent again on a new one, so it must be idempotent.
 */
typealias HttpCaller = (request: HttpRequest, body: ByteBuf?, fresh: Boolean, listener: HttpListener) -> HttpCall
