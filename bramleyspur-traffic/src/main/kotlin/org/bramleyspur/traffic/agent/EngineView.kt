/*
 * State of the engine as known to its agent: the response to the last probe and the pending order. Orders are sent one
 * at a time. After an order with an unknown outcome, no order is sent and none counts as complete until the order
 * timeout has passed, since the order can still take effect until then.
 */
package org.bramleyspur.traffic.agent

import org.bramleyspur.core.model.FencingNumber
import org.bramleyspur.core.model.ReplicaId

/** Role of an engine in a replica. */
enum class EngineRole { NONE, FIRST, MEMBER }

/** Loading state that an engine reports. */
enum class EngineLoad { IDLE, LOADING, READY, FAILED }

/** Response of an engine to a probe. */
data class EngineState(
    val bootId: String,
    val role: EngineRole,
    val load: EngineLoad,
    val replica: ReplicaId? = null,
    val fencingNumber: FencingNumber = FencingNumber(0),
)

/** Outcome of an order, as far as the agent can know it. */
sealed interface OrderOutcome {
    /** The engine incarnation [bootId] accepted the order. */
    data class Accepted(val bootId: String) : OrderOutcome

    /** The engine refused the order. */
    data class Refused(val reason: String) : OrderOutcome

    /** The connection was closed without a response; the order may still take effect within the order timeout. */
    data object Unknown : OrderOutcome
}

/** The order in flight. */
internal data class PendingOrder(val id: Long, val role: EngineRole, val sentAtMs: Long, val aborted: Boolean)

/**
 * State of the engine as known to its agent.
 *
 * @property lastState last response to a probe
 * @property lastProbeSentAtMs time at which that probe was sent
 * @property missedProbes probes in a row without a response
 * @property orderSettledAtMs time from which the last order has taken effect or never will; only probes sent
 *   from then on show its result
 */
internal data class EngineView(
    val lastState: EngineState? = null,
    val lastProbeSentAtMs: Long = Long.MIN_VALUE,
    val missedProbes: Int = 0,
    val pendingOrder: PendingOrder? = null,
    val orderSettledAtMs: Long = Long.MIN_VALUE,
) {
    /** Whether the engine responds to probes; also false after this process was frozen. */
    fun reachable(nowMs: Long, timing: AgentTiming): Boolean = lastState != null &&
        missedProbes < AgentTiming.PROBE_MISSES &&
        nowMs <= lastProbeSentAtMs + timing.probeValidMs

    /** The engine's state after the last order has ended, or null when no probe has shown it yet. */
    fun stateAfterLastOrder(nowMs: Long, timing: AgentTiming): EngineState? =
        lastState.takeIf { pendingOrder == null && reachable(nowMs, timing) && lastProbeSentAtMs >= orderSettledAtMs }
}
