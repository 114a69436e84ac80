/*
 * What the agent knows of its engine: the answer of the last probe and the order that is in flight. Orders are sent one
 * at a time. After an order whose outcome is unknown, nothing is sent and nothing counts as ended until the order
 * timeout has passed, since the order can still take effect until then.
 */
package org.bramleyspur.traffic.agent

import org.bramleyspur.core.model.FencingNumber
import org.bramleyspur.core.model.ReplicaId

/** Part of an engine in a replica. */
enum class EngineRole { NONE, FIRST, MEMBER }

/** Loading state that an engine reports. */
enum class EngineLoad { IDLE, LOADING, READY, FAILED }

/** Answer of an engine to a probe of its state. */
data class EngineState(
    val bootId: String,
    val role: EngineRole,
    val load: EngineLoad,
    val replica: ReplicaId? = null,
    val fencingNumber: FencingNumber = FencingNumber(0),
)

/** Outcome of an order, as far as the agent can know it. */
sealed interface OrderOutcome {
    /** The engine accepted the order in its run [bootId]. */
    data class Accepted(val bootId: String) : OrderOutcome

    /** The engine answered that it does not carry out the order. */
    data class Refused(val reason: String) : OrderOutcome

    /** The connection was closed without an answer; the order may still take effect within the order timeout. */
    data object Unknown : OrderOutcome
}

/** The order in flight. */
internal data class PendingOrder(val id: Long, val role: EngineRole, val sentAtMs: Long, val aborted: Boolean)

/** The engine as the agent sees it; [quietUntilMs] and earlier sent probes tell nothing about the last order. */
internal data class EngineView(
    val last: EngineState? = null,
    val lastSentAtMs: Long = Long.MIN_VALUE,
    val misses: Int = 0,
    val pending: PendingOrder? = null,
    val quietUntilMs: Long = Long.MIN_VALUE,
) {
    /** Whether the engine answers probes; false also after this process was frozen. */
    fun reachable(nowMs: Long, timing: AgentTiming): Boolean = last != null &&
        misses < AgentTiming.PROBE_MISSES &&
        nowMs <= lastSentAtMs + timing.probeValidMs

    /** The engine's state after the last order has ended, or null when no probe tells it yet. */
    fun settled(nowMs: Long, timing: AgentTiming): EngineState? =
        last.takeIf { pending == null && reachable(nowMs, timing) && lastSentAtMs >= quietUntilMs }
}
