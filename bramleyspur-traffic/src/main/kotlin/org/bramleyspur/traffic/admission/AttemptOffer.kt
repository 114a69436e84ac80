package org.bramleyspur.traffic.admission

import org.bramleyspur.core.model.RequestId

/** Identity of an attempt at an agent: its request and its number within the request. */
data class AttemptKey(val request: RequestId, val attempt: Int)

/**
 * An attempt that is offered to an agent for a slot.
 *
 * @property weight share of contended capacity relative to other accounts, at least 1
 * @property priority higher is served first within the account
 * @property patienceMs longest predicted wait in milliseconds with which the attempt is queued
 * @property deadlineMs monotonic time in milliseconds after which it must not begin
 * @property cost expected work, in tokens for a generation and 1 for a call; at least 1
 * @property idempotent whether a second run is harmless; the end of a non-idempotent attempt is remembered for longer
 */
data class AttemptOffer(
    val key: AttemptKey,
    val account: String,
    val weight: Int,
    val priority: Int,
    val patienceMs: Long,
    val deadlineMs: Long,
    val cost: Long = 1,
    val idempotent: Boolean = true,
)

/** An action that the agent must perform after an event at its queue. */
sealed interface AdmissionEffect {
    /** The attempt concerned. */
    val key: AttemptKey

    /** Order the backend server to run the attempt, which counts as begun from now on. */
    data class Begin(override val key: AttemptKey) : AdmissionEffect

    /** Report to the entry that the attempt has not begun and never will. */
    data class Refuse(override val key: AttemptKey, val reason: RefusalReason, val retryAfterMs: Long) :
        AdmissionEffect

    /** Cancel the attempt at the backend server, and report its end. */
    data class CancelRun(override val key: AttemptKey) : AdmissionEffect
}

/** Result of a lookup, and the effects of its cancel. */
data class LookupResult(val state: LookupState, val effects: List<AdmissionEffect>)

/** Load of an agent, as it reports it to entries. */
data class QueueLoad(val running: Int, val queued: Int, val slots: Int, val predictedWaitMs: Long)
