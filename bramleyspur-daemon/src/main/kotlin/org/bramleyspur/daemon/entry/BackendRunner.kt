package org.bramleyspur.daemon.entry

import com.google.protobuf.ByteString
import org.bramleyspur.protocol.Head
import org.bramleyspur.protocol.Start
import org.bramleyspur.traffic.admission.RefusalReason

/** Receives what the backend server does with an attempt; all calls come on the traffic thread. */
interface BackendListener {
    /** The backend server has begun the attempt, or may have. */
    fun onBegun()

    /** Proved not to have begun. */
    fun onNotBegun(reason: RefusalReason, message: String)

    /** The request is wrong; the backend server answered with [status] and did not run it. */
    fun onRejected(status: Int, message: String)

    /** A token was generated. */
    fun onToken(position: Int, token: String)

    /** The generation is finished. */
    fun onFinish(reason: String, promptTokens: Int, completionTokens: Int)

    /** The head of an answer that is passed on. */
    fun onHead(head: Head)

    /** A part of an answer that is passed on; the answer is complete with the [last] one. */
    fun onBody(data: ByteString, last: Boolean)

    /** The run ended without a whole answer. */
    fun onBroken(message: String, failed: Boolean)

    /** The backend server's connection takes more of the request's body. */
    fun onBodyWanted()
}

/** An attempt that runs on the backend server. */
interface BackendRun {
    /** Whether the connection takes more of the request's body now. */
    val wantsBody: Boolean

    /** Sends a part of the request's body. */
    fun sendBody(data: ByteString, last: Boolean)

    /** Stops or resumes reading of the answer. */
    fun pauseReading(paused: Boolean)

    /** Cancels the run; the listener hears nothing more. */
    fun cancel()
}

/**
 * An attempt as it is handed to the backend server.
 *
 * @property timeoutMs time in milliseconds left until the deadline
 */
data class BackendAttempt(val start: Start, val timeoutMs: Long, val traceparent: String) {
    /** Identity of the attempt, `ID/N`. */
    val id: String get() = "${start.request}/${start.attempt}"
}

/** Runs an attempt on the backend server. */
typealias BackendRunner = (attempt: BackendAttempt, listener: BackendListener) -> BackendRun
