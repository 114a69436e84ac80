/*
 * The way of a group from its joins to its end: when it opens, what counts as the loss of a member, and when its
 * members are free.
 */
package org.bramleyspur.control.group

import kotlinx.collections.immutable.toImmutableList
import org.bramleyspur.core.backend.BackendState
import org.bramleyspur.core.backend.GroupState
import org.bramleyspur.core.document.ModelShape

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
    val lost = isGone(engine) || isUnreachable(engine)
    val overdue = input.nowMs - group.sinceMs > WARMING_LIMIT_MS
    if (lost || overdue || placeIs(engine, group.id, GroupState.READY)) release(group)
}

private fun Planning.advanceForming(group: PlannedGroup) {
    val head = group.members.first()
    val shape = shape(group.service, group.model)
    val lost = group.members.any {
        isGone(it) || isUnreachable(it) || current(it)?.state != BackendState.READY || isElsewhere(it, group)
    }
    val longestMs = formingLimitMs(shape)
    val headPlace = current(head)?.place
    when {
        shape == null || lost || input.nowMs - group.sinceMs > longestMs -> release(group)
        headPlace?.id == group.id && headPlace.state == GroupState.OPEN -> enter(group, GroupPhase.SERVING)
        group.members.any { mayJoinAnother(it, group) } -> release(group)
        group.members.all { placeIs(it, group.id, GroupState.READY) } -> order(head, EngineCommand.Open(group.id))
        else -> group.members.filter { current(it)?.place?.id != group.id }.forEach { joinAgain(it, group) }
    }
}

/** Whether the engine is in another group whose head may serve: an order of an earlier leader has acted late. */
private fun Planning.isElsewhere(life: EngineLife, group: PlannedGroup): Boolean {
    val known = current(life) ?: return true
    val place = known.place ?: return false
    return place.id != group.id && !headHasLeft(known) && !hasLeft(life, place.id)
}

/**
 * Whether a join of the engine to another group has no result. It would take the engine out of this one, so the
 * engines form a new group, whose joins make that one void.
 */
private fun Planning.mayJoinAnother(life: EngineLife, group: PlannedGroup): Boolean {
    val join = state.openJoins[life] ?: return false
    val orders = state.verified[life]?.orders ?: join.expectedOrders
    return join.group != group.id && orders <= join.expectedOrders
}

/** Repeats a join that got no answer, unless the engine has joined and its announcement is on the way. */
private fun Planning.joinAgain(life: EngineLife, group: PlannedGroup) {
    if (state.orderedMs[life]?.let { input.nowMs - it < JOIN_REPEAT_MS } == true) return
    if (!isVerified(life)) return
    order(life, EngineCommand.Join(group.id, group.model, group.members.map { it.id }.toImmutableList()))
}

private fun Planning.formingLimitMs(shape: ModelShape?): Long =
    if (shape == null) 0 else FORMING_MARGIN_MS + shape.loadMs * LOAD_SLOWDOWN

private fun Planning.advanceServing(group: PlannedGroup) {
    val head = group.members.first()
    val place = current(head)?.place
    when {
        hasLostMember(group) || place?.state == GroupState.BROKEN || isStalled(group) -> release(group)
        group.members.any { current(it)?.state != BackendState.READY } -> {
            order(head, EngineCommand.Close(group.id))
            enter(group, GroupPhase.CLOSING)
        }
        place?.state == GroupState.READY && input.nowMs - group.sinceMs > OPEN_AGAIN_MS ->
            order(head, EngineCommand.Open(group.id))
    }
}

/** Whether a member has ended, or says that it is not in the group. */
private fun Planning.hasLostMember(group: PlannedGroup): Boolean =
    group.members.any { isGone(it) || current(it)?.place?.id != group.id }

/**
 * Whether the head has stopped answering entries, or is not seen to answer, and a member does not answer control.
 * One unanswered question is not enough: a lost packet delays an answer as well as the events of a stream.
 */
private fun Planning.isStalled(group: PlannedGroup): Boolean {
    val head = group.members.first()
    val quiet = isSilentForEntries(head) || !answersSince(head, input.nowMs - UNSEEN_MS)
    return quiet && group.members.any { isUnreachable(it) }
}

/**
 * Whether an entry got a piece of an answer from the engine after [sinceMs] and none has called it silent since.
 */
private fun Planning.answersSince(life: EngineLife, sinceMs: Long): Boolean {
    val evidence = input.evidence[life.id] ?: return false
    val answered = evidence.answeredMs ?: return false
    return answered >= sinceMs && answered >= (evidence.silentMs ?: 0L)
}

private fun Planning.advanceClosing(group: PlannedGroup) {
    val head = group.members.first()
    val place = current(head)?.place
    val serves = place?.id == group.id && (place.state == GroupState.CLOSING || place.state == GroupState.OPEN)
    val overdue = input.nowMs - group.sinceMs > CLOSING_LIMIT_MS
    val lost = isGone(head) || isUnreachable(head)
    if (!serves || overdue || lost) {
        release(group)
    } else if (place.state == GroupState.OPEN) {
        order(head, EngineCommand.Close(group.id))
    }
}

private fun Planning.advanceReleasing(group: PlannedGroup) {
    val head = group.members.first()
    val known = current(head)
    if (isGone(head) || known?.place?.id != group.id || hasLeft(head, group.id)) return end(group.id)
    order(head, EngineCommand.Leave(group.id))
    // It may be cut off and open; without its members it serves nothing, so they are free once they have left.
    if (isUnreachable(head, failures = 1)) leaveAll(group.id, group.members.drop(1))
}

private fun Planning.release(group: PlannedGroup) {
    val released = enter(group, GroupPhase.RELEASING)
    advanceReleasing(released)
}

/** A head that served an entry within this time is up, though control may not reach it. */
private const val UNSEEN_MS = 1_000L
private const val OPEN_AGAIN_MS = 1_000L

/** A join of staged weights takes up to about 2 s. */
private const val WARMING_LIMIT_MS = 4_000L

/** Longest a head finishes its requests; a member that drains stays for at most 10 s. */
private const val CLOSING_LIMIT_MS = 8_000L

/** Loads that run together beyond the store's limit take longer. */
private const val LOAD_SLOWDOWN = 3
private const val FORMING_MARGIN_MS = 5_000L
