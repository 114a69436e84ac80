/*
 * Transitions of the assignment machine. Each event first changes what the agent knows; then the rules run in a fixed
 * order until they have brought phase, engine and service in line with that knowledge:
 *  1. phase: accept an assignment, or note why it must end;
 *  2. service of a first member: open, drain or stop;
 *  3. end: leave the assignment once nothing depends on this instance any more;
 *  4. orders to the engine, one at a time;
 *  5. confirmation questions to the other members.
 */
package org.bramleyspur.traffic.agent

/** Applies [event] at [nowMs] (monotonic ms). */
fun AgentState.handle(event: AgentEvent, nowMs: Long): AgentStep {
    val before = report(nowMs)
    val step = learn(event, nowMs)
        .then { changePhase(nowMs) }
        .then { changeService(nowMs) }
        .then { beginEnd(nowMs) }
        .then { orderEngine(nowMs) }
        .then { askMembers(nowMs) }
    val changed = step.state.report(nowMs).copy(running = before.running) != before
    return if (changed) step.copy(effects = step.effects + AgentEffect.ReportStatus) else step
}

private fun AgentStep.then(rule: AgentState.() -> AgentStep): AgentStep {
    val next = state.rule()
    return AgentStep(next.state, effects + next.effects)
}

internal fun AgentState.step(vararg effects: AgentEffect): AgentStep = AgentStep(this, effects.toList())

private fun AgentState.learn(event: AgentEvent, nowMs: Long): AgentStep = when (event) {
    is AgentEvent.HeartbeatAnswered -> learnWanted(event).step()
    is AgentEvent.EngineProbed -> learnProbe(event, nowMs).step()
    is AgentEvent.OrderEnded -> learnOrder(event, nowMs).step()
    is AgentEvent.ConfirmAsked -> answerConfirm(event, nowMs)
    is AgentEvent.ConfirmAnswered -> learnConfirm(event).step()
    is AgentEvent.RunningReported -> copy(running = event.running, refusalApplied = event.refusal).step()
    AgentEvent.PlannedStop -> copy(leaving = true).step()
    AgentEvent.Tick -> step()
}

private fun AgentState.learnWanted(event: AgentEvent.HeartbeatAnswered): AgentState {
    if (event.term < term) return this
    val untilMs = event.sentAtMs + AgentTiming.shortened(minOf(event.leaseMs, timing.leaseMs))
    return copy(
        term = event.term,
        leaseUntilMs = if (event.leaseMs > 0) maxOf(leaseUntilMs, untilMs) else leaseUntilMs,
        wanted = event.wanted.maxByOrNull { it.fencingNumber },
    )
}

private fun AgentState.learnProbe(event: AgentEvent.EngineProbed, nowMs: Long): AgentState {
    val answer = event.state ?: return copy(engine = engine.copy(misses = engine.misses + 1))
    if (event.sentAtMs < engine.lastSentAtMs) return this
    val restarted = engine.last != null && engine.last.bootId != answer.bootId
    val known = copy(engine = engine.copy(last = answer, lastSentAtMs = event.sentAtMs, misses = 0))
    return if (restarted) known.noteRestart(nowMs) else known
}

private fun AgentState.learnOrder(event: AgentEvent.OrderEnded, nowMs: Long): AgentState {
    val order = engine.pending?.takeIf { it.id == event.orderId } ?: return this
    val outcome = event.outcome
    // A probe sent in the same millisecond may have been answered before the order took effect.
    val quietMs = if (outcome is OrderOutcome.Accepted) 1 else timing.orderTimeoutMs
    val ended = copy(engine = engine.copy(pending = null, quietUntilMs = nowMs + quietMs))
    val outOfRole = order.role == EngineRole.NONE
    return when (outcome) {
        is OrderOutcome.Accepted -> when {
            outcome.bootId != engine.last?.bootId -> ended.noteRestart(nowMs)
            outOfRole -> ended.completeEnd()
            else -> ended
        }

        is OrderOutcome.Refused -> if (outOfRole) ended else ended.noteFailure(outcome.reason)

        is OrderOutcome.Unknown -> ended
    }
}
