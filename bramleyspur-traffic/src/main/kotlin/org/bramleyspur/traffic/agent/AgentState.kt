/*
 * State of the machine that carries out assignments on one instance, and its reports. An instance is in at most one
 * replica at a time: the machine accepts an assignment only in [Phase.Idle], which it enters only after the engine has
 * accepted an order out of its role.
 */
package org.bramleyspur.traffic.agent

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.bramleyspur.core.model.Assignment
import org.bramleyspur.core.model.AssignmentState
import org.bramleyspur.core.model.FencingNumber
import org.bramleyspur.core.model.InstanceName
import org.bramleyspur.core.model.ReplicaId

/** Whether a first member accepts requests. */
internal enum class Service { CLOSED, OPEN, DRAINING }

/** A confirmation that is valid until [untilMs], in response to the request sent at [sentAtMs]. */
internal data class Grant(val sentAtMs: Long, val untilMs: Long)

/**
 * Confirmations of the other members, as recorded by the first member.
 *
 * @property rounds sending times in milliseconds of the rounds of requests, by sequence number
 * @property grants last valid confirmation of each member
 * @property lastRoundAtMs time of the last round of requests, null before the first
 */
internal data class Confirmations(
    val rounds: PersistentMap<Long, Long> = persistentMapOf(),
    val grants: PersistentMap<InstanceName, Grant> = persistentMapOf(),
    val lastRoundAtMs: Long? = null,
)

internal sealed interface Phase {
    /** Waits until no order of the previous incarnation can take effect, then orders the engine out of its role. */
    data class Starting(val untilMs: Long) : Phase

    /** The engine has no role. */
    data object Idle : Phase

    /** The engine is in its role or is being ordered into it. */
    data class Active(
        val assignment: Assignment,
        val state: AssignmentState = AssignmentState.LOADING,
        val failure: String = "",
        val service: Service = Service.CLOSED,
        val confirmations: Confirmations = Confirmations(),
        val endCause: String? = null,
        val endingSinceMs: Long? = null,
        val memberLeaving: Boolean = false,
    ) : Phase

    /** The assignment ends: the engine is being ordered out of its role. */
    data class Ending(val assignment: Assignment, val reason: String) : Phase
}

/** State of an assignment on this instance, as reported to the control leader. */
data class AssignmentStatus(
    val replica: ReplicaId,
    val fencingNumber: FencingNumber,
    val state: AssignmentState,
    val reason: String = "",
)

/** Part of a heartbeat about the engine and its assignment. */
data class AgentReport(
    val backendHealthy: Boolean,
    val bootId: String,
    val assignments: List<AssignmentStatus>,
    val running: Int,
    val leaving: Boolean,
)

/**
 * Times until which requests may run without another permit. They are checked for each request, so that a process does
 * not serve after it was frozen.
 *
 * @property newWorkUntilMs requests may begin before this time, null when none may
 * @property runningUntilMs running requests may deliver before this time
 */
data class ServingPermit(val assignment: Assignment, val newWorkUntilMs: Long?, val runningUntilMs: Long)

/**
 * State of the assignment machine of one agent incarnation.
 *
 * @property term highest term of a control leader whose response was applied
 * @property desired assignment that the control leader wants this instance to hold
 * @property released last assignment that has ended
 * @property grantedUntilMs end of the last confirmation that this instance has given
 * @property lastRefusal number of the last [AgentEffect.RefuseNewWork]
 * @property appliedRefusal number of the last [AgentEffect.RefuseNewWork] that is known to be in effect
 * @property stopped whether [AgentEffect.StopComplete] was returned
 * @property sequence last number given to an order or a round of confirmation requests
 */
@ConsistentCopyVisibility
data class AgentState internal constructor(
    internal val self: InstanceName,
    internal val timing: AgentTiming,
    internal val phase: Phase,
    internal val engine: EngineView = EngineView(),
    internal val term: Long = 0,
    internal val leaseUntilMs: Long = Long.MIN_VALUE,
    internal val desired: Assignment? = null,
    internal val released: AssignmentStatus? = null,
    internal val grantedUntilMs: Long = Long.MIN_VALUE,
    internal val running: Int = 0,
    internal val appliedRefusal: Long = 0,
    internal val lastRefusal: Long = 0,
    internal val leaving: Boolean = false,
    internal val stopped: Boolean = false,
    internal val sequence: Long = 0,
) {
    /** Content of the next heartbeat. An agent that does not know its engine's role reports it as unhealthy. */
    fun report(nowMs: Long): AgentReport = AgentReport(
        backendHealthy = engine.reachable(nowMs, timing) && phase !is Phase.Starting,
        bootId = engine.lastState?.bootId.orEmpty(),
        assignments = statuses(),
        running = running,
        leaving = leaving,
    )

    /** Permit to run requests, or null when this instance is not serving as a first member. */
    fun permit(): ServingPermit? {
        val active = phase as? Phase.Active ?: return null
        if (active.service == Service.CLOSED) return null
        val runningUntilMs = completeUntilMs(active)
        val newWorkUntilMs = minOf(runningUntilMs, leaseUntilMs).takeIf { active.service == Service.OPEN }
        return ServingPermit(active.assignment, newWorkUntilMs, runningUntilMs)
    }

    /** Time in milliseconds until which every member, this one included, is known to be in its role. */
    internal fun completeUntilMs(active: Phase.Active): Long {
        val probeValidUntilMs = engine.lastProbeSentAtMs + timing.probeValidMs
        return active.assignment.members
            .filter { it.instance != self }
            .minOfOrNull { active.confirmations.grants[it.instance]?.untilMs ?: Long.MIN_VALUE }
            ?.let { minOf(it, probeValidUntilMs) } ?: probeValidUntilMs
    }

    private fun statuses(): List<AssignmentStatus> = when (phase) {
        is Phase.Active -> listOf(phase.status())

        is Phase.Ending -> listOf(phase.assignment.status(AssignmentState.FAILED, phase.reason))

        else -> listOfNotNull(released)
    }

    companion object {
        /** State of a new incarnation on instance [self] that starts at [nowMs]. */
        fun initial(self: InstanceName, nowMs: Long, timing: AgentTiming = AgentTiming()): AgentState =
            AgentState(self, timing, Phase.Starting(nowMs + timing.orderTimeoutMs))
    }
}

internal fun Assignment.status(state: AssignmentState, reason: String): AssignmentStatus =
    AssignmentStatus(replica, fencingNumber, state, reason)

private fun Phase.Active.status(): AssignmentStatus {
    val reportedState = if (service == Service.OPEN) AssignmentState.SERVING else state
    return assignment.status(reportedState, failure.ifEmpty { endCause.orEmpty() })
}
