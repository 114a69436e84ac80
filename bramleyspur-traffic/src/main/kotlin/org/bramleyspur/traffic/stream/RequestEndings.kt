/*
 * Transitions that start another attempt of a request or end it.
 */
package org.bramleyspur.traffic.stream

import org.bramleyspur.traffic.retry.RetryCause

/** Cancels the current attempt, which has begun, and continues on another agent if [retry] is set and it is allowed. */
internal fun RequestState.abandonCurrent(message: String, retry: Boolean = true): Transition {
    val attempt = current
    val next = with(attempt, AttemptPhase.RAN).afterAttempt(attempt, RetryCause.FAILED, message, retry)
    return Transition(next.state, listOf(CancelAttempt(attempt.number)) + next.effects)
}

/** Starts another attempt or ends the request, after [attempt] has ended without a complete response. */
internal fun RequestState.afterAttempt(
    attempt: Attempt,
    cause: RetryCause,
    message: String,
    retry: Boolean = true,
): Transition {
    if (stage != RequestStage.RUNNING) return endIfResolved()
    if (attempt.number != current.number) return unchanged()
    if (!retry || !allowsAnotherAttempt()) return end(message)
    val delayMs = if (delivered.isNotEmpty() && cause == RetryCause.REFUSED) resumeDelay(retryAfterMs) else 0
    val next = copy(
        attempts = attempts.add(Attempt(attempt.number + 1, AttemptPhase.STARTING)),
        excluded = attempt.incarnation?.let { excluded.add(it) } ?: excluded,
    )
    return Transition(next, listOf(next.startEffect(delayMs, cause)))
}

internal fun RequestState.startEffect(delayMs: Long, cause: RetryCause?): StartAttempt =
    StartAttempt(current.number, delayMs, cause, delivered, version, excluded)

/** Ends the request as the state of its attempts requires, and cancels the attempt that may still run. */
internal fun RequestState.end(message: String): Transition {
    val kind = refusalKind()
    val ending = when {
        callerDisconnected -> Abandon(kind)
        responseStarted -> FailStream(kind, message)
        else -> Refuse(kind, message, if (retryAfterMs > 0) retryAfterMs else DEFAULT_RETRY_AFTER_MS)
    }
    val cancels = if (current.phase.isActive) listOf(CancelAttempt(current.number)) else emptyList()
    return Transition(copy(stage = RequestStage.ENDED), cancels + ending)
}

/** Continues after evidence that an attempt has begun. */
internal fun RequestState.afterBegin(): Transition = when (stage) {
    RequestStage.RUNNING -> if (current.phase != AttemptPhase.RAN) {
        unchanged()
    } else {
        afterAttempt(current, RetryCause.FAILED, CONNECTION_LOST_MESSAGE)
    }

    RequestStage.CLOSING -> endIfResolved()
    RequestStage.ENDED -> unchanged()
}

/** Ends a closing request once no attempt awaits evidence of whether it began. */
private fun RequestState.endIfResolved(): Transition {
    if (stage != RequestStage.CLOSING || attempts.any { it.phase.isPending }) return unchanged()
    return end(DEADLINE_MESSAGE)
}

internal fun RequestState.onDeadline(): Transition {
    if (stage != RequestStage.RUNNING) return unchanged()
    val proofPossible = current.phase.isPending &&
        attempts.all { it.phase == AttemptPhase.NOT_BEGUN || it.phase.isPending }
    if (responseStarted || !proofPossible) return end(DEADLINE_MESSAGE)
    val cancel = if (current.phase == AttemptPhase.SENT) listOf(CancelAttempt(current.number)) else emptyList()
    return Transition(copy(stage = RequestStage.CLOSING), cancel + StartCancelTimeout(CANCEL_TIMEOUT_MS))
}

internal fun RequestState.onCallerDisconnected(): Transition = when {
    stage == RequestStage.ENDED -> unchanged()

    facts.finishWithoutCaller && (current.phase.isActive || current.phase.isPending) ->
        copy(callerDisconnected = true).unchanged()

    else -> copy(callerDisconnected = true).end("the caller disconnected")
}

/** Returns the delay in milliseconds before a partly delivered stream is resumed after a refusal. */
internal fun resumeDelay(retryAfterMs: Long): Long = retryAfterMs.coerceIn(MIN_RESUME_DELAY_MS, MAX_RESUME_DELAY_MS)

private fun RequestState.allowsAnotherAttempt(): Boolean {
    if (!bodyRetained || headForwarded || callerDisconnected) return false
    if (!facts.idempotent) {
        return attempts.size < facts.maxAttempts &&
            attempts.all { it.phase == AttemptPhase.NOT_BEGUN }
    }
    val counted = if (delivered.isEmpty()) attempts.size else attempts.count { it.phase != AttemptPhase.NOT_BEGUN }
    return counted < facts.maxAttempts
}

/** An agent responds to a cancel within this time, or not at all. */
private const val CANCEL_TIMEOUT_MS = 250L

/** One second is the smallest value that the header `Retry-After` can state. */
private const val DEFAULT_RETRY_AFTER_MS = 1000L
private const val MIN_RESUME_DELAY_MS = 50L
private const val MAX_RESUME_DELAY_MS = 500L
