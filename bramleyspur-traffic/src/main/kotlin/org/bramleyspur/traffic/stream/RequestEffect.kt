/*
 * Effects of the request state machine that its entry must execute. Each request gets exactly one [RequestEnding].
 */
package org.bramleyspur.traffic.stream

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.PersistentSet
import org.bramleyspur.core.model.Incarnation
import org.bramleyspur.core.model.Refusal
import org.bramleyspur.traffic.retry.RetryCause

/** An output of the request state machine. */
sealed interface RequestEffect

/** The last effect of a request. */
sealed interface RequestEnding : RequestEffect

/**
 * Choose a route and write the attempt, if [RequestState.mayStart] is still true after [delayMs]; report [AttemptSent]
 * or [AttemptNotStarted].
 *
 * @property cause reason of the retry, which selects its budget; null for the first attempt
 * @property resumeTokens tokens delivered to the caller; generation continues at the position after them
 * @property version version that must serve the attempt, null when any may
 * @property excluded agent incarnations on which an attempt of this request has failed
 */
data class StartAttempt(
    val attempt: Int,
    val delayMs: Long,
    val cause: RetryCause?,
    val resumeTokens: ImmutableList<String>,
    val version: String?,
    val excluded: PersistentSet<Incarnation>,
) : RequestEffect {
    /** Position of the next token. */
    val resumePosition: Int get() = resumeTokens.size
}

/** Cancel the attempt at its agent and report the response as [CancelConfirmed]. */
data class CancelAttempt(val attempt: Int) : RequestEffect

/** Look the attempt up after [delayMs], and have its agent refuse it from then on if it has not begun. */
data class LookupAttempt(val attempt: Int, val delayMs: Long) : RequestEffect

/** Report [CancelTimeoutElapsed] after [delayMs]. */
data class StartCancelTimeout(val delayMs: Long) : RequestEffect

/** Deliver a token to the caller; tokens are delivered in the order of their positions, without gaps. */
data class DeliverToken(val position: Int, val token: String) : RequestEffect

/** Forward the head of the response that the event carried. */
data class ForwardHead(val status: Int) : RequestEffect

/** Forward the body part that the event carried. */
data class ForwardBody(val last: Boolean) : RequestEffect

/** The response is complete; [finishReason] is null for a [RequestKind.CALL]. */
data class Finish(val finishReason: String?, val promptTokens: Int, val completionTokens: Int) : RequestEnding

/** Refuse the request; no part of a response has reached the caller. */
data class Refuse(val kind: Refusal, val message: String, val retryAfterMs: Long) : RequestEnding

/** End a partly delivered response with an explicit error, without `[DONE]`. */
data class FailStream(val kind: Refusal, val message: String) : RequestEnding

/** The caller has disconnected; release all resources of the request. */
data class Abandon(val kind: Refusal) : RequestEnding
