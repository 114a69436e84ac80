/*
 * Events that an entry reports to the state machine of a request. Events of an attempt carry its number, since they can
 * arrive after the entry has abandoned the attempt.
 */
package org.bramleyspur.traffic.stream

import org.bramleyspur.core.model.Incarnation
import org.bramleyspur.traffic.admission.LookupState
import org.bramleyspur.traffic.admission.RefusalReason

/** An input of the request state machine. */
sealed interface RequestEvent

/** An event of one attempt. */
sealed interface AttemptEvent : RequestEvent {
    /** Number of the attempt, unique within the request. */
    val attempt: Int
}

/** The attempt was handed to the connection to the agent [incarnation], which serves [version]. */
data class AttemptSent(override val attempt: Int, val incarnation: Incarnation, val version: String = "") : AttemptEvent

/** The attempt was not written to any connection; [retryAfterMs] is 0 when it is unknown. */
data class AttemptNotStarted(override val attempt: Int, val reason: NotStartedReason, val retryAfterMs: Long = 0) :
    AttemptEvent

/** Why an attempt was not written. */
enum class NotStartedReason {
    /** No route is eligible: all are excluded or over their limit, or lack the version or adapter. */
    NO_ROUTE,

    /** The retry budget is spent. */
    NO_BUDGET,
}

/** The agent refused the attempt before it began. */
data class AttemptRefused(override val attempt: Int, val reason: RefusalReason, val retryAfterMs: Long = 0) :
    AttemptEvent

/** The backend server has begun to run the attempt. */
data class AttemptBegun(override val attempt: Int) : AttemptEvent

/** The status line of the response. */
data class AttemptHead(override val attempt: Int, val status: Int) : AttemptEvent

/** One token of a generation. */
data class AttemptToken(override val attempt: Int, val position: Int, val token: String) : AttemptEvent

/** A part of a body; the entry buffers its bytes until the effect [ForwardBody]. */
data class AttemptBody(override val attempt: Int, val last: Boolean) : AttemptEvent

/** The engine finished the generation; [completionTokens] counts from position 0, resumed tokens included. */
data class AttemptEnd(
    override val attempt: Int,
    val finishReason: String,
    val promptTokens: Int,
    val completionTokens: Int,
) : AttemptEvent

/** The attempt ended without a complete response; [failed] when the backend server reported a failed run. */
data class AttemptBroken(override val attempt: Int, val failed: Boolean, val message: String = "") : AttemptEvent

/** The connection ended or its keepalive got no response; [written] when any byte of the attempt was written. */
data class ConnectionLost(override val attempt: Int, val written: Boolean) : AttemptEvent

/** The agent's response to a cancel of the attempt. */
data class CancelConfirmed(override val attempt: Int, val began: Boolean) : AttemptEvent

/** The response to a lookup; [sameIncarnation] when it is from the agent incarnation that got the attempt. */
data class LookupResponseReceived(override val attempt: Int, val state: LookupState, val sameIncarnation: Boolean) :
    AttemptEvent

/** A lookup got no response. */
data class LookupFailed(override val attempt: Int) : AttemptEvent

/** The request's body is no longer retained, so no further attempt can be sent. */
data object BodyReleased : RequestEvent

/** The request's deadline has passed. */
data object DeadlinePassed : RequestEvent

/** The timeout started by [StartCancelTimeout] has elapsed. */
data object CancelTimeoutElapsed : RequestEvent

/** The caller closed its connection. */
data object CallerDisconnected : RequestEvent
