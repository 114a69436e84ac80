package org.bramleyspur.daemon.entry

import com.google.protobuf.ByteString
import org.bramleyspur.protocol.Head
import org.bramleyspur.protocol.Start
import org.bramleyspur.traffic.admission.RefusalReason

/** Receives the events of an attempt on the backend server; all calls come on the traffic thread. */
interface BackendListener {
    /** The backend server has begun the attempt, or may have begun it. */
    fun onBegun()

    /** The backend server has certainly not begun the attempt. */
    fun onNotBegun(reason: RefusalReason, message: String)

    /** The backend server rejected the request as invalid with HTTP [status] and did not run it. */
    fun onRejected(status: Int, message: String)

    /** A token was generated. */
    fun onToken(position: Int, token: String)

    /** The generation is finished. */
    fun onFinish(reason: String, promptTokens: Int, completionTokens: Int)

    /** The status and headers of a forwarded response have arrived. */
    fun onHead(head: Head)

    /** A part of a forwarded response body has arrived; the [last] one completes the response. */
    fun onBody(data: ByteString, last: Boolean)

    /** The run ended without a complete response; [failed] if the backend server itself reported a failed run. */
    fun onBroken(message: String, failed: Boolean)

    /** The backend server's connection accepts more of the request body. */
    fun onBodyWritable()
}

/** An attempt that runs on the backend server. */
interface BackendRun {
    /** Whether the connection accepts more of the request body. */
    val bodyWritable: Boolean

    /** Sends a part of the request body. */
    fun sendBody(data: ByteString, last: Boolean)

    /** Pauses or resumes reading of the response. */
    fun pauseReading(paused: Boolean)

    /** Cancels the run; the listener receives no further events. */
    fun cancel()
}

/**
 * An attempt to run on the backend server.
 *
 * @property timeoutMs remaining time in milliseconds until the deadline
 */
data class BackendAttempt(val start: Start, val timeoutMs: Long, val traceparent: String) {
    /** Unique identifier of the attempt: request id and attempt number, `ID/N`. */
    val id: String get() = "${start.request}/${start.attempt}"
}

/** Runs an attempt on the backend server. */
typealias BackendRunner = (attempt: BackendAttempt, listener: BackendListener) -> BackendRun
