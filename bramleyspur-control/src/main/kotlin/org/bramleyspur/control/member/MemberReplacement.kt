/*
 * Maintains the target number of voters of the control log without an operator: admits instances that request it,
 * promotes learners, and removes unresponsive voters once a replacement has caught up. Pure functions that the leader
 * calls; there is one membership change at a time.
 */
package org.bramleyspur.control.member

import org.bramleyspur.log.LogStatus
import org.bramleyspur.log.MemberStatus
import org.bramleyspur.log.consensus.MembershipChange

/**
 * Decides on the admission of the member [id] at [address]. A voter with another id at the same address has lost its
 * disk and is replaced; a learner there never had a vote and is removed.
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

/**
 * Whether this instance has to request admission. A member that was removed while it did not run still lists itself: no
 * leader sends it the entry that removed it. A member that hears from no leader therefore asks, too.
 */
fun needsAdmission(status: LogStatus): Boolean = status.members.none { it.id == status.memberId } ||
    (status.sinceLeaderContactMs ?: 0) > LEADER_SILENCE_LIMIT_MS

/** The next membership change towards [targetVoters] responsive voters; null if none is due. */
fun nextMembershipChange(status: LogStatus, targetVoters: Int): MembershipChange? {
    val voters = status.members.filter { it.voter }
    val readyLearner = status.members.firstOrNull { !it.voter && isCaughtUp(it) }
    val unresponsiveVoter = voters
        .filter { isUnresponsive(it, VOTER_UNRESPONSIVE_LIMIT_MS) }
        .maxByOrNull { it.sinceLastAckMs ?: 0 }
    val responsive = voters.count { !isUnresponsive(it, VOTER_UNRESPONSIVE_LIMIT_MS) }
    val unresponsiveLearner =
        status.members.firstOrNull { !it.voter && isUnresponsive(it, LEARNER_UNRESPONSIVE_LIMIT_MS) }
    return when {
        readyLearner != null && voters.size < targetVoters -> MembershipChange.Promote(readyLearner.id)

        // Without the unresponsive voter, the responsive ones must be a majority until the new member has a vote.
        unresponsiveVoter != null && (readyLearner != null || voters.size > targetVoters) &&
            responsive * 2 > voters.size ->
            MembershipChange.Remove(unresponsiveVoter.id)

        unresponsiveLearner != null -> MembershipChange.Remove(unresponsiveLearner.id)

        else -> null
    }
}

private fun isCaughtUp(member: MemberStatus) =
    (member.lag ?: Long.MAX_VALUE) <= MAX_CAUGHT_UP_LAG_ENTRIES && !isUnresponsive(member, MAX_ACK_AGE_MS)

private fun isUnresponsive(member: MemberStatus, limitMs: Long) = (member.sinceLastAckMs ?: 0) > limitMs

/** Half of the lag up to which the log accepts a promotion, so that the promotion is not refused. */
private const val MAX_CAUGHT_UP_LAG_ENTRIES = 50L

/** Longer than an election; removing a voter for a shorter pause would gain nothing. */
private const val VOTER_UNRESPONSIVE_LIMIT_MS = 2_000L

/** Longer than an election, in which no leader could admit an instance. */
private const val LEADER_SILENCE_LIMIT_MS = 2_000L
private const val MAX_ACK_AGE_MS = 500L

/** Without this limit, a learner that never returns would remain a member. */
private const val LEARNER_UNRESPONSIVE_LIMIT_MS = 20_000L
