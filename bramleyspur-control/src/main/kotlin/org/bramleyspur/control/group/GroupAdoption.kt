/*
 * Takes over groups that an earlier leader formed, using the announcements of their members.
 */
package org.bramleyspur.control.group

import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import org.bramleyspur.core.backend.Announcement
import org.bramleyspur.core.backend.GroupId
import org.bramleyspur.core.backend.GroupState

/** Adopts groups that are not in the planner state; members without a head are eventually ordered to leave. */
internal fun Planning.adoptGroups() {
    val members = input.engines.values
        .map { it.announcement }
        .filter { it.groupMembership != null }
        .groupBy { it.groupMembership!!.id }
    trackHeadlessGroups(members)
    for ((id, announcements) in members) {
        val head = announcements.firstOrNull { it.groupMembership!!.rank == 0 }
        if (id !in state.groups && id !in state.endedGroups && head != null) adopt(id, head, announcements)
    }
}

/**
 * Tracks groups whose head has not announced itself. After a restart of control the head may be serving and its
 * announcement may not have arrived yet, so the members are ordered to leave only after [HEADLESS_TIMEOUT_MS].
 */
private fun Planning.trackHeadlessGroups(members: Map<GroupId, List<Announcement>>) {
    val headless = members.filter { (_, announcements) -> announcements.none { it.groupMembership!!.rank == 0 } }.keys
    val previousMs = state.headlessSinceMs
    state = state.copy(
        headlessSinceMs = headless.associateWith { previousMs[it] ?: input.nowMs }.toPersistentMap(),
        endedGroups = if (state.endedGroups.size > PRUNE_THRESHOLD) {
            state.endedGroups.filter { it in members }.toPersistentSet()
        } else {
            state.endedGroups
        },
    )
    for (id in headless.filter { input.nowMs - state.headlessSinceMs.getValue(it) > HEADLESS_TIMEOUT_MS }) {
        if (id !in state.groups && id !in state.endedGroups) orderLeave(id, members.getValue(id).map { it.incarnation })
    }
}

private fun Planning.adopt(id: GroupId, head: Announcement, announcements: List<Announcement>) {
    val incarnation = head.incarnation
    if (hasEnded(incarnation)) return endGroup(id)
    val model = announcements.firstNotNullOfOrNull { it.groupMembership!!.model } ?: return
    val modelSpec = modelSpec(head.service, model)
    val ranks = announcements.map { it.groupMembership!!.rank }.toSet()
    // Without its service or model in the document, a group gets no new requests, but may have running ones.
    val complete = modelSpec == null || (0 until modelSpec.groupSize).all { it in ranks }
    val incarnations = announcements.sortedBy { it.groupMembership!!.rank }.map { it.incarnation }.toImmutableList()
    val phase = when {
        !complete -> GroupPhase.RELEASING
        head.groupMembership!!.state == GroupState.OPEN -> GroupPhase.SERVING
        head.groupMembership!!.state == GroupState.CLOSING -> GroupPhase.CLOSING
        head.groupMembership!!.state == GroupState.BROKEN -> GroupPhase.RELEASING
        else -> GroupPhase.FORMING
    }
    val group = PlannedGroup(id, head.service, model, incarnations, phase, input.nowMs)
    state = state.copy(groups = state.groups.put(id, group))
}

/** 2.5 announcement intervals; entries also report the heads that they know to a restarted control instance. */
private const val HEADLESS_TIMEOUT_MS = 3_000L
