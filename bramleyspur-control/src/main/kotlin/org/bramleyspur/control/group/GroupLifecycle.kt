/*
 * Lifecycle of a group: when it opens, when a member counts as lost, and when its members are free again.
 */
package org.bramleyspur.control.group

import kotlinx.collections.immutable.toImmutableList
import org.bramleyspur.core.backend.BackendState
import org.bramleyspur.core.backend.GroupState
import org.bramleyspur.core.document.ModelSpec

internal fun Planning.advanceGroups() {
    for (group in state.groups.values.toList()) {
        when (group.phase) {
            GroupPhase.WARMING -> advanceWarming(group)
            GroupPhase.FORMING -> advanceForming(group)
            GroupPhase.SERVING -> advanceServing(group)
            GroupPhase.CLOSING -> advanceClosing(group)
            GroupPhase.RELEASING -> advanceReleasing(group)
        }
    }
}

private fun Planning.advanceWarming(group: PlannedGroup) {
    val engine = group.members.single()
    val reason = unreachableReason(engine)
        ?: overdueReason(group, WARMING_LIMIT_MS)
        ?: PhaseReason(PhaseCause.WARMED).takeIf { hasGroupState(engine, group.id, GroupState.READY) }
    if (reason != null) release(group, reason)
}

/** Why an engine without requests is given up; another one takes its place without harm, so its silence suffices. */
private fun Planning.unreachableReason(incarnation: EngineIncarnation): PhaseReason? =
    lossOf(incarnation) ?: PhaseReason(PhaseCause.MEMBER_SILENT, incarnation.id).takeIf { isUnreachable(incarnation) }

private fun Planning.overdueReason(group: PlannedGroup, limitMs: Long): PhaseReason? {
    val durationMs = input.nowMs - group.sinceMs
    return if (durationMs > limitMs) PhaseReason(PhaseCause.OVERDUE, durationMs = durationMs) else null
}

private fun Planning.advanceForming(group: PlannedGroup) {
    val head = group.members.first()
    val modelSpec = modelSpec(group.service, group.model)
    val reason = if (modelSpec == null) {
        PhaseReason(PhaseCause.MODEL_REMOVED)
    } else {
        group.members.firstNotNullOfOrNull { formingLossOf(it, group) }
            ?: overdueReason(group, formingLimitMs(modelSpec))
    }
    val reassigned = group.members.firstOrNull { hasPendingJoinElsewhere(it, group) }
    when {
        // From here on the head may have requests.
        hasGroupState(head, group.id, GroupState.OPEN) ->
            enterPhase(group, GroupPhase.SERVING, PhaseReason(PhaseCause.OPENED))
        reason != null -> release(group, reason)
        reassigned != null -> release(group, PhaseReason(PhaseCause.MEMBER_LEFT, reassigned.id))
        group.members.all { hasGroupState(it, group.id, GroupState.READY) } -> order(head, EngineCommand.Open(group.id))
        else ->
            group.members
                .filter { announcementOf(it)?.groupMembership?.id != group.id }
                .forEach { repeatJoin(it, group) }
    }
}

private fun Planning.formingLossOf(incarnation: EngineIncarnation, group: PlannedGroup): PhaseReason? =
    unreachableReason(incarnation) ?: when {
        announcementOf(incarnation)?.state != BackendState.READY ->
            PhaseReason(PhaseCause.MEMBER_LEAVING, incarnation.id)
        isInOtherGroup(incarnation, group) -> PhaseReason(PhaseCause.MEMBER_LEFT, incarnation.id)
        else -> null
    }

/** Whether a delayed order of an earlier leader has moved the engine to another group whose head may be serving. */
private fun Planning.isInOtherGroup(incarnation: EngineIncarnation, group: PlannedGroup): Boolean {
    val announcement = announcementOf(incarnation) ?: return true
    val membership = announcement.groupMembership ?: return false
    return membership.id != group.id && !headHasLeft(announcement) && !hasLeft(incarnation, membership.id)
}

/**
 * Whether a join of the engine to another group is still pending. Executed late, it would take the engine out of this
 * group, so the engines form a new group, whose joins invalidate the pending one.
 */
private fun Planning.hasPendingJoinElsewhere(incarnation: EngineIncarnation, group: PlannedGroup): Boolean {
    val join = state.pendingJoins[incarnation] ?: return false
    val startedOrders = state.knownOrders[incarnation]?.startedOrders ?: join.expectedOrders
    return join.group != group.id && startedOrders <= join.expectedOrders
}

/** Repeats a join that got no response, once an announcement of its success would have arrived. */
private fun Planning.repeatJoin(incarnation: EngineIncarnation, group: PlannedGroup) {
    if (state.lastOrderMs[incarnation]?.let { input.nowMs - it < JOIN_REPEAT_MS } == true) return
    if (!verifyOrders(incarnation)) return
    order(incarnation, EngineCommand.Join(group.id, group.model, group.members.map { it.id }.toImmutableList()))
}

private fun formingLimitMs(modelSpec: ModelSpec): Long = FORMING_MARGIN_MS + modelSpec.loadMs * LOAD_SLOWDOWN_FACTOR

private fun Planning.advanceServing(group: PlannedGroup) {
    val head = group.members.first()
    val membership = announcementOf(head)?.groupMembership
    val reason = group.members.firstNotNullOfOrNull { departureOf(it, group) }
        ?: PhaseReason(PhaseCause.BROKEN).takeIf { membership?.state == GroupState.BROKEN }
        ?: stallReason(group)
    val leaving = group.members.firstOrNull { announcementOf(it)?.state != BackendState.READY }
    when {
        reason != null -> release(group, reason)
        leaving != null -> {
            order(head, EngineCommand.Close(group.id))
            enterPhase(group, GroupPhase.CLOSING, PhaseReason(PhaseCause.MEMBER_LEAVING, leaving.id))
        }
        membership?.state == GroupState.READY && input.nowMs - group.sinceMs > OPEN_REPEAT_MS ->
            order(head, EngineCommand.Open(group.id))
    }
}

/** Whether a member is missing or does not announce itself as a member of the group. */
private fun Planning.departureOf(incarnation: EngineIncarnation, group: PlannedGroup): PhaseReason? = when {
    isMissing(incarnation) -> PhaseReason(PhaseCause.MEMBER_ENDED, incarnation.id)
    announcementOf(incarnation)?.groupMembership?.id != group.id ->
        PhaseReason(PhaseCause.MEMBER_LEFT, incarnation.id)
    else -> null
}

/**
 * The member that is lost, if the head has not been seen responding to entries either. A single failed probe is not
 * enough: one lost packet can delay both the response to a probe and the events of a stream.
 */
private fun Planning.stallReason(group: PlannedGroup): PhaseReason? =
    if (isUnresponsive(group.members.first())) group.members.firstNotNullOfOrNull { lossOf(it) } else null

/** Whether entries report that the head does not respond, or none has received a response lately. */
private fun Planning.isUnresponsive(head: EngineIncarnation): Boolean =
    isReportedUnresponsive(head) || !hasRespondedSince(head, input.nowMs - HEAD_RESPONSE_WINDOW_MS)

/** Whether an entry received part of a response after [sinceMs] and none has reported the engine unresponsive since. */
private fun Planning.hasRespondedSince(incarnation: EngineIncarnation, sinceMs: Long): Boolean {
    val evidence = input.evidence[incarnation.id] ?: return false
    val lastResponseMs = evidence.lastResponseMs ?: return false
    return lastResponseMs >= sinceMs && lastResponseMs >= (evidence.lastUnresponsiveMs ?: 0L)
}

private fun Planning.advanceClosing(group: PlannedGroup) {
    val head = group.members.first()
    val membership = announcementOf(head)?.groupMembership
    val headServes =
        membership?.id == group.id && (membership.state == GroupState.CLOSING || membership.state == GroupState.OPEN)
    val reason = PhaseReason(PhaseCause.FINISHED).takeIf { !headServes }
        ?: lossOf(head)?.takeIf { isUnresponsive(head) }
        ?: overdueReason(group, CLOSING_LIMIT_MS)
    if (reason != null) {
        release(group, reason)
    } else if (membership?.state == GroupState.OPEN) {
        order(head, EngineCommand.Close(group.id))
    }
}

private fun Planning.advanceReleasing(group: PlannedGroup) {
    val head = group.members.first()
    departureOfHead(head, group.id)?.let { return endGroup(group.id, it) }
    order(head, EngineCommand.Leave(group.id))
    val others = group.members.drop(1)
    // An unreachable head may still be open, but cannot serve without its members; they are free once they have left.
    if (isMissing(head) || isUnreachable(head, failures = 1)) orderLeave(group.id, others)
    if (isMissing(head) && others.all { isMissing(it) || isOut(it, group) }) forgetGroup(group.id)
}

private fun Planning.isOut(member: EngineIncarnation, group: PlannedGroup): Boolean =
    !mayBeIn(member, group) && announcementOf(member)?.groupMembership?.id != group.id

private fun Planning.release(group: PlannedGroup, reason: PhaseReason) {
    val released = enterPhase(group, GroupPhase.RELEASING, reason)
    advanceReleasing(released)
}

/** A head that responded to an entry within this time is up even if control cannot reach it. */
private const val HEAD_RESPONSE_WINDOW_MS = 1_000L
private const val OPEN_REPEAT_MS = 1_000L

/** A join with staged weights takes up to about 2 s. */
private const val WARMING_LIMIT_MS = 4_000L

/** Longest time for a head to finish its requests; a draining member stays up for at most 10 s. */
private const val CLOSING_LIMIT_MS = 8_000L

/** Concurrent loads beyond the weight store's limit take longer. */
private const val LOAD_SLOWDOWN_FACTOR = 3
private const val FORMING_MARGIN_MS = 5_000L
