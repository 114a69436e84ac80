/*
 * Transitions for events of an attempt other than its response: sent, refused, begun, broken, lost, cancelled, looked
 * up. Evidence that an attempt has begun overrides an earlier proof that it has not, in any order of arrival.
 */
package org.bramleyspur.traffic.stream

import org.bramleyspur.traffic.admission.LookupState
import org.bramleyspur.traffic.admission.RefusalReason
import org.bramleyspur.traffic.retry.RetryCause

internal fun RequestState.onSent(attempt: Attempt, event: AttemptSent): Transition {
    if (attempt.phase.isActive) return unchanged()
    if (attempt.phase != AttemptPhase.STARTING) return Transition(this, listOf(CancelAttempt(attempt.number)))
    val sent = with(attempt.copy(phase = AttemptPhase.SENT, incarnation = event.incarnation, version = event.version))
    if (stage == RequestStage.RUNNING) return sent.unchanged()
    return Transition(sent, listOf(CancelAttempt(attempt.number)))
}

internal fun RequestState.onNotStarted(attempt: Attempt, event: AttemptNotStarted): Transition {
    if (!mayStart(attempt.number)) return unchanged()
    val retryAfter = maxOf(retryAfterMs, event.retryAfterMs)
    if (delivered.isNotEmpty()) {
        val resuming = copy(excluded = excluded.clear(), retryAfterMs = retryAfter)
        return Transition(resuming, listOf(resuming.startEffect(resumeDelay(event.retryAfterMs), RetryCause.REFUSED)))
    }
    val message = when (event.reason) {
        NotStartedReason.NO_ROUTE -> "no backend server can take the request now; send it again later"
        NotStartedReason.NO_BUDGET -> "too many requests are being retried; send it again later"
    }
    return with(attempt, AttemptPhase.NOT_BEGUN).copy(retryAfterMs = retryAfter).end(message)
}

internal fun RequestState.onRefused(attempt: Attempt, event: AttemptRefused): Transition {
    if (event.reason == RefusalReason.DUPLICATE) return onConnectionLost(attempt, ConnectionLost(attempt.number, true))
    if (attempt.phase == AttemptPhase.BEGUN) return onBroken(attempt, AttemptBroken(attempt.number, failed = false))
    if (!attempt.phase.isPending && attempt.phase != AttemptPhase.LOST) return unchanged()
    val notBegun = with(attempt, AttemptPhase.NOT_BEGUN).copy(retryAfterMs = event.retryAfterMs)
    val message = "the backend server refused the request (${event.reason.name.lowercase()}); send it again later"
    val isFinal = event.reason == RefusalReason.EXPIRED || event.reason == RefusalReason.CANCELLED
    return notBegun.afterAttempt(attempt, RetryCause.REFUSED, message, retry = !isFinal)
}

internal fun RequestState.onBegun(attempt: Attempt): Transition = markBegun(attempt).afterBegin()

internal fun RequestState.onBroken(attempt: Attempt, event: AttemptBroken): Transition {
    if (attempt.phase in setOf(AttemptPhase.COMPLETE, AttemptPhase.RAN, AttemptPhase.FAILED)) return unchanged()
    val ended = with(attempt, if (event.failed) AttemptPhase.FAILED else AttemptPhase.RAN)
    val message = event.message.ifEmpty { "the backend server did not complete the answer" }
    return ended.afterAttempt(attempt, RetryCause.FAILED, message)
}

internal fun RequestState.onConnectionLost(attempt: Attempt, event: ConnectionLost): Transition = when {
    attempt.phase == AttemptPhase.BEGUN ->
        with(attempt, AttemptPhase.RAN).afterAttempt(attempt, RetryCause.FAILED, CONNECTION_LOST_MESSAGE)

    attempt.phase != AttemptPhase.SENT -> unchanged()

    !event.written ->
        with(attempt, AttemptPhase.NOT_BEGUN).afterAttempt(attempt, RetryCause.REFUSED, CONNECTION_LOST_MESSAGE)

    facts.idempotent || stage != RequestStage.RUNNING ->
        with(attempt, AttemptPhase.LOST).afterAttempt(attempt, RetryCause.FAILED, CONNECTION_LOST_MESSAGE)

    else -> Transition(with(attempt, AttemptPhase.LOOKUP), listOf(LookupAttempt(attempt.number, delayMs = 0)))
}

internal fun RequestState.onCancelConfirmed(attempt: Attempt, event: CancelConfirmed): Transition {
    if (event.began) return onBegun(attempt)
    return onRefused(attempt, AttemptRefused(attempt.number, RefusalReason.CANCELLED, retryAfterMs))
}

internal fun RequestState.onLookupResponse(attempt: Attempt, event: LookupResponseReceived): Transition {
    if (attempt.phase != AttemptPhase.LOOKUP && attempt.phase != AttemptPhase.LOST) return unchanged()
    val proved = event.state == LookupState.NOT_BEGUN && event.sameIncarnation
    val phase = when {
        proved -> AttemptPhase.NOT_BEGUN
        event.sameIncarnation -> AttemptPhase.RAN
        else -> AttemptPhase.LOST
    }
    return with(attempt, phase).afterAttempt(attempt, RetryCause.FAILED, CONNECTION_LOST_MESSAGE)
}

internal fun RequestState.onLookupFailed(attempt: Attempt): Transition {
    if (attempt.phase != AttemptPhase.LOOKUP || stage == RequestStage.ENDED) return unchanged()
    if (attempt.lookups + 1 >= MAX_LOOKUPS) {
        return with(attempt, AttemptPhase.LOST).afterAttempt(attempt, RetryCause.FAILED, CONNECTION_LOST_MESSAGE)
    }
    val updated = with(attempt.copy(lookups = attempt.lookups + 1))
    return Transition(updated, listOf(LookupAttempt(attempt.number, LOOKUP_DELAY_MS)))
}

/** Records evidence that [attempt] began; for an abandoned attempt, it overrides any proof that it did not. */
internal fun RequestState.markBegun(attempt: Attempt): RequestState = when (attempt.phase) {
    AttemptPhase.SENT -> with(attempt, AttemptPhase.BEGUN)
    AttemptPhase.LOOKUP, AttemptPhase.LOST, AttemptPhase.NOT_BEGUN -> with(attempt, AttemptPhase.RAN)
    else -> this
}

internal const val CONNECTION_LOST_MESSAGE = "the connection to the backend server was lost"

/** Five lookups at this interval last longer than the 0.8 s within which a frozen agent stops serving. */
private const val LOOKUP_DELAY_MS = 200L
private const val MAX_LOOKUPS = 5
