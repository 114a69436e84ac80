/*
 * HTTP calls to a backend server. A failed call reports whether any byte of the request can have reached the backend
 * server, because the refusal kind that is returned to the caller depends on it.
 */
package org.bramleyspur.daemon.http

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest

/** Kind of failure of a call. */
enum class HttpFailure {
    /** No connection was established, so the backend server has received nothing. */
    NOT_SENT,

    /** The connection broke after bytes were written; the backend server may have acted on them. */
    BROKEN,
}

/** Receives the response of one call; all calls come on the traffic thread. */
interface HttpListener {
    /** Handles the status and headers. */
    fun onHead(status: Int, headers: HttpHeaders)

    /** Handles a part of the body; [data] is released after the call returns. */
    fun onData(data: ByteBuf)

    /** The response is complete. */
    fun onEnd()

    /** The call ended without a complete response. */
    fun onFailure(failure: HttpFailure, message: String)

    /** No connection was established, since the backend server's host refused it: nothing listens at the address. */
    fun onRefused(message: String) = onFailure(HttpFailure.NOT_SENT, message)

    /** The writability of the connection has changed. */
    fun onWritable(writable: Boolean) = Unit
}

/** A call in progress. */
interface HttpCall {
    /** Sends a part of the request body; [last] marks its end. Takes ownership of [data]. */
    fun send(data: ByteBuf, last: Boolean)

    /** Whether the connection accepts more body data. */
    val writable: Boolean

    /** Pauses or resumes reading of the response. */
    fun pauseReading(paused: Boolean)

    /** Closes the connection; the listener receives no further events. */
    fun cancel()

    /**
     * Reads the rest of an unused response, so that the connection can be reused; closes the connection if the rest is
     * long or does not arrive soon.
     */
    fun discard()
}

/**
 * Starts an HTTP call. [request] contains the headers; if [body] is null, the body follows through [HttpCall.send].
 * With [newConnection], no pooled connection is used, since a stale one could make the outcome unknown.
 * Without it, a call that gets no response on a pooled connection is retried on a new one, so it must be idempotent.
 */
typealias HttpCallStarter = (
    request: HttpRequest,
    body: ByteBuf?,
    newConnection: Boolean,
    listener: HttpListener,
) -> HttpCall
