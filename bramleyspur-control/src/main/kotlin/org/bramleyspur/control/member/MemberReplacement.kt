/*
 * Keeps the control log at its number of voters without an operator: admits instances that ask, gives votes, and
 * removes voters that stay silent once a replacement has caught up. Pure decisions of the leader; one change at a time.
 */
package org.bramleyspur.control.member

import org.bramleyspur.log.LogStatus
import org.bramleyspur.log.MemberStatus
import org.bramleyspur.log.consensus.MembershipChange

/**
 * Decides on the admission of the member [id] at [address]. A voter of another id at the same address has lost its disk
 * and is replaced; a learner there never had a vote and is removed.
 */
fun admit(status: LogStatus, id: String, address: String): Admission {
    val sameAddress = status.members.filter { it.address == address && it.id != id }
    val learner = sameAddress.firstOrNull { !it.voter }
    return when {
        status.members.any { it.id == id } -> Admission.Member
        learner != null -> Admission.Change(MembershipChange.Remove(learner.id))
        else -> Admission.Change(MembershipChange.AddLearner(id, address, sameAddress.firstOrNull()?.id))
    }
}

/** The next change of the membership towards [targetVoters] voters that answer, or null when none is due. */
fun nextMembershipChange(status: LogStatus, targetVoters: Int): MembershipChange? {
    val voters = status.members.filter { it.voter }
    val ready = status.members.firstOrNull { !it.voter && isCaughtUp(it) }
    val silentVoter = voters.filter { isSilent(it, VOTER_SILENT_MS) }.maxByOrNull { it.silentMs ?: 0 }
    val answering = voters.count { !isSilent(it, VOTER_SILENT_MS) }
    val silentLearner = status.members.firstOrNull { !it.voter && isSilent(it, LEARNER_SILENT_MS) }
    return when {
        ready != null && voters.size < targetVoters -> MembershipChange.Promote(ready.id)

        // With the silent voter gone, the answering ones are a majority on their own until the new one votes.
        silentVoter != null && (ready != null || voters.size > targetVoters) && answering * 2 > voters.size ->
            MembershipChange.Remove(silentVoter.id)

        silentLearner != null -> MembershipChange.Remove(silentLearner.id)

        else -> null
    }
}

private fun isCaughtUp(member: MemberStatus) =
    (member.lag ?: Long.MAX_VALUE) <= CAUGHT_UP_ENTRIES && !isSilent(member, ANSWERING_MS)

private fun isSilent(member: MemberStatus, limitMs: Long) = (member.silentMs ?: 0) > limitMs

/** Half of the lag at which the log accepts a promotion, so that the promotion is not refused at once. */
private const val CAUGHT_UP_ENTRIES = 50L

/** Longer than an election; a shorter pause of a voter costs nothing that its removal would give back. */
private const val VOTER_SILENT_MS = 2_000L
private const val ANSWERING_MS = 500L

/** A learner that is gone for good would otherwise stay in the list of members. */
private const val LEARNER_SILENT_MS = 20_000L
