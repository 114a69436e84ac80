package org.bramleyspur.traffic.stream

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import org.bramleyspur.core.model.Incarnation
import org.bramleyspur.core.model.Refusal

/** Phase of an attempt, as its entry knows it. */
enum class AttemptPhase {
    /** Requested from the entry, not yet written. */
    STARTING,

    /** Written; it is unknown whether it has begun. */
    SENT,

    /** Being looked up at its agent, to learn whether it has begun. */
    LOOKUP,

    /** Begun and still running. */
    BEGUN,

    /** Proved not to have begun, and it never will. */
    NOT_BEGUN,

    /** Written, and its connection was lost; it is unknown whether it has begun. */
    LOST,

    /** Begun, and ended without a complete response or abandoned. */
    RAN,

    /** The backend server reported a failed run. */
    FAILED,

    /** Delivered the complete response. */
    COMPLETE,
}

/**
 * One attempt of a request.
 *
 * @property incarnation agent incarnation that it was sent to, null until it is sent
 * @property version version that the agent serves, empty until it is sent
 * @property lookups number of lookups without a response
 */
data class Attempt(
    val number: Int,
    val phase: AttemptPhase,
    val incarnation: Incarnation? = null,
    val version: String = "",
    val lookups: Int = 0,
)

/** Stage of a request. */
enum class RequestStage {
    /** Attempts are started and their responses delivered. */
    RUNNING,

    /** The deadline has passed; for a short time the entry waits for evidence of whether the attempts began. */
    CLOSING,

    /** The ending was returned as an effect. */
    ENDED,
}

/**
 * State of one request at its entry.
 *
 * @property attempts in the order of their numbers; the last one is current
 * @property delivered tokens delivered so far; its size is the next position
 * @property deliveredSize size of [delivered] in characters, with [TOKEN_OVERHEAD] for each token
 * @property version version that generated the first token, null before; later attempts must have the same one
 * @property responseStarted whether a part of the response has reached the caller
 * @property headForwarded whether the response is a head and body that are forwarded
 * @property bodyRetained whether the body of the request is still available, so that another attempt can be sent
 * @property excluded agent incarnations on which an attempt has failed
 * @property retryAfterMs last retry delay that an agent or the routing gave
 */
data class RequestState(
    val facts: RequestFacts,
    val attempts: PersistentList<Attempt>,
    val delivered: PersistentList<String> = persistentListOf(),
    val deliveredSize: Long = 0,
    val version: String? = null,
    val responseStarted: Boolean = false,
    val headForwarded: Boolean = false,
    val stage: RequestStage = RequestStage.RUNNING,
    val callerDisconnected: Boolean = false,
    val bodyRetained: Boolean = true,
    val excluded: PersistentSet<Incarnation> = persistentSetOf(),
    val retryAfterMs: Long = 0,
) {
    /** The last attempt. */
    val current: Attempt get() = attempts[attempts.size - 1]

    /** Whether [attempt] is still to be started; the entry checks this before it writes. */
    fun mayStart(attempt: Int): Boolean =
        stage == RequestStage.RUNNING && current.number == attempt && current.phase == AttemptPhase.STARTING

    /** Kind of a refusal that agrees with the known phases of all attempts. */
    fun refusalKind(): Refusal = when {
        attempts.all { it.phase == AttemptPhase.NOT_BEGUN || it.phase == AttemptPhase.STARTING } -> Refusal.NOT_RUN
        attempts.any { it.phase.mayHaveRun } -> Refusal.MAY_HAVE_RUN
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

/** The new state, and the effects to execute in order. */
data class Transition(val state: RequestState, val effects: List<RequestEffect>)

/** Whether the attempt has run or may have run, without a failure that the backend server reported. */
private val AttemptPhase.mayHaveRun: Boolean
    get() = this != AttemptPhase.NOT_BEGUN && this != AttemptPhase.STARTING && this != AttemptPhase.FAILED

/** Whether evidence of whether the attempt began can still arrive. */
internal val AttemptPhase.isPending: Boolean get() = this == AttemptPhase.SENT || this == AttemptPhase.LOOKUP

/** Whether the agent may be running the attempt. */
internal val AttemptPhase.isActive: Boolean get() = this == AttemptPhase.SENT || this == AttemptPhase.BEGUN
