/*
 * Transitions of the assignment machine. Each event first updates the state; then the rules run in a fixed order and
 * bring phase, service and engine in line with it:
 *  1. phase: accept an assignment, or record why it must end;
 *  2. service of a first member: open, drain or stop;
 *  3. end: leave the assignment once no request or other member depends on this instance;
 *  4. orders to the engine, one at a time;
 *  5. confirmation requests to the other members.
 */
package org.bramleyspur.traffic.agent

/** Applies [event] at [nowMs] (monotonic ms). */
fun AgentState.handle(event: AgentEvent, nowMs: Long): AgentStep {
    val oldReport = report(nowMs)
    val step = applyEvent(event, nowMs)
        .then { changePhase(nowMs) }
        .then { changeService(nowMs) }
        .then { beginEnd(nowMs) }
        .then { orderEngine(nowMs) }
        .then { requestConfirmations(nowMs) }
    val changed = step.state.report(nowMs).copy(running = oldReport.running) != oldReport
    return if (changed) step.copy(effects = step.effects + AgentEffect.ReportStatus) else step
}

private fun AgentStep.then(rule: AgentState.() -> AgentStep): AgentStep {
    val next = state.rule()
    return AgentStep(next.state, effects + next.effects)
}

internal fun AgentState.step(vararg effects: AgentEffect): AgentStep = AgentStep(this, effects.toList())

private fun AgentState.applyEvent(event: AgentEvent, nowMs: Long): AgentStep = when (event) {
    is AgentEvent.HeartbeatResponseReceived -> applyHeartbeat(event).step()
    is AgentEvent.EngineProbed -> applyProbe(event, nowMs).step()
    is AgentEvent.OrderEnded -> applyOrderOutcome(event, nowMs).step()
    is AgentEvent.ConfirmationRequested -> respondToConfirmation(event, nowMs)
    is AgentEvent.ConfirmationReceived -> applyConfirmation(event).step()
    is AgentEvent.RunningReported -> copy(running = event.running, appliedRefusal = event.appliedRefusal).step()
    AgentEvent.PlannedStop -> copy(leaving = true).step()
    AgentEvent.Tick -> step()
}

private fun AgentState.applyHeartbeat(event: AgentEvent.HeartbeatResponseReceived): AgentState {
    if (event.term < term) return this
    val untilMs = event.sentAtMs + AgentTiming.shortened(minOf(event.leaseMs, timing.leaseMs))
    return copy(
        term = event.term,
        leaseUntilMs = if (event.leaseMs > 0) maxOf(leaseUntilMs, untilMs) else leaseUntilMs,
        desired = event.desired.maxByOrNull { it.fencingNumber },
    )
}

private fun AgentState.applyProbe(event: AgentEvent.EngineProbed, nowMs: Long): AgentState {
    val state = event.state ?: return copy(engine = engine.copy(missedProbes = engine.missedProbes + 1))
    if (event.sentAtMs < engine.lastProbeSentAtMs) return this
    val restarted = engine.lastState != null && engine.lastState.bootId != state.bootId
    val probed = copy(engine = engine.copy(lastState = state, lastProbeSentAtMs = event.sentAtMs, missedProbes = 0))
    return if (restarted) probed.onEngineRestart(nowMs) else probed
}

private fun AgentState.applyOrderOutcome(event: AgentEvent.OrderEnded, nowMs: Long): AgentState {
    val order = engine.pendingOrder?.takeIf { it.id == event.orderId } ?: return this
    val outcome = event.outcome
    // A probe sent in the same millisecond may have got its response before the order took effect.
    val settleMs = if (outcome is OrderOutcome.Accepted) 1 else timing.orderTimeoutMs
    val ended = copy(engine = engine.copy(pendingOrder = null, orderSettledAtMs = nowMs + settleMs))
    val isRelease = order.role == EngineRole.NONE
    return when (outcome) {
        is OrderOutcome.Accepted -> when {
            outcome.bootId != engine.lastState?.bootId -> ended.onEngineRestart(nowMs)
            isRelease -> ended.completeEnd()
            else -> ended
        }

        is OrderOutcome.Refused -> if (isRelease) ended else ended.onOrderRefused(outcome.reason)

        is OrderOutcome.Unknown -> ended
    }
}
