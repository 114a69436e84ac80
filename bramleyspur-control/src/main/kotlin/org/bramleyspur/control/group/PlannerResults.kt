/*
 * What the leader learns from the results of its orders and questions to engines.
 */
package org.bramleyspur.control.group

import kotlinx.collections.immutable.persistentSetOf
import org.bramleyspur.core.backend.GroupId

/**
 * The state after the engine [life] answered a probe that was sent at [sentMs] with [report], or did not in time
 * (null). [announced] is the group that its last announcement names.
 */
fun onProbeResult(
    state: PlannerState,
    life: EngineLife,
    report: EngineReport?,
    announced: GroupId?,
    sentMs: Long,
    nowMs: Long,
): PlannerState {
    val record = (state.probes[life] ?: ProbeRecord(sentMs)).copy(waiting = false)
    if (report == null) {
        // Answers may wait unread in a process that was paused, so a result that comes late counts for nothing.
        val failures = record.failures + if (nowMs - sentMs <= PAUSED_MS) 1 else 0
        return state.copy(probes = state.probes.put(life, record.copy(failures = failures)))
    }
    val answered = state.copy(probes = state.probes.put(life, record.copy(failures = 0, answeredMs = nowMs)))
    // A report can be some hundred milliseconds old, so it does not count what was ordered shortly before it.
    val orderedSince = (state.orderedMs[life] ?: 0L) >= sentMs - REPORT_LAG_MS
    if (orderedSince) return answered
    val verified = Verified(report.orders, inFlight = 0, mismatch = report.group != announced)
    return answered.copy(verified = state.verified.put(life, verified))
}

private const val REPORT_LAG_MS = 300L

/** Longer than any time limit of a question, with some delay of its timer. */
private const val PAUSED_MS = 700L

/** The state after the engine [life] took the order [command] with [result], known at [nowMs]. */
fun onOrderResult(
    state: PlannerState,
    life: EngineLife,
    command: EngineCommand,
    result: OrderResult,
    nowMs: Long,
): PlannerState {
    val next = state.verified[life]?.after(command, result)
    val verified = if (next == null) state.verified.remove(life) else state.verified.put(life, next)
    val absent = if (result == OrderResult.ABSENT) state.absent.put(life.id, life.bornMs) else state.absent
    val noted = state.copy(verified = verified, absent = absent)
    val done = result == OrderResult.DONE || result == OrderResult.ACCEPTED
    return when (command) {
        is EngineCommand.Join -> if (result == OrderResult.UNANSWERED) noted else noted.withoutOpenJoin(life)
        is EngineCommand.Leave -> if (done) noted.withLeft(command.group, life) else noted
        is EngineCommand.Stage -> if (done) noted else noted.withRefusedStage(SentOrder(life, command), nowMs)
        is EngineCommand.Open, is EngineCommand.Close -> noted
    }
}

/** What is known of an engine's orders after [command] had [result]; null when it has to be asked. */
private fun Verified.after(command: EngineCommand, result: OrderResult): Verified? = when (result) {
    OrderResult.ACCEPTED -> copy(orders = orders + 1, inFlight = inFlight - 1)
    // Leaving is done at once; for the others, the state held before and nothing has begun.
    OrderResult.DONE -> copy(orders = orders + if (command is EngineCommand.Leave) 1 else 0, inFlight = inFlight - 1)
    // Whether the order has begun, or will begin later, is not known.
    OrderResult.ABSENT, OrderResult.REFUSED, OrderResult.UNANSWERED -> null
}

private fun PlannerState.withoutOpenJoin(life: EngineLife) = copy(openJoins = openJoins.remove(life))

private fun PlannerState.withLeft(group: GroupId, life: EngineLife) =
    copy(left = left.put(group, (left[group] ?: persistentSetOf()).add(life)))

private fun PlannerState.withRefusedStage(sent: SentOrder, nowMs: Long) =
    copy(sentMs = sentMs.remove(sent), stageRefusedMs = stageRefusedMs.put(sent.life, nowMs))

/** A load takes 12 to 16 s, and longer while several run. */
internal const val STAGE_REPEAT_MS = 40_000L
