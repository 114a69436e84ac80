package org.bramleyspur.control.group

import org.bramleyspur.core.backend.Announcement
import org.bramleyspur.core.backend.GroupId

/** What proves that an engine is free: that it, or the head of its group, is in that group no more. */
enum class FreeReason {
    /** The head announces another group or none. */
    HEAD_ANNOUNCED,

    /** The head has confirmed a leave order. */
    HEAD_LEFT,

    /** The head has restarted. */
    HEAD_RESTARTED,

    /** The engine has confirmed a leave order. */
    OWN_LEAVE,

    /** The engine announces no group. */
    OWN_ANNOUNCEMENT,
}

/** Why the planner counts [engine] as free; null if it does not. */
fun freeReasonOf(state: PlannerState, engine: Announcement): FreeReason? {
    val id = engine.groupMembership?.id
    return when {
        id == null -> FreeReason.OWN_ANNOUNCEMENT
        state.leftMembers[id]?.contains(engine.incarnation) == true -> FreeReason.OWN_LEAVE
        id in state.groups -> null
        else -> state.endedGroups[id]
    }
}

/** Why the members of the group that is no longer planned are free; their own leave if its head is not known. */
fun endReasonOf(state: PlannerState, id: GroupId): FreeReason = state.endedGroups[id] ?: FreeReason.OWN_LEAVE
