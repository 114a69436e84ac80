/*
 * Decides the next step when an attempt of a request ends without a complete response. Only these rules decide between
 * retrying the request, refusing it as not run, and reporting a failure.
 */
package org.bramleyspur.traffic.forward

/** How an attempt ended. */
sealed interface AttemptEnd {
    /** Nothing reached the backend server. */
    data object NotSent : AttemptEnd

    /** The backend server confirmed that it did not run the request and will not run it. */
    data class Rejected(val retryAfterMs: Long?) : AttemptEnd

    /** The request was sent and no part of a response arrived; it may have run. */
    data object NoAnswer : AttemptEnd

    /** The backend server ran the request and reported a failure. */
    data object Failed : AttemptEnd

    /** The response broke off after a part of it was forwarded. */
    data object BrokenOff : AttemptEnd

    /** A part of the prompt crashes engines; it is tested again in [retryAfterMs], null if that is not known. */
    data class PartBlocked(val retryAfterMs: Long?) : AttemptEnd

    /** No backend server can take the request now. */
    data object NoCandidate : AttemptEnd
}

/**
 * State of a request when one of its attempts ends.
 *
 * @property idempotent whether the request may run more than once
 * @property resumable whether a response that has started may be continued by another backend server
 * @property maxAttempts largest number of attempts that are sent
 * @property sentAttempts attempts that were sent at least in part
 * @property unsentAttempts attempts of which nothing was sent
 * @property mayHaveRun whether an attempt before this one may have run
 * @property responseStarted whether a part of a response was forwarded
 * @property remainingMs time until the caller's deadline or the route's timeout
 */
data class RequestProgress(
    val idempotent: Boolean,
    val resumable: Boolean,
    val maxAttempts: Int,
    val sentAttempts: Int,
    val unsentAttempts: Int,
    val mayHaveRun: Boolean,
    val responseStarted: Boolean,
    val remainingMs: Long,
)

/** The next step of a request. */
sealed interface NextStep {
    /** Retries on another backend server; [countsAgainstBudget] when this uses the retry budget. */
    data class SendAgain(val countsAgainstBudget: Boolean) : NextStep

    /** Responds that the request was not run and will not be. */
    data object RefuseNotRun : NextStep

    /** Responds that the outcome is unknown. */
    data object FailUnknown : NextStep

    /** Forwards the failure that the backend server reported. */
    data object PassFailure : NextStep

    /** Closes the caller's connection, since a part of the response was already forwarded. */
    data object BreakOff : NextStep
}

/** Returns the next step after [end]; [budgetLeft] when the budget allows a retry. */
fun nextStep(progress: RequestProgress, end: AttemptEnd, budgetLeft: Boolean): NextStep {
    val timeLeft = progress.remainingMs >= MIN_ATTEMPT_MS
    val canRetry = timeLeft && budgetLeft && progress.sentAttempts < progress.maxAttempts
    return when (end) {
        AttemptEnd.NotSent ->
            if (timeLeft && progress.unsentAttempts < MAX_UNSENT_ATTEMPTS) {
                NextStep.SendAgain(
                    countsAgainstBudget = progress.sentAttempts > 0,
                )
            } else {
                fail(progress)
            }

        is AttemptEnd.Rejected -> if (canRetry) NextStep.SendAgain(countsAgainstBudget = true) else fail(progress)

        AttemptEnd.NoAnswer, AttemptEnd.BrokenOff -> afterRun(progress, canRetry, NextStep.FailUnknown)

        AttemptEnd.Failed -> afterRun(progress, canRetry && !progress.responseStarted, NextStep.PassFailure)

        is AttemptEnd.PartBlocked, AttemptEnd.NoCandidate -> fail(progress)
    }
}

/** Returns the next step when the backend server ran the request or may have run it. */
private fun afterRun(progress: RequestProgress, canRetry: Boolean, failure: NextStep): NextStep = when {
    canRetry && progress.idempotent && (progress.resumable || !progress.responseStarted) -> NextStep.SendAgain(
        countsAgainstBudget = true,
    )
    progress.responseStarted -> NextStep.BreakOff
    else -> failure
}

private fun fail(progress: RequestProgress): NextStep = when {
    progress.responseStarted -> NextStep.BreakOff
    progress.mayHaveRun -> NextStep.FailUnknown
    else -> NextStep.RefuseNotRun
}

/** With less time left, the response of another attempt would arrive too late and only occupy a slot. */
private const val MIN_ATTEMPT_MS = 30L

/** Each attempt that fails before anything is sent costs up to a connection timeout. */
private const val MAX_UNSENT_ATTEMPTS = 4
