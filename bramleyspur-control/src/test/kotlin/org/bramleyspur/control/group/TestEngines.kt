package org.bramleyspur.control.group

import kotlinx.collections.immutable.toPersistentList
import org.bramleyspur.core.backend.Announcement
import org.bramleyspur.core.backend.BackendState
import org.bramleyspur.core.backend.GroupMembership

/** The announcement of a ready engine with the weights of [stagedModels] on its host. */
internal fun readyEngine(
    id: String,
    port: Int,
    stagedModels: List<String>,
    fabricDomain: String = "d",
    groupMembership: GroupMembership? = null,
) = Announcement(
    id = id,
    startedAtMs = 1,
    sequence = 1,
    service = "s",
    address = "10.0.0.1:$port",
    dataCentre = fabricDomain,
    slots = 34,
    state = BackendState.READY,
    fabricDomain = fabricDomain,
    stagedModels = stagedModels.toPersistentList(),
    groupMembership = groupMembership,
)
