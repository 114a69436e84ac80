package org.bramleyspur.traffic.stream

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import org.bramleyspur.core.model.Incarnation
import org.bramleyspur.core.model.Refusal

/** What is known of an attempt. */
enum class AttemptPhase {
    /** Ordered, not yet written. */
    STARTING,

    /** Written; nothing is known of its begin. */
    SENT,

    /** The agent was asked whether it began. */
    LOOKUP,

    /** Begun and still running. */
    BEGUN,

    /** Proved not to have begun, and it never will. */
    NOT_BEGUN,

    /** Written, and its connection was lost; nothing is known of its begin. */
    LOST,

    /** Begun, and ended without a whole answer or given up. */
    RAN,

    /** The backend server reported a failed run. */
    FAILED,

    /** Gave the whole answer. */
    COMPLETE,
}

/**
 * One attempt of a request.
 *
 * @property incarnation agent that it was sent to, null until it is sent
 * @property lookups lookups of it that got no answer
 */
data class Attempt(
    val number: Int,
    val phase: AttemptPhase,
    val incarnation: Incarnation? = null,
    val version: String = "",
    val lookups: Int = 0,
)

/** Progress of a request. */
enum class RequestStage {
    /** Attempts are made. */
    RUNNING,

    /** The deadline has passed; the agents are asked for a short time whether the attempts began. */
    CLOSING,

    /** An ending was ordered. */
    ENDED,
}

/**
 * State of one request at its entry.
 *
 * @property attempts in the order of their numbers; the last one is current
 * @property delivered tokens delivered so far; the next position is its size
 * @property version version that generated the first token, null before; later attempts must have the same one
 * @property opened whether a part of the answer has reached the caller
 * @property headForwarded whether the answer is a head and body that are passed on
 * @property retryAfterMs last retry time that an agent or the routing named
 */
data class RequestState(
    val facts: RequestFacts,
    val attempts: PersistentList<Attempt>,
    val delivered: PersistentList<String> = persistentListOf(),
    val version: String? = null,
    val opened: Boolean = false,
    val headForwarded: Boolean = false,
    val stage: RequestStage = RequestStage.RUNNING,
    val callerGone: Boolean = false,
    val bodyHeld: Boolean = true,
    val excluded: PersistentSet<Incarnation> = persistentSetOf(),
    val retryAfterMs: Long = 0,
) {
    /** The last attempt. */
    val current: Attempt get() = attempts[attempts.size - 1]

    /** Whether an order to start [attempt] still stands; the entry checks it before it writes. */
    fun mayWrite(attempt: Int): Boolean =
        stage == RequestStage.RUNNING && current.number == attempt && current.phase == AttemptPhase.STARTING

    /** The refusal that is true of the attempts as they are known now. */
    fun refusalKind(): Refusal = when {
        attempts.all { it.phase == AttemptPhase.NOT_BEGUN || it.phase == AttemptPhase.STARTING } -> Refusal.NOT_RUN
        attempts.any { it.phase.isUnknown } -> Refusal.MAY_HAVE_RUN
        else -> Refusal.RAN_AND_FAILED
    }

    internal fun find(number: Int): Attempt? {
        val index = number - attempts[0].number
        return if (index in attempts.indices) attempts[index] else null
    }

    internal fun with(attempt: Attempt): RequestState =
        copy(attempts = attempts.set(attempt.number - attempts[0].number, attempt))

    internal fun with(attempt: Attempt, phase: AttemptPhase): RequestState =
        if (attempt.phase == phase) this else with(attempt.copy(phase = phase))
}

/** A new state and what the entry must do, in order. */
data class Transition(val state: RequestState, val effects: List<RequestEffect>)

private val AttemptPhase.isUnknown: Boolean
    get() = this != AttemptPhase.NOT_BEGUN && this != AttemptPhase.STARTING && this != AttemptPhase.FAILED

/** Whether an answer that decides if the attempt began can still arrive. */
internal val AttemptPhase.isPending: Boolean get() = this == AttemptPhase.SENT || this == AttemptPhase.LOOKUP

/** Whether the agent may be running the attempt for this entry. */
internal val AttemptPhase.isActive: Boolean get() = this == AttemptPhase.SENT || this == AttemptPhase.BEGUN
