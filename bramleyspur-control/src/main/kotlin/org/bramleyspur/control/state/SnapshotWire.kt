/*
 * Encoding of snapshots of the control state. Equal states have equal encodings.
 */
package org.bramleyspur.control.state

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.google.protobuf.InvalidProtocolBufferException
import kotlinx.collections.immutable.toPersistentMap
import org.bramleyspur.control.evacuation.Evacuation
import org.bramleyspur.control.evacuation.Evacuations
import org.bramleyspur.core.model.Incarnation
import org.bramleyspur.core.model.RequestId
import org.bramleyspur.core.model.Revision
import org.bramleyspur.core.wire.toMessage
import org.bramleyspur.core.wire.toModel
import org.bramleyspur.protocol.EvacuationRecord
import org.bramleyspur.protocol.PreviousVersion
import org.bramleyspur.protocol.StateSnapshot
import org.bramleyspur.protocol.ClaimRecord as ClaimRecordMessage
import org.bramleyspur.protocol.CommandRecord as CommandRecordMessage

/** Encodes the state as a snapshot. */
fun ControlState.encodeSnapshot(): ByteArray = StateSnapshot
    .newBuilder()
    .setAppliedIndex(appliedIndex)
    .setConfiguration(configuration.toMessage())
    .addAllPreviousVersions(previousVersions.entries.sortedBy { it.key }.map { previousVersion(it.key, it.value) })
    .addAllAssignments(assignments.values.sortedBy { it.replica }.map { it.toMessage() })
    .addAllClaims(claims.records.entries.sortedBy { it.value.grant }.map { it.value.toMessage(it.key) })
    .addAllCommands(commands.map { (id, record) -> record.toMessage(id) })
    .apply { this@encodeSnapshot.document?.let { setDocument(it.toMessage()) } }
    .addAllEvacuations(evacuations.byDataCentre.entries.sortedBy { it.key }.map { it.value.toMessage(it.key) })
    .setEvacuationRevision(evacuations.revision)
    .build()
    .toByteArray()

/** Decodes the state of a snapshot. */
fun decodeSnapshot(bytes: ByteArray): Result<ControlState, DecodeError> = try {
    Ok(StateSnapshot.parseFrom(bytes).toModel())
} catch (e: InvalidProtocolBufferException) {
    Err(DecodeError("the snapshot is damaged: ${e.message}; replace the member"))
}

private fun StateSnapshot.toModel() = ControlState(
    appliedIndex = appliedIndex,
    configuration = configuration.toModel(),
    previousVersions = previousVersionsList.associate { it.service to it.version }.toPersistentMap(),
    assignments = assignmentsList.map { it.toModel() }.associateBy { it.replica }.toPersistentMap(),
    claims = claimsList.fold(ClaimTable()) { table, record -> table.with(record.key.toModel(), record.toModel()) },
    commands = commandsList.associate { it.commandId to it.toModel() }.toPersistentMap(),
    document = if (hasDocument()) document.toModel() else null,
    evacuations = Evacuations(
        evacuationRevision,
        evacuationsList.associate { it.dataCentre to Evacuation(it.revision, it.startedAtMs) }.toPersistentMap(),
    ),
)

private fun Evacuation.toMessage(dataCentre: String): EvacuationRecord = EvacuationRecord
    .newBuilder()
    .setDataCentre(dataCentre)
    .setRevision(revision)
    .setStartedAtMs(startedAtMs)
    .build()

private fun previousVersion(service: String, version: String) =
    PreviousVersion.newBuilder().setService(service).setVersion(version).build()

private fun ClaimRecord.toMessage(key: ClaimKey): ClaimRecordMessage {
    val message = ClaimRecordMessage
        .newBuilder()
        .setKey(key.toMessage())
        .setDigest(digest)
        .setRequest(request.value)
        .setIncarnation(incarnation.value)
        .setAgentAddress(agentAddress)
        .setGrant(grant)
        .setExpiresAtMs(expiresAtMs)
    when (state) {
        is ClaimState.Held -> message.setState(ClaimRecordMessage.State.HELD)
        is ClaimState.UnknownOutcome -> message.setState(ClaimRecordMessage.State.UNKNOWN)
        is ClaimState.Responded ->
            message.setState(ClaimRecordMessage.State.ANSWERED).setResponse(state.response.toMessage())
    }
    return message.build()
}

private fun ClaimRecordMessage.toModel() = ClaimRecord(
    digest = digest,
    request = RequestId(request),
    incarnation = Incarnation(incarnation),
    agentAddress = agentAddress,
    grant = grant,
    expiresAtMs = expiresAtMs,
    state = when (state) {
        ClaimRecordMessage.State.HELD -> ClaimState.Held
        ClaimRecordMessage.State.ANSWERED -> ClaimState.Responded(response.toModel())
        ClaimRecordMessage.State.UNKNOWN, ClaimRecordMessage.State.UNRECOGNIZED, null -> ClaimState.UnknownOutcome
    },
)

private fun CommandRecord.toMessage(id: String): CommandRecordMessage = CommandRecordMessage
    .newBuilder()
    .setCommandId(id)
    .setAccepted(accepted)
    .setRevision(revision.value)
    .setMessage(message)
    .setSubmittedAtMs(submittedAtMs)
    .setCommandDigest(commandDigest)
    .setSummary(summary)
    .build()

private fun CommandRecordMessage.toModel() =
    CommandRecord(accepted, Revision(revision), message, submittedAtMs, commandDigest, summary)
