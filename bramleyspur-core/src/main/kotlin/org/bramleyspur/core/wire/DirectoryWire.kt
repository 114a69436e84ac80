/*
 * Conversions between announcements and the generated Protocol Buffers messages.
 */
package org.bramleyspur.core.wire

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import kotlinx.collections.immutable.toImmutableList
import org.bramleyspur.core.backend.Announcement
import org.bramleyspur.core.backend.BackendDirectory
import org.bramleyspur.core.backend.BackendState
import org.bramleyspur.core.backend.GroupId
import org.bramleyspur.core.backend.GroupMembership
import org.bramleyspur.core.backend.GroupState
import org.bramleyspur.core.backend.KnownBackend
import org.bramleyspur.core.backend.Renewal
import org.bramleyspur.core.backend.RenewalOutcome
import org.bramleyspur.core.backend.validate
import org.bramleyspur.protocol.BackendAnnouncement
import org.bramleyspur.protocol.BackendGroup
import org.bramleyspur.protocol.BackendRenewal

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
        .setColdRemainingMs(coldRemainingMs.toInt())
    groupMembership?.let { message.setGroup(it.toMessage()) }
    return message.build()
}

/** Converts all announcements to generated messages with their ages at [nowMs]. */
fun BackendDirectory.toMessages(nowMs: Long): List<BackendAnnouncement> =
    backends.values.map { it.announcement.toMessage(nowMs - it.receivedAtMs) }

/** Converts the renewal of [backend], received at a control instance [ageMs] ago, to the generated message. */
fun renewalMessage(backend: KnownBackend, ageMs: Long): BackendRenewal = BackendRenewal
    .newBuilder()
    .setId(backend.announcement.id)
    .setBornMs(backend.announcement.startedAtMs)
    .setSequence(backend.announcement.sequence)
    .setContentChecksum(backend.contentChecksum)
    .setAgeMs(ageMs.toInt())
    .build()

private fun BackendRenewal.toModel() = Renewal(id, bornMs, sequence, contentChecksum)

/** The [directory] after renewals, and the ids of those whose announcement is [missing] in it. */
class AppliedRenewals(val directory: BackendDirectory, val missing: List<String>)

/** Applies [renewals] that arrived at [nowMs]. */
fun BackendDirectory.renewAll(renewals: List<BackendRenewal>, nowMs: Long): AppliedRenewals {
    var directory = this
    val missing = ArrayList<String>()
    for (renewal in renewals) {
        when (val outcome = directory.renew(renewal.toModel(), nowMs - maxOf(renewal.ageMs, 0))) {
            is RenewalOutcome.Renewed -> directory = outcome.directory
            RenewalOutcome.Outdated -> Unit
            RenewalOutcome.Unknown -> missing += renewal.id
        }
    }
    return AppliedRenewals(directory, missing)
}

private fun GroupMembership.toMessage() = BackendGroup
    .newBuilder()
    .setName(id.name)
    .setEpoch(id.epoch)
    .setRank(rank)
    .setState(state.name)
    .setModel(model.orEmpty())

/**
 * Converts from the generated message at the Unix time [nowMs]; the error describes an unusable announcement. Instances
 * of other versions may send announcements that this version would not have accepted.
 */
fun BackendAnnouncement.toModel(nowMs: Long): Result<Announcement, String> {
    val parsedState = BackendState.entries.firstOrNull { it.name == state } ?: return Err("unknown state '$state'")
    val membership = if (hasGroup()) group.toModel().getOrElse { return Err(it) } else null
    val announcement = Announcement(
        id = id,
        startedAtMs = bornMs,
        sequence = sequence,
        service = service,
        address = address,
        dataCentre = dataCentre,
        slots = slots,
        state = parsedState,
        fabricDomain = domain,
        stagedModels = stagedModelsList.toImmutableList(),
        groupMembership = membership,
        coldRemainingMs = Integer.toUnsignedLong(coldRemainingMs),
    )
    return announcement.validate(nowMs)?.let { Err("${it.field.name} ${it.reason}") } ?: Ok(announcement)
}

private fun BackendGroup.toModel(): Result<GroupMembership, String> {
    val parsedState = GroupState.entries.firstOrNull { it.name == state }
        ?: return Err("unknown group state '$state'")
    return Ok(GroupMembership(GroupId(name, epoch), rank, parsedState, model.ifEmpty { null }))
}
