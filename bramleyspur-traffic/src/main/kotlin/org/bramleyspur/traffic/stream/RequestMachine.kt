/*
 * State machine of one request at its entry. It decides when an attempt starts, which tokens are delivered to the
 * caller, and how the request ends. It never allows a second begin of a non-idempotent request, delivers each position
 * once and in order, and refuses as `not_run` only with proof that no attempt has begun.
 */
package org.bramleyspur.traffic.stream

import kotlinx.collections.immutable.persistentListOf

/** Starts the state machine of a request and its first attempt, with the number [firstAttempt]. */
fun acceptRequest(facts: RequestFacts, firstAttempt: Int = 1): Transition {
    val state = RequestState(facts, persistentListOf(Attempt(firstAttempt, AttemptPhase.STARTING)))
    return Transition(state, listOf(state.startEffect(delayMs = 0, cause = null)))
}

/** Returns the transition caused by [event]. */
fun RequestState.on(event: RequestEvent): Transition = when (event) {
    is AttemptToken -> onToken(event)
    is AttemptEvent -> find(event.attempt)?.let { onAttemptEvent(it, event) } ?: unchanged()
    is BodyReleased -> copy(bodyRetained = false).unchanged()
    is DeadlinePassed -> onDeadline()
    is CancelTimeoutElapsed -> if (stage == RequestStage.CLOSING) end(DEADLINE_MESSAGE) else unchanged()
    is CallerDisconnected -> onCallerDisconnected()
}

/** Returns [effect] as the ending of the request, or null when it does not end it. */
fun endingOf(effect: RequestEffect): RequestEnding? = effect as? RequestEnding

private fun RequestState.onAttemptEvent(attempt: Attempt, event: AttemptEvent): Transition = when (event) {
    is AttemptSent -> onSent(attempt, event)
    is AttemptNotStarted -> onNotStarted(attempt, event)
    is AttemptRefused -> onRefused(attempt, event)
    is AttemptBegun -> onBegun(attempt)
    is AttemptBroken -> onBroken(attempt, event)
    is ConnectionLost -> onConnectionLost(attempt, event)
    is CancelConfirmed -> onCancelConfirmed(attempt, event)
    is LookupResponseReceived -> onLookupResponse(attempt, event)
    is LookupFailed -> onLookupFailed(attempt)
    else -> onResponseEvent(attempt, event)
}

private fun RequestState.onResponseEvent(attempt: Attempt, event: AttemptEvent): Transition {
    val begun = markBegun(attempt)
    if (!begun.isResponding(attempt.number)) return begun.afterBegin()
    return when (event) {
        is AttemptHead -> begun.onHead(event)
        is AttemptBody -> begun.onBody(event)
        is AttemptEnd -> begun.onEnd(event)
        else -> begun.unchanged()
    }
}

private fun RequestState.onToken(event: AttemptToken): Transition {
    if (!isResponding(event.attempt)) {
        val begun = find(event.attempt)?.let { markBegun(it) } ?: this
        if (!begun.isResponding(event.attempt)) return begun.afterBegin()
        return begun.onToken(event)
    }
    val position = delivered.size
    return when {
        event.position < position -> unchanged()
        event.position > position -> abandonCurrent("token $position is missing from the stream")
        headForwarded || facts.kind == RequestKind.CALL -> abandonCurrent("a token arrived in an answer without tokens")
        else -> deliver(event)
    }
}

private fun RequestState.deliver(event: AttemptToken): Transition {
    val size = deliveredSize + event.token.length + TOKEN_OVERHEAD
    if (size > MAX_GENERATION_SIZE) return abandonCurrent("the generation is larger than the limit", retry = false)
    val next = copy(
        delivered = delivered.add(event.token),
        deliveredSize = size,
        version = version ?: current.version,
        responseStarted = responseStarted || facts.streaming,
    )
    return Transition(next, listOf(DeliverToken(event.position, event.token)))
}

private fun RequestState.onHead(event: AttemptHead): Transition = when {
    headForwarded -> unchanged()
    facts.kind == RequestKind.GENERATION && event.status < FIRST_ERROR_STATUS -> unchanged()
    delivered.isNotEmpty() -> abandonCurrent("the backend server answered a resume with status ${event.status}")
    else -> Transition(copy(responseStarted = true, headForwarded = true), listOf(ForwardHead(event.status)))
}

private fun RequestState.onBody(event: AttemptBody): Transition = when {
    !headForwarded -> abandonCurrent("a body part arrived before the head of the answer")
    event.last -> complete(ForwardBody(last = true), Finish(null, promptTokens = 0, completionTokens = 0))
    else -> Transition(this, listOf(ForwardBody(last = false)))
}

private fun RequestState.onEnd(event: AttemptEnd): Transition {
    val isComplete = facts.kind == RequestKind.GENERATION && !headForwarded && event.completionTokens == delivered.size
    if (isComplete) return complete(Finish(event.finishReason, event.promptTokens, event.completionTokens))
    return abandonCurrent("the stream ended at token ${delivered.size} of ${event.completionTokens}")
}

private fun RequestState.complete(vararg effects: RequestEffect): Transition =
    Transition(with(current, AttemptPhase.COMPLETE).copy(stage = RequestStage.ENDED), effects.asList())

/** Whether attempt [number] is the current one and its response is expected. */
private fun RequestState.isResponding(number: Int): Boolean = stage == RequestStage.RUNNING &&
    current.number == number && current.phase == AttemptPhase.BEGUN

internal fun RequestState.unchanged(): Transition = Transition(this, emptyList())

private const val FIRST_ERROR_STATUS = 400

/** Limit of [RequestState.deliveredSize]; an entry keeps the tokens of a request until its end. */
internal const val MAX_GENERATION_SIZE = 16L * 1024 * 1024

/** Size of an empty token, in characters. */
internal const val TOKEN_OVERHEAD = 32
internal const val DEADLINE_MESSAGE = "the deadline passed; allow more time or send the request when load is lower"
