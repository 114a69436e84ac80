/*
 * Rules that move an agent from one assignment to the next. An assignment ends in this order: a first member finishes
 * its running requests, other members wait until their last confirmation has expired, then the engine is ordered out of
 * its role. The end is reported and the next assignment accepted only after the engine's answer.
 */
package org.bramleyspur.traffic.agent

import org.bramleyspur.core.model.Assignment
import org.bramleyspur.core.model.AssignmentState
import org.bramleyspur.core.model.InstanceName

internal fun Assignment.roleOf(instance: InstanceName): EngineRole =
    if (firstMember.instance == instance) EngineRole.FIRST else EngineRole.MEMBER

internal fun AgentState.changePhase(nowMs: Long): AgentStep = when (phase) {
    is Phase.Starting -> completeStop()
    is Phase.Idle -> if (leaving) completeStop() else acceptAssignment()
    is Phase.Active -> copy(phase = withEndCause(phase).withLoadState(this, nowMs)).withEndTime(nowMs).step()
    is Phase.Ending -> step()
}

private fun AgentState.completeStop(): AgentStep =
    if (leaving && !stopped) copy(stopped = true).step(AgentEffect.StopComplete) else step()

private fun AgentState.acceptAssignment(): AgentStep {
    val next = wanted?.takeIf { assignment -> assignment.members.any { it.instance == self } } ?: return step()
    val endedNumber = released?.fencingNumber
    if (endedNumber != null && next.fencingNumber <= endedNumber) return step()
    return copy(phase = Phase.Active(next)).step()
}

private fun AgentState.withEndCause(active: Phase.Active): Phase.Active = when {
    active.endCause != null -> active
    wanted?.fencingNumber != active.assignment.fencingNumber -> active.copy(endCause = "the assignment was withdrawn")
    leaving -> active.copy(endCause = "this instance is leaving")
    active.memberLeaving -> active.copy(endCause = "a member is leaving")
    else -> active
}

private fun AgentState.withEndTime(nowMs: Long): AgentState {
    val active = phase as? Phase.Active ?: return this
    if (active.endCause == null || active.endSinceMs != null) return this
    return copy(phase = active.copy(endSinceMs = nowMs))
}

private fun Phase.Active.withLoadState(state: AgentState, nowMs: Long): Phase.Active {
    if (this.state == AssignmentState.FAILED) return this
    val current = state.engine.stateAfterLastOrder(nowMs, state.timing)
    return when {
        current == null -> this
        !current.isIn(assignment, state.self) -> copy(state = AssignmentState.LOADING)
        current.load == EngineLoad.READY -> copy(state = AssignmentState.READY)
        current.load == EngineLoad.FAILED -> copy(state = AssignmentState.FAILED, failure = "the engine failed to load")
        else -> copy(state = AssignmentState.LOADING)
    }
}

internal fun EngineState.isIn(assignment: Assignment, self: InstanceName): Boolean =
    role == assignment.roleOf(self) && replica == assignment.replica && fencingNumber == assignment.fencingNumber

internal fun AgentState.onEngineRestart(nowMs: Long): AgentState {
    val active = phase as? Phase.Active ?: return this
    val cause = "the engine restarted"
    return copy(
        phase = active.copy(state = AssignmentState.FAILED, failure = cause, endCause = cause, endSinceMs = nowMs),
    )
}

internal fun AgentState.onOrderRefused(reason: String): AgentState {
    val active = phase as? Phase.Active ?: return this
    return copy(phase = active.copy(state = AssignmentState.FAILED, failure = reason))
}

/** Leaves the assignment when no request runs under it and no confirmation by this instance is valid. */
internal fun AgentState.beginEnd(nowMs: Long): AgentStep {
    val active = phase as? Phase.Active ?: return step()
    val cause = active.endCause ?: return step()
    if (active.service != Service.CLOSED || nowMs <= grantedUntilMs) return step()
    return copy(phase = Phase.Ending(active.assignment, cause)).step()
}

/** Completes the end of an assignment after the engine has accepted the order out of its role. */
internal fun AgentState.completeEnd(): AgentState = when (phase) {
    is Phase.Starting -> copy(phase = Phase.Idle)

    is Phase.Ending -> copy(
        phase = Phase.Idle,
        released = phase.assignment.status(AssignmentState.RELEASED, phase.reason),
    )

    else -> this
}
