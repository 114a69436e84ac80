/*
 * Takes over groups that an earlier leader formed, using the announcements of their members.
 */
package org.bramleyspur.control.group

import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toPersistentMap
import org.bramleyspur.core.backend.Announcement
import org.bramleyspur.core.backend.GroupId
import org.bramleyspur.core.backend.GroupState

/**
 * Adopts groups that are not in the planner state. A group some of whose members have not announced themselves is
 * adopted, to be released, only after [MISSING_MEMBER_TIMEOUT_MS]; members without a head are then ordered to leave.
 */
internal fun Planning.adoptGroups() {
    val members = input.engines.values
        .map { it.announcement }
        .filter { it.groupMembership != null && isEngine(it) && !isMissing(it.incarnation) }
        .groupBy { it.groupMembership!!.id }
        .mapValues { (_, announcements) -> ofOneService(announcements) }
    trackPartialGroups(members)
    for ((id, announcements) in members) {
        if (id in state.groups || id in state.endedGroups) continue
        val head = announcements.firstOrNull { it.groupMembership!!.rank == 0 }
        val missingTooLong =
            state.partialSinceMs[id]?.let { input.nowMs - it > MISSING_MEMBER_TIMEOUT_MS } == true
        when {
            head == null -> if (missingTooLong) orderLeave(id, announcements.map { it.incarnation })
            missingTooLong || id !in state.partialSinceMs -> adopt(id, head, announcements)
        }
    }
}

/** Whether the document names the service of [announcement] as one of engines; only those are ordered into groups. */
private fun Planning.isEngine(announcement: Announcement): Boolean =
    input.document.services[announcement.service]?.let { it.costs != null && it.models.isNotEmpty() } == true

/** The members that are of the same service as most of them; another one cannot have been ordered into the group. */
private fun ofOneService(announcements: List<Announcement>): List<Announcement> =
    announcements.groupBy { it.service }.values.maxBy { it.size }

/**
 * Tracks groups some of whose members have not announced themselves. After a restart of control the head may be serving
 * and the other announcements may not have arrived yet.
 */
private fun Planning.trackPartialGroups(members: Map<GroupId, List<Announcement>>) {
    val partial = members.filterValues { !isComplete(it) }.keys
    val previousMs = state.partialSinceMs
    state = state.copy(
        partialSinceMs = partial.associateWith { previousMs[it] ?: input.nowMs }.toPersistentMap(),
        endedGroups = if (state.endedGroups.size > PRUNE_THRESHOLD) {
            state.endedGroups.filterKeys { it in members }.toPersistentMap()
        } else {
            state.endedGroups
        },
    )
}

/** Whether all members of a group are among its [announcements], or its head has found that one has failed. */
private fun Planning.isComplete(announcements: List<Announcement>): Boolean {
    val byRank = announcements.associateBy { it.groupMembership!!.rank }
    val head = byRank[0] ?: return false
    val model = announcements.firstNotNullOfOrNull { it.groupMembership!!.model }
    val groupSize = model?.let { modelSpec(head.service, it) }?.groupSize
    return head.groupMembership!!.state == GroupState.BROKEN || groupSize == null ||
        (0 until groupSize).all { it in byRank }
}

private fun Planning.adopt(id: GroupId, head: Announcement, announcements: List<Announcement>) {
    val model = announcements.firstNotNullOfOrNull { it.groupMembership!!.model } ?: return
    val modelSpec = modelSpec(head.service, model)
    val ranks = announcements.map { it.groupMembership!!.rank }.toSet()
    // Without its service or model in the document, a group gets no new requests, but may have running ones.
    val complete = modelSpec == null || (0 until modelSpec.groupSize).all { it in ranks }
    val incarnations = announcements.sortedBy { it.groupMembership!!.rank }.map { it.incarnation }.toImmutableList()
    val (phase, cause) = when {
        !complete -> GroupPhase.RELEASING to PhaseCause.INCOMPLETE
        head.groupMembership!!.state == GroupState.OPEN -> GroupPhase.SERVING to PhaseCause.ADOPTED
        head.groupMembership!!.state == GroupState.CLOSING -> GroupPhase.CLOSING to PhaseCause.ADOPTED
        head.groupMembership!!.state == GroupState.BROKEN -> GroupPhase.RELEASING to PhaseCause.BROKEN
        else -> GroupPhase.FORMING to PhaseCause.ADOPTED
    }
    val group = PlannedGroup(id, head.service, model, incarnations, phase, input.nowMs, PhaseReason(cause))
    state = state.copy(groups = state.groups.put(id, group))
}

/** 2.5 announcement intervals; entries also report the engines that they know to a restarted control instance. */
private const val MISSING_MEMBER_TIMEOUT_MS = 3_000L
