/*
 * Decides the next step when an attempt of a request ends without a complete response. Only these rules decide between
 * retrying the request, waiting for another attempt that is still running, refusing the request as not run, and
 * reporting a failure.
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

    /** Every backend server that could take the request asked for none until [retryAfterMs] have passed. */
    data class BackingOff(val retryAfterMs: Long) : AttemptEnd

    /** Requests compete for the room of the backend servers; there should be some for it in [retryAfterMs]. */
    data class Pressed(val retryAfterMs: Long) : AttemptEnd
}

/**
 * State of a request when one of its attempts ends or all are silent.
 *
 * @property idempotent whether the request may run more than once
 * @property resumable whether a response that has started may be continued by another backend server
 * @property otherAttempts attempts that are running, without the one that ended if one has
 * @property maxAttempts largest number of backend servers to which it is sent
 * @property sentAttempts attempts that were sent at least in part, without those to a backend server asked before
 * @property unsentAttempts attempts of which nothing was sent
 * @property supersededServers backend servers whose silent attempt was cancelled because another one took over; the
 * rest of a stream may be asked of them again
 * @property mayHaveRun whether an attempt before this one may have run
 * @property responseStarted whether a part of a response was forwarded
 * @property remainingMs time until the caller's deadline or the route's timeout
 */
data class RequestProgress(
    val idempotent: Boolean,
    val resumable: Boolean,
    val otherAttempts: OtherAttempts,
    val maxAttempts: Int,
    val sentAttempts: Int,
    val unsentAttempts: Int,
    val supersededServers: Int,
    val mayHaveRun: Boolean,
    val responseStarted: Boolean,
    val remainingMs: Long,
)

/** The next step of a request. */
sealed interface NextStep {
    /**
     * Retries on another backend server, or on one whose attempt was superseded if [toSuperseded];
     * [countsAgainstBudget] when this uses the retry budget.
     */
    data class SendAgain(val countsAgainstBudget: Boolean, val toSuperseded: Boolean = false) : NextStep

    /** Waits for the response of another attempt, which is still running. */
    data object AwaitRunning : NextStep

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
fun nextStep(progress: RequestProgress, end: AttemptEnd, budgetLeft: Boolean): NextStep =
    retry(progress, end, budgetLeft) ?: askSuperseded(progress, end, budgetLeft) ?: withoutRetry(progress, end)

/**
 * Whether another attempt may be sent while all running ones are silent. They go on, since a sound backend server can
 * be silent for a while: the first attempt that delivers something new takes over.
 */
fun maySendBesideSilent(progress: RequestProgress, budgetLeft: Boolean): Boolean = progress.idempotent &&
    progress.otherAttempts == OtherAttempts.SILENT &&
    (progress.resumable || !progress.responseStarted) &&
    progress.sentAttempts < progress.maxAttempts &&
    progress.unsentAttempts < MAX_UNSENT_ATTEMPTS &&
    budgetLeft &&
    isTimeLeft(progress)

private fun retry(progress: RequestProgress, end: AttemptEnd, budgetLeft: Boolean): NextStep.SendAgain? {
    val othersRespond = progress.otherAttempts == OtherAttempts.RESPONDING
    if (othersRespond || !isTimeLeft(progress) || !isRetryable(progress, end, budgetLeft)) return null
    return NextStep.SendAgain(countsAgainstBudget = end != AttemptEnd.NotSent || progress.sentAttempts > 0)
}

private fun isRetryable(progress: RequestProgress, end: AttemptEnd, budgetLeft: Boolean): Boolean {
    val serverLeft = progress.sentAttempts < progress.maxAttempts
    val mayAskAnother = budgetLeft && serverLeft
    val mayRunAgain = progress.idempotent && (progress.resumable || !progress.responseStarted)
    return when (end) {
        AttemptEnd.NotSent -> serverLeft && progress.unsentAttempts < MAX_UNSENT_ATTEMPTS
        is AttemptEnd.Rejected -> mayAskAnother
        AttemptEnd.NoAnswer, AttemptEnd.BrokenOff -> mayAskAnother && mayRunAgain
        AttemptEnd.Failed -> mayAskAnother && mayRunAgain && !progress.responseStarted
        is AttemptEnd.PartBlocked, AttemptEnd.NoCandidate, is AttemptEnd.BackingOff, is AttemptEnd.Pressed -> false
    }
}

/** Asks a superseded backend server for the rest of a stream when no other one is left. */
private fun askSuperseded(progress: RequestProgress, end: AttemptEnd, budgetLeft: Boolean): NextStep.SendAgain? {
    val mayContinue = progress.idempotent && progress.resumable && progress.responseStarted
    val allowed = end !is AttemptEnd.PartBlocked && progress.supersededServers > 0 &&
        progress.otherAttempts == OtherAttempts.NONE && mayContinue && budgetLeft && isTimeLeft(progress)
    return NextStep.SendAgain(countsAgainstBudget = true, toSuperseded = true).takeIf { allowed }
}

private fun withoutRetry(progress: RequestProgress, end: AttemptEnd): NextStep = when {
    progress.otherAttempts != OtherAttempts.NONE -> NextStep.AwaitRunning
    progress.responseStarted -> NextStep.BreakOff
    end == AttemptEnd.Failed -> NextStep.PassFailure
    progress.mayHaveRun || end == AttemptEnd.NoAnswer || end == AttemptEnd.BrokenOff -> NextStep.FailUnknown
    else -> NextStep.RefuseNotRun
}

private fun isTimeLeft(progress: RequestProgress) = progress.remainingMs >= MIN_ATTEMPT_MS

/** With less time left, the response of another attempt would arrive too late and only occupy a slot. */
private const val MIN_ATTEMPT_MS = 30L

/** Each attempt that fails before anything is sent costs up to a connection timeout. */
private const val MAX_UNSENT_ATTEMPTS = 4
