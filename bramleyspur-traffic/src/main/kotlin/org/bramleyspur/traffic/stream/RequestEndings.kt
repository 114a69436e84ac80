/*
 * Decisions on whether a request gets another attempt and on how it ends.
 */
package org.bramleyspur.traffic.stream

import org.bramleyspur.traffic.retry.RetryCause

/** Gives up the current attempt, which has begun, and continues elsewhere if that is allowed. */
internal fun RequestState.giveUpCurrent(message: String): Transition {
    val given = current
    val next = with(given, AttemptPhase.RAN).afterAttempt(given, RetryCause.FAILED, message)
    return Transition(next.state, listOf(CancelAttempt(given.number)) + next.effects)
}

/** Decides what follows when [attempt] has come to an end without a whole answer. */
internal fun RequestState.afterAttempt(
    attempt: Attempt,
    cause: RetryCause,
    message: String,
    retry: Boolean = true,
): Transition {
    if (stage != RequestStage.RUNNING) return settled()
    if (attempt.number != current.number) return unchanged()
    if (!retry || !allowsAnotherAttempt()) return end(message)
    val delayMs = if (delivered.isNotEmpty() && cause == RetryCause.REFUSED) resumeDelay(retryAfterMs) else 0
    val next = copy(
        attempts = attempts.add(Attempt(attempt.number + 1, AttemptPhase.STARTING)),
        excluded = attempt.incarnation?.let { excluded.add(it) } ?: excluded,
    )
    return Transition(next, listOf(next.startOrder(delayMs, cause)))
}

internal fun RequestState.startOrder(delayMs: Long, cause: RetryCause?): StartAttempt =
    StartAttempt(current.number, delayMs, cause, delivered, version, excluded)

/** Orders the ending that is true of the attempts, and cancels what may still run. */
internal fun RequestState.end(message: String): Transition {
    val kind = refusalKind()
    val ending = when {
        callerGone -> Abandon(kind)
        opened -> FailStream(kind, message)
        else -> Refuse(kind, message, if (retryAfterMs > 0) retryAfterMs else DEFAULT_RETRY_AFTER_MS)
    }
    val cancels = if (current.phase.isActive) listOf(CancelAttempt(current.number)) else emptyList()
    return Transition(copy(stage = RequestStage.ENDED), cancels + ending)
}

/** Decides what follows from evidence that an attempt has begun. */
internal fun RequestState.followed(): Transition = when (stage) {
    RequestStage.RUNNING -> if (current.phase != AttemptPhase.RAN) {
        unchanged()
    } else {
        afterAttempt(current, RetryCause.FAILED, LOST_MESSAGE)
    }

    RequestStage.CLOSING -> settled()
    RequestStage.ENDED -> unchanged()
}

/** Ends a closing request once nothing more can be learned of its attempts. */
private fun RequestState.settled(): Transition {
    if (stage != RequestStage.CLOSING || attempts.any { it.phase.isPending }) return unchanged()
    return end(DEADLINE_MESSAGE)
}

internal fun RequestState.onDeadline(): Transition {
    if (stage != RequestStage.RUNNING) return unchanged()
    val proofPossible = current.phase.isPending &&
        attempts.all { it.phase == AttemptPhase.NOT_BEGUN || it.phase.isPending }
    if (opened || !proofPossible) return end(DEADLINE_MESSAGE)
    val cancel = if (current.phase == AttemptPhase.SENT) listOf(CancelAttempt(current.number)) else emptyList()
    return Transition(copy(stage = RequestStage.CLOSING), cancel + StartGrace(GRACE_MS))
}

internal fun RequestState.onCallerGone(): Transition = when {
    stage == RequestStage.ENDED -> unchanged()

    facts.finishWithoutCaller && (current.phase.isActive || current.phase.isPending) ->
        copy(callerGone = true).unchanged()

    else -> copy(callerGone = true).end("the caller left")
}

/** Waiting time in milliseconds before a stream that the caller is reading is resumed after a refusal. */
internal fun resumeDelay(retryAfterMs: Long): Long = retryAfterMs.coerceIn(MIN_RESUME_DELAY_MS, MAX_RESUME_DELAY_MS)

private fun RequestState.allowsAnotherAttempt(): Boolean {
    if (!bodyHeld || headForwarded || callerGone) return false
    if (!facts.idempotent) {
        return attempts.size < facts.maxAttempts &&
            attempts.all { it.phase == AttemptPhase.NOT_BEGUN }
    }
    val counted = if (delivered.isEmpty()) attempts.size else attempts.count { it.phase != AttemptPhase.NOT_BEGUN }
    return counted < facts.maxAttempts
}

/** An agent answers a cancel within 250 ms, or is not going to answer it at all. */
private const val GRACE_MS = 250L

/** One second is the smallest value that the header `Retry-After` can state. */
private const val DEFAULT_RETRY_AFTER_MS = 1000L
private const val MIN_RESUME_DELAY_MS = 50L
private const val MAX_RESUME_DELAY_MS = 500L
