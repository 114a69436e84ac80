/*
 * The attempts of a request that run at the same time. A further one is sent beside those that are silent; the first
 * one that delivers something new for the caller takes over, and the others are cancelled, so that the caller never
 * receives parts of two runs that began at the same place.
 */
package org.bramleyspur.traffic.forward

/** Attempts of a request that are running besides a given one. */
enum class OtherAttempts {
    NONE,

    /** All of them have sent nothing for longer than their limit. */
    SILENT,

    /** At least one may still respond within its limit. */
    RESPONDING,
}

/**
 * The running attempts, in the order in which they were sent.
 *
 * @property silent those that have sent nothing for longer than their limit
 */
class RunningAttempts<A> private constructor(val attempts: List<A>, private val silent: Set<A>) {
    constructor() : this(emptyList(), emptySet())

    /** The attempts after [attempt] was sent. */
    fun withSent(attempt: A): RunningAttempts<A> = RunningAttempts(attempts + attempt, silent)

    /** The attempts after [attempt] has ended. */
    fun without(attempt: A): RunningAttempts<A> = RunningAttempts(attempts - attempt, silent - attempt)

    /** The attempts after [attempt] has sent nothing for longer than its limit. */
    fun withSilent(attempt: A): RunningAttempts<A> =
        if (attempt in attempts) RunningAttempts(attempts, silent + attempt) else this

    /** The attempts after data of [attempt] arrived. */
    fun withData(attempt: A): RunningAttempts<A> =
        if (attempt in silent) RunningAttempts(attempts, silent - attempt) else this

    /** The attempts after [attempt] delivered something new for the caller; the others are to be cancelled. */
    fun withTakeOver(attempt: A): RunningAttempts<A> = RunningAttempts(attempts.filter { it == attempt }, emptySet())

    /** The attempts besides [attempt], all of them if it is null. */
    fun besides(attempt: A?): OtherAttempts {
        val others = attempts.filter { it != attempt }
        return when {
            others.isEmpty() -> OtherAttempts.NONE
            silent.containsAll(others) -> OtherAttempts.SILENT
            else -> OtherAttempts.RESPONDING
        }
    }
}
