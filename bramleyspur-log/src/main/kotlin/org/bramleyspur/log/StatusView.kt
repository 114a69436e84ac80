package org.bramleyspur.log

import org.bramleyspur.log.consensus.Candidate
import org.bramleyspur.log.consensus.ConsensusState
import org.bramleyspur.log.consensus.Follower
import org.bramleyspur.log.consensus.Leader
import org.bramleyspur.log.consensus.LeaderState
import org.bramleyspur.log.consensus.PreCandidate

internal fun logStatus(state: ConsensusState, leader: Leader?, appliedIndex: Long, nowMs: Long) = LogStatus(
    memberId = state.self,
    term = state.term,
    role = memberRole(state),
    leader = leader,
    lastIndex = state.log.lastIndex,
    commitIndex = state.commitIndex,
    appliedIndex = appliedIndex,
    snapshotIndex = state.snapshot?.index ?: 0,
    members = members(state, nowMs),
    sinceLeaderContactMs = if (state.role is LeaderState) null else nowMs - state.lastLeaderContactMs,
)

private fun memberRole(state: ConsensusState): MemberRole = when (state.role) {
    is LeaderState -> MemberRole.LEADER
    is Candidate, is PreCandidate -> MemberRole.CANDIDATE
    is Follower -> if (state.self in state.membership.voters) MemberRole.FOLLOWER else MemberRole.LEARNER
}

private fun members(state: ConsensusState, nowMs: Long): List<MemberStatus> {
    val membership = state.membership
    val addresses = membership.voters + membership.learners
    return addresses.map { (id, address) ->
        MemberStatus(id, address, id in membership.voters, lag(state, id), sinceLastAckMs(state, id, nowMs))
    }
}

private fun lag(state: ConsensusState, id: String): Long? {
    val leaderState = state.role as? LeaderState ?: return null
    val syncedIndex = if (id == state.self) state.syncedIndex else leaderState.progress[id]?.matchIndex
    return syncedIndex?.let { state.log.lastIndex - it }
}

private fun sinceLastAckMs(state: ConsensusState, id: String, nowMs: Long): Long? {
    val leaderState = state.role as? LeaderState ?: return null
    return if (id == state.self) 0 else leaderState.progress[id]?.ackedRoundMs?.let { nowMs - it }
}
