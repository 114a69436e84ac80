/*
 * Conversions between announcements and the generated Protocol Buffers messages.
 */
package org.bramleyspur.core.wire

import kotlinx.collections.immutable.toImmutableList
import org.bramleyspur.core.backend.Announcement
import org.bramleyspur.core.backend.BackendDirectory
import org.bramleyspur.core.backend.BackendState
import org.bramleyspur.core.backend.GroupId
import org.bramleyspur.core.backend.GroupMembership
import org.bramleyspur.core.backend.GroupState
import org.bramleyspur.protocol.BackendAnnouncement
import org.bramleyspur.protocol.BackendGroup

/** Converts to the generated message; [ageMs] is the time since the announcement was received. */
fun Announcement.toMessage(ageMs: Long): BackendAnnouncement {
    val message = BackendAnnouncement
        .newBuilder()
        .setId(id)
        .setBornMs(startedAtMs)
        .setSequence(sequence)
        .setService(service)
        .setAddress(address)
        .setDataCentre(dataCentre)
        .setSlots(slots)
        .setState(state.name)
        .setDomain(fabricDomain)
        .addAllStagedModels(stagedModels)
        .setAgeMs(ageMs.toInt())
    groupMembership?.let { message.setGroup(it.toMessage()) }
    return message.build()
}

/** Converts all announcements to generated messages with their ages at [nowMs]. */
fun BackendDirectory.toMessages(nowMs: Long): List<BackendAnnouncement> =
    backends.values.map { it.announcement.toMessage(nowMs - it.receivedAtMs) }

private fun GroupMembership.toMessage() = BackendGroup
    .newBuilder()
    .setName(id.name)
    .setEpoch(id.epoch)
    .setRank(rank)
    .setState(state.name)
    .setModel(model.orEmpty())

/** Converts from the generated message. */
fun BackendAnnouncement.toModel() = Announcement(
    id = id,
    startedAtMs = bornMs,
    sequence = sequence,
    service = service,
    address = address,
    dataCentre = dataCentre,
    slots = slots,
    state = BackendState.valueOf(state),
    fabricDomain = domain,
    stagedModels = stagedModelsList.toImmutableList(),
    groupMembership = if (hasGroup()) group.toModel() else null,
)

private fun BackendGroup.toModel() =
    GroupMembership(GroupId(name, epoch), rank, GroupState.valueOf(state), model.ifEmpty { null })
