/*
 * Updates of the planner state from the results of orders and probes.
 */
package org.bramleyspur.control.group

import kotlinx.collections.immutable.persistentSetOf
import org.bramleyspur.core.backend.GroupId

/**
 * The state after a probe of the engine [incarnation], sent at [sentMs], had [result]. [announced] is the group that
 * its last announcement names.
 */
fun onProbeResult(
    state: PlannerState,
    incarnation: EngineIncarnation,
    result: ProbeResult,
    announced: GroupId?,
    sentMs: Long,
    nowMs: Long,
): PlannerState {
    val record = state.probes[incarnation] ?: ProbeRecord(sentMs)
    val updated = when (result) {
        is ProbeResult.Answered -> record.responded(nowMs)
        ProbeResult.Refused, ProbeResult.Unanswered -> record.failed(sentMs, result == ProbeResult.Refused, nowMs)
    }
    val report = (result as? ProbeResult.Answered)?.report
        ?: return state.copy(probes = state.probes.put(incarnation, updated))
    val responded = state.copy(
        probes = state.probes.put(incarnation, updated),
        paces = state.paces.put(incarnation, paceAfter(state.paces[incarnation], report.pace, nowMs)),
    )
    // A report can be some hundred milliseconds old, so it may not include orders sent shortly before the probe.
    val orderedSince = (state.lastOrderMs[incarnation] ?: 0L) >= sentMs - REPORT_LAG_MS
    if (orderedSince) return responded
    val knownOrders = KnownOrders(report.startedOrders, inFlight = 0, groupMismatch = report.group != announced)
    return responded.copy(knownOrders = state.knownOrders.put(incarnation, knownOrders))
}

/** An engine that had left probes unanswered and was heard again, [silentMs] after the first of them. */
data class EngineRecovery(val incarnation: EngineIncarnation, val silentMs: Long, val failures: Int)

/** The engines that responded or announced themselves again between [before] and [after]. */
fun recoveredEngines(before: PlannerState, after: PlannerState, nowMs: Long): List<EngineRecovery> =
    before.probes.mapNotNull { (incarnation, record) ->
        val sinceMs = record.unansweredSinceMs
        val recovered = sinceMs != null && after.probes[incarnation]?.unansweredSinceMs == null
        if (recovered) EngineRecovery(incarnation, nowMs - sinceMs!!, record.failures) else null
    }

private const val REPORT_LAG_MS = 300L

/** The state after the order [command] to the engine [incarnation] had [result], received at [nowMs]. */
fun onOrderResult(
    state: PlannerState,
    incarnation: EngineIncarnation,
    command: EngineCommand,
    result: OrderResult,
    nowMs: Long,
): PlannerState {
    val next = state.knownOrders[incarnation]?.after(command, result)
    val orders = if (next == null) state.knownOrders.remove(incarnation) else state.knownOrders.put(incarnation, next)
    val absent =
        if (result == OrderResult.ABSENT) state.absent.put(incarnation.id, incarnation.startedAtMs) else state.absent
    val updated = state.copy(knownOrders = orders, absent = absent)
    val done = result == OrderResult.DONE || result == OrderResult.ACCEPTED
    return when (command) {
        is EngineCommand.Join -> if (result == OrderResult.UNANSWERED) updated else updated.withoutJoin(incarnation)
        is EngineCommand.Leave -> if (done) updated.withMemberLeft(command.group, incarnation) else updated
        is EngineCommand.Stage -> if (done) updated else updated.withRefusal(SentOrder(incarnation, command), nowMs)
        is EngineCommand.Open, is EngineCommand.Close -> updated
    }
}

/** The engine's order count after [command] had [result]; null if it is no longer known and has to be probed. */
private fun KnownOrders.after(command: EngineCommand, result: OrderResult): KnownOrders? = when (result) {
    OrderResult.ACCEPTED -> copy(startedOrders = startedOrders + 1, inFlight = inFlight - 1)
    // A leave completes immediately; the other commands are DONE only if the state held before, so none was started.
    OrderResult.DONE -> copy(
        startedOrders = startedOrders + if (command is EngineCommand.Leave) 1 else 0,
        inFlight = inFlight - 1,
    )
    // The order may have been started, or may still be.
    OrderResult.ABSENT, OrderResult.REFUSED, OrderResult.UNANSWERED -> null
}

private fun PlannerState.withoutJoin(incarnation: EngineIncarnation) =
    copy(pendingJoins = pendingJoins.remove(incarnation))

private fun PlannerState.withMemberLeft(group: GroupId, incarnation: EngineIncarnation) =
    copy(leftMembers = leftMembers.put(group, (leftMembers[group] ?: persistentSetOf()).add(incarnation)))

private fun PlannerState.withRefusal(sent: SentOrder, nowMs: Long) = copy(
    sentMs = sentMs.remove(sent),
    stageRefusedMs = stageRefusedMs.put(sent.incarnation, nowMs),
    reassigned = reassigned.remove(sent.incarnation),
)

/** A load takes 12 to 16 s, and longer while several run concurrently. */
internal const val STAGE_REPEAT_MS = 40_000L
