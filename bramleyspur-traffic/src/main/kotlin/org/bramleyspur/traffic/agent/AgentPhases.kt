/*
 * Rules that move an agent from one assignment to the next. An assignment ends in this order: a first member finishes
 * its running requests, other members wait until the first member no longer counts on them, then the engine is ordered
 * out of its role. Only after the engine's answer is the end reported and the next assignment accepted.
 */
package org.bramleyspur.traffic.agent

import org.bramleyspur.core.model.Assignment
import org.bramleyspur.core.model.AssignmentState
import org.bramleyspur.core.model.InstanceName

internal fun Assignment.roleOf(instance: InstanceName): EngineRole =
    if (first.instance == instance) EngineRole.FIRST else EngineRole.MEMBER

internal fun AgentState.changePhase(nowMs: Long): AgentStep = when (phase) {
    is Phase.Starting -> completeStop()
    is Phase.Idle -> if (leaving) completeStop() else accept()
    is Phase.Active -> copy(phase = noteEndCause(phase).noteLoad(this, nowMs)).withEndTime(nowMs).step()
    is Phase.Ending -> step()
}

private fun AgentState.completeStop(): AgentStep =
    if (leaving && !stopped) copy(stopped = true).step(AgentEffect.StopComplete) else step()

private fun AgentState.accept(): AgentStep {
    val next = wanted?.takeIf { wish -> wish.members.any { it.instance == self } } ?: return step()
    val ended = released?.fencingNumber
    if (ended != null && next.fencingNumber <= ended) return step()
    return copy(phase = Phase.Active(next)).step()
}

private fun AgentState.noteEndCause(active: Phase.Active): Phase.Active = when {
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

private fun Phase.Active.noteLoad(state: AgentState, nowMs: Long): Phase.Active {
    if (this.state == AssignmentState.FAILED) return this
    val seen = state.engine.settled(nowMs, state.timing)
    return when {
        seen == null -> this
        !seen.isIn(assignment, state.self) -> copy(state = AssignmentState.LOADING)
        seen.load == EngineLoad.READY -> copy(state = AssignmentState.READY)
        seen.load == EngineLoad.FAILED -> copy(state = AssignmentState.FAILED, failure = "the engine failed to load")
        else -> copy(state = AssignmentState.LOADING)
    }
}

internal fun EngineState.isIn(assignment: Assignment, self: InstanceName): Boolean =
    role == assignment.roleOf(self) && replica == assignment.replica && fencingNumber == assignment.fencingNumber

internal fun AgentState.noteRestart(nowMs: Long): AgentState {
    val active = phase as? Phase.Active ?: return this
    val cause = "the engine restarted"
    return copy(
        phase = active.copy(state = AssignmentState.FAILED, failure = cause, endCause = cause, endSinceMs = nowMs),
    )
}

internal fun AgentState.noteFailure(reason: String): AgentState {
    val active = phase as? Phase.Active ?: return this
    return copy(phase = active.copy(state = AssignmentState.FAILED, failure = reason))
}

/** Leaves the assignment when no request runs under it and no first member counts on this instance. */
internal fun AgentState.beginEnd(nowMs: Long): AgentStep {
    val active = phase as? Phase.Active ?: return step()
    val cause = active.endCause ?: return step()
    if (active.service != Service.CLOSED || nowMs <= grantedUntilMs) return step()
    return copy(phase = Phase.Ending(active.assignment, cause)).step()
}

/** The engine has accepted the order out of its role. */
internal fun AgentState.completeEnd(): AgentState = when (phase) {
    is Phase.Starting -> copy(phase = Phase.Idle)

    is Phase.Ending -> copy(
        phase = Phase.Idle,
        released = phase.assignment.status(AssignmentState.RELEASED, phase.reason),
    )

    else -> this
}
