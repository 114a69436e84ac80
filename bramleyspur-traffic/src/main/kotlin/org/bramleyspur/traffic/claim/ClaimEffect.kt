/*
 * Effects of the claim state machine that its entry must execute. Each call gets exactly one [ClaimEnding]; it is
 * [AbandonCall] when the caller has disconnected.
 */
package org.bramleyspur.traffic.claim

import kotlinx.collections.immutable.PersistentSet
import org.bramleyspur.core.model.Incarnation
import org.bramleyspur.core.model.Refusal
import org.bramleyspur.core.model.RequestId

/** An output of the claim state machine. */
sealed interface ClaimEffect

/** The response to the caller; nothing is sent to the caller before it. */
sealed interface ClaimEnding : ClaimEffect

/** Choose a route outside [excluded]; report [TargetChosen] or [NoTarget]. */
data class ChooseTarget(val excluded: PersistentSet<Incarnation>) : ClaimEffect

/** Send the claim after [delayMs], in the name of [request]; report [ClaimResponseReceived] with [sequence]. */
data class SendClaim(val sequence: Int, val request: RequestId, val target: ClaimTarget, val delayMs: Long) :
    ClaimEffect

/**
 * Run the call on [target] only, under the request id [request], as a non-idempotent request with one attempt,
 * number [CLAIMED_ATTEMPT], that is finished also without the caller. Buffer the response and report [ExecutionEnded]
 * or [ResponseTooLarge].
 */
data class Execute(val request: RequestId, val target: ClaimTarget) : ClaimEffect

/** Number of the only attempt of a claimed call. */
const val CLAIMED_ATTEMPT = 1

/** Outcome that is recorded under a claim. */
sealed interface RecordOutcome {
    /** The call ran. */
    data class Responded(val response: RecordedResponse) : RecordOutcome

    /** The call did not run; its claim is removed. */
    data object NotRun : RecordOutcome

    /** The outcome is unknown and cannot be learned. */
    data object Unknown : RecordOutcome
}

/** Record the outcome of [request]'s claim after [delayMs]; report [RecordResponseReceived] or [RecordLost]. */
data class SendRecord(val sequence: Int, val request: RequestId, val outcome: RecordOutcome, val delayMs: Long) :
    ClaimEffect

/**
 * Look up attempt [CLAIMED_ATTEMPT] of the holder's request at the agent of its target, after [delayMs]. With
 * [cancel], have it refuse that attempt from then on if it has not begun. Report [HolderFound] or [HolderUnreachable].
 */
data class LookUpHolder(val holder: ClaimHolder, val cancel: Boolean, val delayMs: Long) : ClaimEffect

/** Return the buffered response, which is now recorded, and forward the rest of it. */
data object ReturnResponse : ClaimEnding

/** Return the response recorded for an earlier request with the key; the call is not run again. */
data class ReplayResponse(val response: RecordedResponse) : ClaimEnding

/** Refuse with status 409 and `Retry-After`: a request with the key is in progress; its outcome is `may_have_run`. */
data class RefuseInProgress(val retryAfterMs: Long) : ClaimEnding

/** Refuse with status 422: the key was used for a different call. */
data object RefuseDigestMismatch : ClaimEnding

/** Refuse the call. */
data class RefuseCall(val kind: Refusal, val message: String, val retryAfterMs: Long) : ClaimEnding

/** The caller has disconnected, so no response is sent. */
data object AbandonCall : ClaimEnding
