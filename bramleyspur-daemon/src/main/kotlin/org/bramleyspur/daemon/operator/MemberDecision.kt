/*
 * Operators' changes of the control members. Their identity is the member id, so a repeated statement whose change is
 * in place is accepted without a second change.
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

/** What the leader does with a [MemberCommand]. */
internal sealed interface MemberDecision {
    /** Proposes [change]; [done] is the message once it is committed. */
    data class Propose(val change: MembershipChange, val done: String) : MemberDecision

    /** The change is in place. */
    data class InPlace(val message: String) : MemberDecision

    /** The command cannot be carried out; [message] names the remedy. */
    data class Refuse(val message: String) : MemberDecision
}

/** Decides on [command] with the members of [status]. */
internal fun decide(command: MemberCommand, status: LogStatus): MemberDecision = when (command) {
    is AdmitControl -> decideAdmission(command, status.members)
    is RemoveControl -> decideRemoval(command, status)
}

private fun decideAdmission(command: AdmitControl, members: List<MemberStatus>): MemberDecision {
    val present = members.firstOrNull { it.id == command.id }
    val addressError = Address.parse(command.address).component2()
    val sameAddress = members.firstOrNull { it.address == command.address && it.id != command.inPlaceOf }
    return when {
        present != null -> decideRepeated(command, present, members)

        addressError != null -> MemberDecision.Refuse("the address ${command.address} $addressError")

        sameAddress != null -> MemberDecision.Refuse(
            "${sameAddress.id} is the member at ${command.address}; add: in place of '${sameAddress.id}'",
        )

        command.inPlaceOf != null && members.none { it.id == command.inPlaceOf } -> MemberDecision.Refuse(
            "${command.inPlaceOf} is no control member; show control lists the members",
        )

        else -> MemberDecision.Propose(
            MembershipChange.AddLearner(command.id, command.address, command.inPlaceOf),
            "${command.id} is admitted and votes once it has caught up; show control tells",
        )
    }
}

private fun decideRepeated(command: AdmitControl, present: MemberStatus, members: List<MemberStatus>) = when {
    present.address != command.address -> MemberDecision.Refuse(
        "${present.id} is the member at ${present.address}; remove it first to admit it at another address",
    )

    present.voter && members.any { it.id == command.inPlaceOf } -> MemberDecision.Refuse(
        "${present.id} votes and ${command.inPlaceOf} is a member too; use: remove control '${command.inPlaceOf}'",
    )

    else -> MemberDecision.InPlace("${present.id} is a member; show control tells whether it votes")
}

private fun decideRemoval(command: RemoveControl, status: LogStatus): MemberDecision = when {
    status.members.none { it.id == command.id } ->
        MemberDecision.InPlace("${command.id} is no control member; nothing is changed")

    command.id == status.memberId && status.members.size > 1 -> MemberDecision.Propose(
        MembershipChange.Remove(command.id),
        "${command.id} is removed; it led, and another member takes over",
    )

    else -> MemberDecision.Propose(MembershipChange.Remove(command.id), "${command.id} is removed")
}

/** The reply to an error; only errors which prove that nothing was appended are refusals. */
internal fun ProposeError.toMemberReply(): SubmitReply.Builder {
    val refused = this is ProposeError.InvalidChange || this is ProposeError.ChangeInProgress
    return SubmitReply
        .newBuilder()
        .setOutcome(if (refused) SubmitReply.Outcome.REFUSED else SubmitReply.Outcome.UNAVAILABLE)
        .setMessage(message)
}

/** Carries out [decision] with [change], and passes the reply on. */
internal fun carryOut(
    decision: MemberDecision,
    change: (MembershipChange, (Result<Long, ProposeError>) -> Unit) -> Unit,
    reply: (SubmitReply.Builder) -> Unit,
) = when (decision) {
    is MemberDecision.InPlace -> reply(accepted(decision.message).setRepeated(true))

    is MemberDecision.Refuse ->
        reply(SubmitReply.newBuilder().setOutcome(SubmitReply.Outcome.REFUSED).setMessage(decision.message))

    is MemberDecision.Propose -> change(decision.change) { result ->
        reply(result.fold({ accepted(decision.done) }, { it.toMemberReply() }))
    }
}

private fun accepted(message: String): SubmitReply.Builder =
    SubmitReply.newBuilder().setOutcome(SubmitReply.Outcome.ACCEPTED).setMessage(message)
