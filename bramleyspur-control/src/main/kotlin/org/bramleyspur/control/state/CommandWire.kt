/*
 * Conversions between the commands of the control log and the generated messages.
 */
package org.bramleyspur.control.state

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.google.protobuf.InvalidProtocolBufferException
import kotlinx.collections.immutable.toImmutableList
import org.bramleyspur.core.model.FencingNumber
import org.bramleyspur.core.model.Incarnation
import org.bramleyspur.core.model.ReplicaId
import org.bramleyspur.core.model.RequestId
import org.bramleyspur.core.model.Revision
import org.bramleyspur.core.wire.toMessage
import org.bramleyspur.core.wire.toModel
import org.bramleyspur.protocol.AssignCommand
import org.bramleyspur.protocol.ClaimCommand
import org.bramleyspur.protocol.CompleteCommand
import org.bramleyspur.protocol.ControlLogCommand
import org.bramleyspur.protocol.EndAssignmentCommand
import org.bramleyspur.protocol.EvacuateCommand
import org.bramleyspur.protocol.ExpireClaimsCommand
import org.bramleyspur.protocol.FinishRollOutCommand
import org.bramleyspur.protocol.ReplaceDocumentCommand
import org.bramleyspur.protocol.SubmitCommand
import org.bramleyspur.core.model.Assignment as AssignmentModel
import org.bramleyspur.protocol.Assignment as AssignmentMessage
import org.bramleyspur.protocol.ClaimKey as ClaimKeyMessage
import org.bramleyspur.protocol.StoredResponse as StoredResponseMessage

/** Encodes the command as a log entry. */
fun ControlCommand.encode(): ByteArray = toMessage().toByteArray()

/** Decodes the command of a log entry. */
fun decodeCommand(bytes: ByteArray): Result<ControlCommand, DecodeError> = try {
    ControlLogCommand.parseFrom(bytes).toModel()?.let { Ok(it) }
        ?: Err(
            DecodeError(
                "the log entry holds a command of an unknown kind; run a program that is not older than the log",
            ),
        )
} catch (e: InvalidProtocolBufferException) {
    Err(DecodeError("the log entry is not a command: ${e.message}; replace the member"))
}

private fun ControlCommand.toMessage(): ControlLogCommand {
    val message = ControlLogCommand.newBuilder()
    when (this) {
        is Submit -> message.setSubmit(toMessage())
        is Assign -> message.setAssign(toMessage())
        is EndAssignment -> message.setEndAssignment(toMessage())
        is FinishRollOut -> message.setFinishRollOut(toMessage())
        is Claim -> message.setClaim(toMessage())
        is Complete -> message.setComplete(toMessage())
        is ReplaceDocument -> message.setReplaceDocument(document.toMessage())
        is EvacuateDataCentre -> message.setEvacuate(toMessage())
        is ExpireClaims -> message.setExpireClaims(ExpireClaimsCommand.newBuilder().setNowMs(nowMs))
    }
    return message.build()
}

private fun ControlLogCommand.toModel(): ControlCommand? = when (kindCase) {
    ControlLogCommand.KindCase.SUBMIT -> submit.toModel()
    ControlLogCommand.KindCase.ASSIGN -> Assign(assign.assignmentsList.map { it.toDefinition() }.toImmutableList())
    ControlLogCommand.KindCase.END_ASSIGNMENT ->
        EndAssignment(ReplicaId(endAssignment.replica), FencingNumber(endAssignment.fencingNumber))
    ControlLogCommand.KindCase.FINISH_ROLL_OUT -> FinishRollOut(finishRollOut.service, finishRollOut.version)
    ControlLogCommand.KindCase.CLAIM -> claim.toModel()
    ControlLogCommand.KindCase.COMPLETE -> complete.toModel()
    ControlLogCommand.KindCase.EXPIRE_CLAIMS -> ExpireClaims(expireClaims.nowMs)
    ControlLogCommand.KindCase.REPLACE_DOCUMENT -> ReplaceDocument(replaceDocument.toModel())
    ControlLogCommand.KindCase.EVACUATE ->
        EvacuateDataCentre(evacuate.dataCentre, evacuate.evacuated, evacuate.submittedAtMs)
    ControlLogCommand.KindCase.KIND_NOT_SET, null -> null
}

private fun EvacuateDataCentre.toMessage() = EvacuateCommand
    .newBuilder()
    .setDataCentre(dataCentre)
    .setEvacuated(evacuated)
    .setSubmittedAtMs(submittedAtMs)

private fun Submit.toMessage() = SubmitCommand
    .newBuilder()
    .setCommandId(commandId)
    .setExpectedRevision(expectedRevision.value)
    .setStatements(statements)
    .setSubmittedAtMs(submittedAtMs)

private fun SubmitCommand.toModel() = Submit(commandId, Revision(expectedRevision), statements, submittedAtMs)

private fun Assign.toMessage() = AssignCommand.newBuilder().addAllAssignments(assignments.map { it.toMessage() })

private fun AssignmentDefinition.toMessage(): AssignmentMessage =
    AssignmentModel(replica, FencingNumber(0), service, model, version, adapters, members).toMessage()

private fun AssignmentMessage.toDefinition(): AssignmentDefinition = with(toModel()) {
    AssignmentDefinition(replica, service, model, version, adapters, members)
}

private fun EndAssignment.toMessage() =
    EndAssignmentCommand.newBuilder().setReplica(replica.value).setFencingNumber(fencingNumber.value)

private fun FinishRollOut.toMessage() = FinishRollOutCommand.newBuilder().setService(service).setVersion(version)

private fun Claim.toMessage() = ClaimCommand
    .newBuilder()
    .setKey(key.toMessage())
    .setDigest(digest)
    .setRequest(request.value)
    .setIncarnation(incarnation.value)
    .setAgentAddress(agentAddress)
    .setRetentionMs(retentionMs)
    .setClaimedAtMs(claimedAtMs)

private fun ClaimCommand.toModel() = Claim(
    key = key.toModel(),
    digest = digest,
    request = RequestId(request),
    incarnation = Incarnation(incarnation),
    agentAddress = agentAddress,
    retentionMs = retentionMs,
    claimedAtMs = claimedAtMs,
)

private fun Complete.toMessage(): CompleteCommand {
    val message = CompleteCommand.newBuilder().setKey(key.toMessage()).setGrant(grant)
    when (outcome) {
        is ClaimOutcome.Responded ->
            message.setOutcome(
                CompleteCommand.Outcome.ANSWERED,
            ).setResponse(outcome.response.withoutOversizedBody().toMessage())
        is ClaimOutcome.NotRun -> message.setOutcome(CompleteCommand.Outcome.NOT_RUN)
        is ClaimOutcome.Unknown -> message.setOutcome(CompleteCommand.Outcome.UNKNOWN)
    }
    return message.build()
}

private fun CompleteCommand.toModel() = Complete(
    key = key.toModel(),
    grant = grant,
    outcome = when (outcome) {
        CompleteCommand.Outcome.ANSWERED -> ClaimOutcome.Responded(response.toModel())
        CompleteCommand.Outcome.NOT_RUN -> ClaimOutcome.NotRun
        CompleteCommand.Outcome.UNKNOWN, CompleteCommand.Outcome.UNRECOGNIZED, null -> ClaimOutcome.Unknown
    },
)

internal fun StoredDocument.toMessage(): ReplaceDocumentCommand =
    ReplaceDocumentCommand.newBuilder().setVersion(version).setContent(content).build()

internal fun ReplaceDocumentCommand.toModel() = StoredDocument(version, content)

internal fun ClaimKey.toMessage(): ClaimKeyMessage =
    ClaimKeyMessage.newBuilder().setAccount(account).setService(service).setKey(key).build()

internal fun ClaimKeyMessage.toModel() = ClaimKey(account, service, key)

internal fun StoredResponse.toMessage(): StoredResponseMessage {
    val message = StoredResponseMessage
        .newBuilder()
        .setStatus(status)
        .setContentType(contentType)
        .setBodyKept(body != null)
        .setBodyBytes(bodyBytes)
        .setBodyDigest(bodyDigest)
    body?.let { message.setBody(it) }
    return message.build()
}

internal fun StoredResponseMessage.toModel() =
    StoredResponse(status, contentType, body.takeIf { bodyKept }, bodyBytes, bodyDigest)
