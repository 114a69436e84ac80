/*
 * Rules by which a first member serves. It runs requests only while its own engine and every other member are known to
 * be in the same assignment. It accepts new requests only while, in addition, its configuration lease is valid and no
 * member is leaving. The end of the lease does not break running requests: members stay in the replica as long as the
 * first member asks them, so the replica is still complete.
 */
package org.bramleyspur.traffic.agent

import org.bramleyspur.core.model.AssignmentState

internal fun AgentState.engineReady(active: Phase.Active, nowMs: Long): Boolean {
    if (active.state != AssignmentState.READY) return false
    val engineState = engine.stateAfterLastOrder(nowMs, timing) ?: return false
    return engineState.isIn(active.assignment, self) && engineState.load == EngineLoad.READY
}

internal fun AgentState.changeService(nowMs: Long): AgentStep {
    val active = phase as? Phase.Active ?: return step()
    if (active.assignment.firstMember.instance != self) return step()
    val isComplete = engineReady(active, nowMs) && nowMs < completeUntilMs(active)
    val reason = refusalReason(active, nowMs)
    return when {
        !isComplete -> if (active.service == Service.CLOSED) step() else close(active, StopReason.BROKEN)
        reason == null -> if (active.service == Service.OPEN) step() else open(active)
        else -> drainOrClose(active, reason)
    }
}

private fun AgentState.drainOrClose(active: Phase.Active, reason: String): AgentStep {
    val drained = running == 0 && refusalApplied == refusal
    return when (active.service) {
        Service.CLOSED -> step()
        Service.OPEN -> drain(active, reason)
        Service.DRAINING -> if (drained) close(active, StopReason.DRAINED) else step()
    }
}

private fun AgentState.refusalReason(active: Phase.Active, nowMs: Long): String? = when {
    active.endCause != null -> active.endCause
    nowMs >= leaseUntilMs -> "the configuration lease has ended"
    else -> null
}

private fun AgentState.open(active: Phase.Active): AgentStep =
    copy(phase = active.copy(service = Service.OPEN)).step(AgentEffect.StartServing(active.assignment))

private fun AgentState.drain(active: Phase.Active, reason: String): AgentStep {
    val number = refusal + 1
    return copy(phase = active.copy(service = Service.DRAINING), refusal = number)
        .step(AgentEffect.RefuseNewWork(number, reason))
}

private fun AgentState.close(active: Phase.Active, reason: StopReason): AgentStep =
    copy(phase = active.copy(service = Service.CLOSED)).step(AgentEffect.StopServing(reason))
