package org.bramleyspur.control.group

import kotlinx.collections.immutable.toPersistentList
import org.bramleyspur.core.backend.Announcement
import org.bramleyspur.core.backend.BackendState
import org.bramleyspur.core.backend.GroupPlace

/** The announcement of a ready engine with the weights of [staged] on its host. */
internal fun readyEngine(
    id: String,
    port: Int,
    staged: List<String>,
    domain: String = "d",
    place: GroupPlace? = null,
) = Announcement(
    id = id,
    bornMs = 1,
    sequence = 1,
    service = "s",
    address = "10.0.0.1:$port",
    dataCentre = domain,
    slots = 34,
    state = BackendState.READY,
    domain = domain,
    staged = staged.toPersistentList(),
    place = place,
)
