/*
 * Decides the next step when an attempt of a request ends without a complete answer. Only these rules decide between
 * sending the request again, refusing it as not run, and reporting a failure.
 */
package org.bramleyspur.traffic.forward

/** How an attempt ended. */
sealed interface AttemptEnd {
    /** Nothing reached the backend server. */
    data object NotSent : AttemptEnd

    /** The backend server confirmed that it did not run the request and will not run it. */
    data class Rejected(val retryAfterMs: Long?) : AttemptEnd

    /** The request was sent and no part of an answer arrived; it may have run. */
    data object NoAnswer : AttemptEnd

    /** The backend server ran the request and reported a failure. */
    data object Failed : AttemptEnd

    /** The answer broke off after a part of it was forwarded. */
    data object BrokenOff : AttemptEnd

    /** No backend server can take the request now. */
    data object NoCandidate : AttemptEnd
}

/**
 * State of a request when one of its attempts ends.
 *
 * @property repeatable whether the request may run more than once
 * @property resumable whether an answer that has started may be continued by another backend server
 * @property maxAttempts largest number of attempts that are sent
 * @property sends attempts that were sent at least in part
 * @property unsent attempts of which nothing was sent
 * @property mayHaveRun whether an attempt before this one may have run
 * @property answerStarted whether a part of an answer was forwarded
 * @property remainingMs time until the caller's deadline or the route's timeout
 */
data class RequestFacts(
    val repeatable: Boolean,
    val resumable: Boolean,
    val maxAttempts: Int,
    val sends: Int,
    val unsent: Int,
    val mayHaveRun: Boolean,
    val answerStarted: Boolean,
    val remainingMs: Long,
)

/** The next step of a request. */
sealed interface NextStep {
    /** Sends to another backend server; [paid] when this counts against the budget of second sends. */
    data class SendAgain(val paid: Boolean) : NextStep

    /** Answers that the request was not run and will not be. */
    data object RefuseNotRun : NextStep

    /** Answers that the outcome is unknown. */
    data object FailUnknown : NextStep

    /** Forwards the failure that the backend server reported. */
    data object PassFailure : NextStep

    /** Closes the caller's connection, since a part of the answer was already forwarded. */
    data object BreakOff : NextStep
}

/** Returns the next step after [end]; [budgetLeft] when the budget allows a second send. */
fun nextStep(facts: RequestFacts, end: AttemptEnd, budgetLeft: Boolean): NextStep {
    val timeLeft = facts.remainingMs >= MIN_ATTEMPT_MS
    val canRetry = timeLeft && budgetLeft && facts.sends < facts.maxAttempts
    return when (end) {
        AttemptEnd.NotSent ->
            if (timeLeft && facts.unsent < MAX_UNSENT) NextStep.SendAgain(paid = facts.sends > 0) else fail(facts)

        is AttemptEnd.Rejected -> if (canRetry) NextStep.SendAgain(paid = true) else fail(facts)

        AttemptEnd.NoAnswer, AttemptEnd.BrokenOff -> afterRun(facts, canRetry, NextStep.FailUnknown)

        AttemptEnd.Failed -> afterRun(facts, canRetry && !facts.answerStarted, NextStep.PassFailure)

        AttemptEnd.NoCandidate -> fail(facts)
    }
}

/** Returns the next step when the backend server ran the request or may have run it. */
private fun afterRun(facts: RequestFacts, canRetry: Boolean, failure: NextStep): NextStep = when {
    canRetry && facts.repeatable && (facts.resumable || !facts.answerStarted) -> NextStep.SendAgain(paid = true)
    facts.answerStarted -> NextStep.BreakOff
    else -> failure
}

private fun fail(facts: RequestFacts): NextStep = when {
    facts.answerStarted -> NextStep.BreakOff
    facts.mayHaveRun -> NextStep.FailUnknown
    else -> NextStep.RefuseNotRun
}

/** With less time left, the answer of another attempt would arrive too late and only occupy a slot. */
private const val MIN_ATTEMPT_MS = 30L

/** Each attempt that fails before anything is sent costs up to a connection timeout. */
private const val MAX_UNSENT = 4
