/*
 * Results of calls as their callers saw them. Each attempt of each call is recorded and checked after the fault case.
 */
package org.bramleyspur.testbed.matrix

/** Outcome of one attempt, as its caller saw it. */
internal enum class CallOutcome {
    /** The complete response was received. */
    COMPLETE,

    /** Refused with the outcome `not_run`. */
    NOT_RUN,

    /** Refused with the outcome `may_have_run`. */
    MAY_HAVE_RUN,

    /** Refused with the outcome `ran_and_failed`. */
    RAN_AND_FAILED,

    /** The entry refused the connection, so that nothing was sent. */
    NOT_SENT,

    /** The connection was closed or the call timed out before the response was complete. */
    BROKEN,

    /** The stream ended in an explicit error event. */
    ERROR_EVENT,

    /** The response ended normally, but its content is wrong. */
    WRONG,
}

/**
 * One attempt of a call; times are those of [System.nanoTime].
 *
 * @property requestId request id from the entry's response; null if there was none
 * @property idempotencyKey idempotency key; null for streams
 * @property firstTokenNanos time of the first token; 0 if there was none
 * @property longestTokenGapNanos longest time between two tokens, or between the start and the first one
 * @property wrongText whether the delivered text is not a prefix of the expected one
 */
internal data class CallAttempt(
    val entry: Int,
    val stream: Boolean,
    val startNanos: Long,
    val endNanos: Long,
    val outcome: CallOutcome,
    val detail: String,
    val requestId: String? = null,
    val idempotencyKey: String? = null,
    val firstTokenNanos: Long = 0,
    val longestTokenGapNanos: Long = 0,
    val wrongText: Boolean = false,
) {
    /** Returns a short description for the report. */
    fun describe(): String = "${if (stream) "stream" else "call"} at entry $entry: $outcome ($detail)"
}

/** Thread-safe list of all attempts of a deployment. */
internal class CallAttemptLog {
    private val attempts = ArrayList<CallAttempt>()

    @Synchronized
    fun add(attempt: CallAttempt) {
        attempts += attempt
    }

    @Synchronized
    fun all(): List<CallAttempt> = ArrayList(attempts)

    /** Returns the attempts that began at [nanos] or later. */
    fun since(nanos: Long): List<CallAttempt> = all().filter { it.startNanos >= nanos }
}
