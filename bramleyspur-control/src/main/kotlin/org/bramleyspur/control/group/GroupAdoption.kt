/*
 * Takes over the groups that an earlier leader formed, from what their members announce.
 */
package org.bramleyspur.control.group

import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import org.bramleyspur.core.backend.Announcement
import org.bramleyspur.core.backend.GroupId
import org.bramleyspur.core.backend.GroupState

/** Takes over groups that an earlier leader formed. */
internal fun Planning.adoptGroups() {
    val places = input.engines.values.map { it.announcement }.filter { it.place != null }.groupBy { it.place!!.id }
    noteHeadless(places)
    for ((id, members) in places) {
        val head = members.firstOrNull { it.place!!.rank == 0 }
        if (id !in state.groups && id !in state.endedGroups && head != null) adopt(id, head, members)
    }
}

/**
 * Notes groups of which only members have announced themselves. After a restart of control the head may be serving
 * and not have been heard yet, so the members are ordered to leave only some time later.
 */
private fun Planning.noteHeadless(places: Map<GroupId, List<Announcement>>) {
    val headless = places.filter { (_, members) -> members.none { it.place!!.rank == 0 } }.keys
    val known = state.headlessSinceMs
    state = state.copy(
        headlessSinceMs = headless.associateWith { known[it] ?: input.nowMs }.toPersistentMap(),
        endedGroups = if (state.endedGroups.size > MAX_OLD_LIVES) {
            state.endedGroups.filter { it in places }.toPersistentSet()
        } else {
            state.endedGroups
        },
    )
    for (id in headless.filter { input.nowMs - state.headlessSinceMs.getValue(it) > HEADLESS_MS }) {
        if (id !in state.groups && id !in state.endedGroups) leaveAll(id, places.getValue(id).map { it.life })
    }
}

private fun Planning.adopt(id: GroupId, head: Announcement, members: List<Announcement>) {
    val life = head.life
    if (isGone(life)) return end(id)
    val model = members.firstNotNullOfOrNull { it.place!!.model } ?: return
    val shape = shape(head.service, model)
    val ranks = members.map { it.place!!.rank }.toSet()
    val whole = shape != null && (0 until shape.size).all { it in ranks }
    val lives = members.sortedBy { it.place!!.rank }.map { it.life }.toImmutableList()
    val phase = when {
        !whole -> GroupPhase.RELEASING
        head.place!!.state == GroupState.OPEN -> GroupPhase.SERVING
        head.place!!.state == GroupState.CLOSING -> GroupPhase.CLOSING
        head.place!!.state == GroupState.BROKEN -> GroupPhase.RELEASING
        else -> GroupPhase.FORMING
    }
    val group = PlannedGroup(id, head.service, model, lives, phase, input.nowMs)
    state = state.copy(groups = state.groups.put(id, group))
}

/** Two announcements; entries also tell a restarted instance of the heads that they know. */
private const val HEADLESS_MS = 3_000L
