/*
 * What follows when an attempt to have a request run by a backend server ends without a complete answer. The rules are
 * the only place that decides between sending again, a truthful refusal and a failure.
 */
package org.bramleyspur.traffic.forward

/** How an attempt ended. */
sealed interface AttemptEnd {
    /** Nothing reached the backend server. */
    data object NotSent : AttemptEnd

    /** The backend server proved that it did not and will not run the request. */
    data class Rejected(val retryAfterMs: Long?) : AttemptEnd

    /** The request was sent and nothing of its answer came; it may have run. */
    data object NoAnswer : AttemptEnd

    /** The backend server ran the request and reported a failure of its own. */
    data object Failed : AttemptEnd

    /** The answer broke off after a part of it had been passed on. */
    data object BrokenOff : AttemptEnd

    /** No backend server can take the request now. */
    data object NoCandidate : AttemptEnd
}

/**
 * What is known about a request when one of its attempts ends.
 *
 * @property repeatable whether it may run more than once
 * @property resumable whether an answer that has started may be continued by another backend server
 * @property sends attempts of which something was sent
 * @property unsent attempts of which nothing was sent
 * @property mayHaveRun whether an attempt before this one may have run
 * @property answerStarted whether a part of an answer was passed on
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
    /** Sends to another backend server; [paid] says whether that draws on the budget of second sends. */
    data class SendAgain(val paid: Boolean) : NextStep

    /** Answers that the request was not run and never will be. */
    data object RefuseNotRun : NextStep

    /** Answers that the outcome is unknown. */
    data object FailUnknown : NextStep

    /** Passes on the failure that the backend server reported. */
    data object PassFailure : NextStep

    /** Ends the caller's connection, since a part of the answer was passed on. */
    data object BreakOff : NextStep
}

/** Decides the next step after [end]; [budgetLeft] says whether the budget allows a second send. */
fun nextStep(facts: RequestFacts, end: AttemptEnd, budgetLeft: Boolean): NextStep {
    val time = facts.remainingMs >= MIN_ATTEMPT_MS
    val again = time && budgetLeft && facts.sends < facts.maxAttempts
    return when (end) {
        AttemptEnd.NotSent ->
            if (time && facts.unsent < MAX_UNSENT) NextStep.SendAgain(paid = facts.sends > 0) else giveUp(facts)

        is AttemptEnd.Rejected -> if (again) NextStep.SendAgain(paid = true) else giveUp(facts)

        AttemptEnd.NoAnswer, AttemptEnd.BrokenOff -> afterRun(facts, again, NextStep.FailUnknown)

        AttemptEnd.Failed -> afterRun(facts, again && !facts.answerStarted, NextStep.PassFailure)

        AttemptEnd.NoCandidate -> giveUp(facts)
    }
}

/** The next step when the backend server ran the request, or may have. */
private fun afterRun(facts: RequestFacts, again: Boolean, failure: NextStep): NextStep = when {
    again && facts.repeatable && (facts.resumable || !facts.answerStarted) -> NextStep.SendAgain(paid = true)
    facts.answerStarted -> NextStep.BreakOff
    else -> failure
}

private fun giveUp(facts: RequestFacts): NextStep = when {
    facts.answerStarted -> NextStep.BreakOff
    facts.mayHaveRun -> NextStep.FailUnknown
    else -> NextStep.RefuseNotRun
}

/** With less time left an attempt only takes a slot for an answer that comes too late. */
private const val MIN_ATTEMPT_MS = 30L

/** Connections that failed before anything was sent; each costs up to a connection timeout. */
private const val MAX_UNSENT = 4
