/*
 * Rules that bring the engine into the role that the phase requires. The agent sends one order at a time and judges the
 * result by probes that were sent after the order had ended, so that it is safe with engines that ignore fencing
 * numbers.
 */
package org.bramleyspur.traffic.agent

import org.bramleyspur.core.model.Assignment
import org.bramleyspur.core.model.AssignmentState
import org.bramleyspur.core.model.FencingNumber

internal fun AgentState.orderEngine(nowMs: Long): AgentStep {
    val pending = engine.pending
    if (pending != null) return abortLate(pending, nowMs)
    if (nowMs < engine.quietUntilMs || !engine.reachable(nowMs, timing)) return step()
    return when (phase) {
        is Phase.Starting -> if (nowMs >= phase.untilMs) order(null, nowMs) else step()
        is Phase.Idle -> if (settledRole(nowMs) in listOf(null, EngineRole.NONE)) step() else order(null, nowMs)
        is Phase.Active -> if (needsOrder(phase, nowMs)) order(phase.assignment, nowMs) else step()
        is Phase.Ending -> order(null, nowMs)
    }
}

private fun AgentState.settledRole(nowMs: Long): EngineRole? = engine.settled(nowMs, timing)?.role

private fun AgentState.needsOrder(active: Phase.Active, nowMs: Long): Boolean {
    if (active.endCause != null || active.state == AssignmentState.FAILED) return false
    val seen = engine.settled(nowMs, timing) ?: return false
    return !seen.isIn(active.assignment, self)
}

private fun AgentState.abortLate(pending: PendingOrder, nowMs: Long): AgentStep {
    if (pending.aborted || nowMs < pending.sentAtMs + timing.orderTimeoutMs) return step()
    val aborted = pending.copy(aborted = true)
    return copy(engine = engine.copy(pending = aborted)).step(AgentEffect.AbortOrder(pending.id))
}

private fun AgentState.order(assignment: Assignment?, nowMs: Long): AgentStep {
    val id = sequence + 1
    val role = assignment?.roleOf(self) ?: EngineRole.NONE
    val number = assignment?.fencingNumber ?: highestNumber()
    val pending = PendingOrder(id, role, nowMs, aborted = false)
    return copy(sequence = id, engine = engine.copy(pending = pending))
        .step(AgentEffect.OrderEngine(id, role, number, assignment))
}

/** Number of an order out of the role: the highest one known, so that an engine that checks it does not refuse. */
private fun AgentState.highestNumber(): FencingNumber = listOfNotNull(
    (phase as? Phase.Ending)?.assignment?.fencingNumber,
    released?.fencingNumber,
    engine.last?.fencingNumber,
).max()
