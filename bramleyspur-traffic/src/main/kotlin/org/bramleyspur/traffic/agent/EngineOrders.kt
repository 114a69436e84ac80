/*
 * Rules that bring the engine into the role that the phase requires. The agent sends one order at a time and judges its
 * result only by probes sent after the order has ended, so that it is safe with engines that ignore fencing numbers.
 */
package org.bramleyspur.traffic.agent

import org.bramleyspur.core.model.Assignment
import org.bramleyspur.core.model.AssignmentState
import org.bramleyspur.core.model.FencingNumber

internal fun AgentState.orderEngine(nowMs: Long): AgentStep {
    val pendingOrder = engine.pendingOrder
    if (pendingOrder != null) return abortTimedOut(pendingOrder, nowMs)
    if (nowMs < engine.orderSettledAtMs || !engine.reachable(nowMs, timing)) return step()
    return when (phase) {
        is Phase.Starting -> if (nowMs >= phase.untilMs) sendOrder(null, nowMs) else step()
        is Phase.Idle -> if (settledRole(nowMs) in listOf(null, EngineRole.NONE)) step() else sendOrder(null, nowMs)
        is Phase.Active -> if (needsOrder(phase, nowMs)) sendOrder(phase.assignment, nowMs) else step()
        is Phase.Ending -> sendOrder(null, nowMs)
    }
}

private fun AgentState.settledRole(nowMs: Long): EngineRole? = engine.stateAfterLastOrder(nowMs, timing)?.role

private fun AgentState.needsOrder(active: Phase.Active, nowMs: Long): Boolean {
    if (active.endCause != null || active.state == AssignmentState.FAILED) return false
    val engineState = engine.stateAfterLastOrder(nowMs, timing) ?: return false
    return !engineState.isIn(active.assignment, self)
}

private fun AgentState.abortTimedOut(pendingOrder: PendingOrder, nowMs: Long): AgentStep {
    if (pendingOrder.aborted || nowMs < pendingOrder.sentAtMs + timing.orderTimeoutMs) return step()
    val aborted = pendingOrder.copy(aborted = true)
    return copy(engine = engine.copy(pendingOrder = aborted)).step(AgentEffect.AbortOrder(pendingOrder.id))
}

private fun AgentState.sendOrder(assignment: Assignment?, nowMs: Long): AgentStep {
    val id = sequence + 1
    val role = assignment?.roleOf(self) ?: EngineRole.NONE
    val number = assignment?.fencingNumber ?: highestFencingNumber()
    val pendingOrder = PendingOrder(id, role, nowMs, aborted = false)
    return copy(sequence = id, engine = engine.copy(pendingOrder = pendingOrder))
        .step(AgentEffect.OrderEngine(id, role, number, assignment))
}

/** Number for an order out of the role: the highest known one, so that an engine that checks it does not refuse. */
private fun AgentState.highestFencingNumber(): FencingNumber = listOfNotNull(
    (phase as? Phase.Ending)?.assignment?.fencingNumber,
    released?.fencingNumber,
    engine.lastState?.fencingNumber,
).max()
