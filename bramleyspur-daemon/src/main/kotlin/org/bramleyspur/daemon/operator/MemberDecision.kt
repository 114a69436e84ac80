/*
 * Membership changes requested by operators. They are identified by the member id, so a repeated statement whose change
 * has already been applied is accepted without a second change.
 */
package org.bramleyspur.daemon.operator

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import org.bramleyspur.core.settings.Address
import org.bramleyspur.language.AdmitControl
import org.bramleyspur.language.MemberCommand
import org.bramleyspur.language.RemoveControl
import org.bramleyspur.log.LogStatus
import org.bramleyspur.log.MemberStatus
import org.bramleyspur.log.consensus.MembershipChange
import org.bramleyspur.log.consensus.ProposeError
import org.bramleyspur.protocol.SubmitReply

/** The leader's decision on a [MemberCommand]. */
internal sealed interface MemberDecision {
    /** Proposes [change], and replies with [successMessage] once it is committed. */
    data class Propose(val change: MembershipChange, val successMessage: String) : MemberDecision

    /** The change has already been applied. */
    data class AlreadyApplied(val message: String) : MemberDecision

    /** The command cannot be executed; [message] names the remedy. */
    data class Refuse(val message: String) : MemberDecision
}

/** Decides on [command], given the members in [status]. */
internal fun decide(command: MemberCommand, status: LogStatus): MemberDecision = when (command) {
    is AdmitControl -> decideAdmission(command, status.members)
    is RemoveControl -> decideRemoval(command, status)
}

private fun decideAdmission(command: AdmitControl, members: List<MemberStatus>): MemberDecision {
    val existing = members.firstOrNull { it.id == command.id }
    val addressError = Address.parse(command.address).component2()
    val sameAddress = members.firstOrNull { it.address == command.address && it.id != command.replacedMember }
    return when {
        existing != null -> decideRepeated(command, existing, members)

        addressError != null -> MemberDecision.Refuse("the address ${command.address} $addressError")

        sameAddress != null -> MemberDecision.Refuse(
            "${sameAddress.id} is the member at ${command.address}; add: in place of '${sameAddress.id}'",
        )

        command.replacedMember != null && members.none { it.id == command.replacedMember } -> MemberDecision.Refuse(
            "${command.replacedMember} is not a control member; show control lists the members",
        )

        else -> MemberDecision.Propose(
            MembershipChange.AddLearner(command.id, command.address, command.replacedMember),
            "${command.id} is admitted and votes once it has caught up; check with show control",
        )
    }
}

private fun decideRepeated(command: AdmitControl, existing: MemberStatus, members: List<MemberStatus>) = when {
    existing.address != command.address -> MemberDecision.Refuse(
        "${existing.id} is the member at ${existing.address}; remove it first to admit it at another address",
    )

    existing.voter && members.any { it.id == command.replacedMember } -> MemberDecision.Refuse(
        "${existing.id} votes and ${command.replacedMember} is still a member; " +
            "use: remove control '${command.replacedMember}'",
    )

    else -> MemberDecision.AlreadyApplied("${existing.id} is already a member; show control lists whether it votes")
}

private fun decideRemoval(command: RemoveControl, status: LogStatus): MemberDecision = when {
    status.members.none { it.id == command.id } ->
        MemberDecision.AlreadyApplied("${command.id} is not a control member; nothing to change")

    command.id == status.memberId && status.members.size > 1 -> MemberDecision.Propose(
        MembershipChange.Remove(command.id),
        "${command.id} is removed; it was the leader, and another member takes over",
    )

    else -> MemberDecision.Propose(MembershipChange.Remove(command.id), "${command.id} is removed")
}

/** The reply to a failed proposal; it is a refusal only if the error proves that nothing was appended. */
internal fun ProposeError.toMemberReply(): SubmitReply.Builder {
    val refused = this is ProposeError.InvalidChange || this is ProposeError.ChangeInProgress
    return SubmitReply
        .newBuilder()
        .setOutcome(if (refused) SubmitReply.Outcome.REFUSED else SubmitReply.Outcome.UNAVAILABLE)
        .setMessage(message)
}

/** Executes [decision], using [change] to propose a membership change, and passes the result to [reply]. */
internal fun execute(
    decision: MemberDecision,
    change: (MembershipChange, (Result<Long, ProposeError>) -> Unit) -> Unit,
    reply: (SubmitReply.Builder) -> Unit,
) = when (decision) {
    is MemberDecision.AlreadyApplied -> reply(accepted(decision.message).setRepeated(true))

    is MemberDecision.Refuse ->
        reply(SubmitReply.newBuilder().setOutcome(SubmitReply.Outcome.REFUSED).setMessage(decision.message))

    is MemberDecision.Propose -> change(decision.change) { result ->
        reply(result.fold({ accepted(decision.successMessage) }, { it.toMemberReply() }))
    }
}

private fun accepted(message: String): SubmitReply.Builder =
    SubmitReply.newBuilder().setOutcome(SubmitReply.Outcome.ACCEPTED).setMessage(message)
