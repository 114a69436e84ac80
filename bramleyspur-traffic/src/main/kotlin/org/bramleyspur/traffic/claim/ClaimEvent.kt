/*
 * Events that an entry reports to the claim state machine of a keyed non-idempotent call. Replies carry the sequence
 * number of the message that they belong to, so that a late reply to an earlier message is recognized.
 */
package org.bramleyspur.traffic.claim

import org.bramleyspur.core.model.Incarnation
import org.bramleyspur.core.model.RequestId
import org.bramleyspur.traffic.admission.LookupState

/** Agent incarnation named in a claim. */
data class ClaimTarget(val incarnation: Incarnation, val address: String)

/** The request that holds a claim, and the target that it names. */
data class ClaimHolder(val request: RequestId, val target: ClaimTarget)

/**
 * A response as stored in the control log.
 *
 * @property body null when the response was larger than [MAX_RECORDED_BODY_BYTES]
 * @property bodyBytes length of the complete body in bytes, or of the part received when the record was made
 */
class RecordedResponse(val status: Int, val contentType: String, val body: ByteArray?, val bodyBytes: Long) {
    companion object {
        /** Largest body in bytes that the control log stores. */
        const val MAX_RECORDED_BODY_BYTES = 64 * 1024
    }
}

/** Response of the control leader to a claim. */
sealed interface ClaimReply {
    /** The request may run once, on the target that the claim names. */
    data object Granted : ClaimReply

    /** A request holds the claim; it may be this request, when an earlier reply was lost. */
    data class InProgress(val holder: ClaimHolder) : ClaimReply

    /** The call has run and its response is recorded. */
    data class Responded(val response: RecordedResponse) : ClaimReply

    /** The key was used for another method, path or body. */
    data object DigestMismatch : ClaimReply

    /** The outcome of the run is unknown and cannot be learned. */
    data object UnknownOutcome : ClaimReply

    /** No leader responded, or it changed before it responded; the claim may have been committed. */
    data object Lost : ClaimReply
}

/** Result of executing the granted call, derived from the ending of its request state machine. */
sealed interface ExecutionResult {
    /** The complete response, or with [failed] the failure that the backend server reported, can be recorded. */
    data class Responded(val response: RecordedResponse, val failed: Boolean = false) : ExecutionResult

    /** The call is proved not to have run. */
    data class NotRun(val message: String, val retryAfterMs: Long) : ExecutionResult

    /** The outcome cannot be learned. */
    data class Unknown(val message: String) : ExecutionResult
}

/** An input of the claim state machine. */
sealed interface ClaimEvent

/** Routing chose [target]. */
data class TargetChosen(val target: ClaimTarget) : ClaimEvent

/** No target is available. */
data class NoTarget(val retryAfterMs: Long) : ClaimEvent

/** The reply to the claim with the number [sequence]. */
data class ClaimResponseReceived(val sequence: Int, val reply: ClaimReply) : ClaimEvent

/** The execution ended. */
data class ExecutionEnded(val result: ExecutionResult) : ClaimEvent

/** The response is larger than the log stores; [response] has its status and received length, without the body. */
data class ResponseTooLarge(val response: RecordedResponse) : ClaimEvent

/** The control leader responded to a record; [recorded] is false when the claim is no longer held by this request. */
data class RecordResponseReceived(val sequence: Int, val recorded: Boolean) : ClaimEvent

/** A record got no response, or the leader changed; it may have been committed. */
data class RecordLost(val sequence: Int) : ClaimEvent

/** The agent incarnation [incarnation] responded to [lookup]. */
data class HolderFound(val lookup: LookUpHolder, val state: LookupState, val incarnation: Incarnation) : ClaimEvent

/** The agent did not respond to [lookup]. */
data class HolderUnreachable(val lookup: LookUpHolder) : ClaimEvent

/** The call's deadline has passed. */
data object ClaimDeadline : ClaimEvent

/** The caller closed its connection. */
data object ClaimCallerDisconnected : ClaimEvent
