/*
 * The attempts of one request: those that run, what the ended ones tell, and whether another one is due. Every attempt
 * begins through [RequestAttempts.withBegun], whatever led to it, so that a wake-up that comes late or more than once
 * begins none.
 */
package org.bramleyspur.traffic.forward

/**
 * What decides on the attempts of a request besides the attempts themselves.
 *
 * @property idempotent whether the request may run more than once
 * @property resumable whether a response that has started may be continued by another backend server
 * @property maxAttempts largest number of backend servers to which it is sent
 * @property supersededServers backend servers that may be asked again for the rest of a stream
 * @property responseStarted whether a part of a response was forwarded
 * @property remainingMs time until the caller's deadline or the route's timeout
 * @property budgetLeft whether the budget allows a retry
 */
data class AttemptConditions(
    val idempotent: Boolean,
    val resumable: Boolean,
    val maxAttempts: Int,
    val supersededServers: Int,
    val responseStarted: Boolean,
    val remainingMs: Long,
    val budgetLeft: Boolean,
)

/**
 * The attempts of a request at one moment. At first, the first attempt is due.
 *
 * @property sends attempts that were sent at least in part
 * @property mayHaveRun whether an ended attempt may have run
 */
class RequestAttempts<A> private constructor(
    private val runningAttempts: RunningAttempts<A>,
    private val due: Due?,
    val sends: Int,
    private val sentAttempts: Int,
    private val unsentAttempts: Int,
    val mayHaveRun: Boolean,
) {
    constructor() : this(RunningAttempts(), Due.First, 0, 0, 0, false)

    /** Why an attempt is due. */
    private sealed interface Due {
        data object First : Due

        /** An attempt ended with [end], or could not begin. */
        data class After(val end: AttemptEnd) : Due
    }

    /** The attempts that run, in the order in which they were sent. */
    val running: List<A> get() = runningAttempts.attempts

    /** Whether no attempt was made, not even one of which nothing was sent. */
    val isUntouched: Boolean get() = sends == 0 && unsentAttempts == 0

    /** Whether the request was sent to a backend server that had not been asked before. */
    val wasSent: Boolean get() = sentAttempts > 0

    /** Whether an attempt runs or may have run. */
    val mayHaveBegun: Boolean get() = mayHaveRun || running.isNotEmpty()

    /** The attempts besides [attempt]. */
    fun besides(attempt: A): OtherAttempts = runningAttempts.besides(attempt)

    /** What follows now; null if no attempt is due. */
    fun nextStep(conditions: AttemptConditions): NextStep? = when (due) {
        null -> null
        Due.First -> NextStep.SendAgain(countsAgainstBudget = false)
        is Due.After -> nextStep(progress(conditions), due.end, conditions.budgetLeft)
    }

    /** Whether another attempt may begin while all running ones are silent. */
    fun maySendBesideSilent(conditions: AttemptConditions): Boolean =
        maySendBesideSilent(progress(conditions), conditions.budgetLeft)

    /**
     * The attempts after [attempt] has begun; [repeated] if its backend server had been asked before.
     *
     * @throws IllegalStateException if none is due, or if the request must not run again now
     */
    fun withBegun(attempt: A, repeated: Boolean, conditions: AttemptConditions): RequestAttempts<A> {
        check(due != null || maySendBesideSilent(conditions)) { "no attempt is due" }
        check(mayRun(conditions)) { "the request must not run again" }
        check(repeated || sentAttempts < conditions.maxAttempts) { "the request was sent to $sentAttempts servers" }
        return copy(
            runningAttempts = runningAttempts.withSent(attempt),
            due = null,
            sends = sends + 1,
            sentAttempts = if (repeated) sentAttempts else sentAttempts + 1,
        )
    }

    private fun mayRun(conditions: AttemptConditions): Boolean = when (runningAttempts.besides(null)) {
        OtherAttempts.NONE -> !mayHaveRun || conditions.mayRunAgain
        OtherAttempts.SILENT -> conditions.mayRunAgain
        OtherAttempts.RESPONDING -> false
    }

    private val AttemptConditions.mayRunAgain: Boolean get() = idempotent && (resumable || !responseStarted)

    /** The attempts after [attempt] ended with [end]; [repeated] if its backend server had been asked before. */
    fun withEnded(attempt: A, repeated: Boolean, end: AttemptEnd): RequestAttempts<A> {
        val unsent = end == AttemptEnd.NotSent
        return copy(
            runningAttempts = runningAttempts.without(attempt),
            due = Due.After(end),
            sends = if (unsent) sends - 1 else sends,
            sentAttempts = if (unsent && !repeated) sentAttempts - 1 else sentAttempts,
            unsentAttempts = if (unsent) unsentAttempts + 1 else unsentAttempts,
            mayHaveRun = mayHaveRun || end == AttemptEnd.NoAnswer || end == AttemptEnd.BrokenOff ||
                end == AttemptEnd.Failed,
        )
    }

    /** The attempts after [attempt] brought the whole response. */
    fun withCompleted(attempt: A): RequestAttempts<A> =
        copy(runningAttempts = runningAttempts.without(attempt), due = null)

    /** The attempts after the due one could not begin, for the reason [end]. */
    fun withoutServer(end: AttemptEnd): RequestAttempts<A> = copy(due = Due.After(end))

    /** The attempts while the running ones are awaited: none is due. */
    fun awaitingRunning(): RequestAttempts<A> = copy(due = null)

    /** The attempts after [attempt] has sent nothing for longer than its limit. */
    fun withSilent(attempt: A): RequestAttempts<A> = copy(runningAttempts = runningAttempts.withSilent(attempt))

    /** The attempts after data of [attempt] arrived. */
    fun withData(attempt: A): RequestAttempts<A> = copy(runningAttempts = runningAttempts.withData(attempt))

    /** The attempts after [attempt] delivered something new for the caller; the others are to be cancelled. */
    fun withTakeOver(attempt: A): RequestAttempts<A> =
        copy(runningAttempts = runningAttempts.withTakeOver(attempt), due = null)

    /** The attempts after the end of the request: none runs, and none is due. */
    fun ended(): RequestAttempts<A> = copy(runningAttempts = RunningAttempts(), due = null)

    private fun progress(conditions: AttemptConditions) = RequestProgress(
        idempotent = conditions.idempotent,
        resumable = conditions.resumable,
        otherAttempts = runningAttempts.besides(null),
        maxAttempts = conditions.maxAttempts,
        sentAttempts = sentAttempts,
        unsentAttempts = unsentAttempts,
        supersededServers = conditions.supersededServers,
        mayHaveRun = mayHaveRun,
        responseStarted = conditions.responseStarted,
        remainingMs = conditions.remainingMs,
    )

    private fun copy(
        runningAttempts: RunningAttempts<A> = this.runningAttempts,
        due: Due? = this.due,
        sends: Int = this.sends,
        sentAttempts: Int = this.sentAttempts,
        unsentAttempts: Int = this.unsentAttempts,
        mayHaveRun: Boolean = this.mayHaveRun,
    ) = RequestAttempts(runningAttempts, due, sends, sentAttempts, unsentAttempts, mayHaveRun)
}
