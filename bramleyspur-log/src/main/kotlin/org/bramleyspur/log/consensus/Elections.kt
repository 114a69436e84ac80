/*
 * Leader election. A pre-vote precedes it, so that a member that was partitioned does not raise the term of a healthy
 * majority. A voter refuses votes while it hears from a leader; the leader's lease relies on that refusal.
 */
package org.bramleyspur.log.consensus

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentMap

internal fun Transition.startPreVote(electionTimeoutMs: Long) {
    state = state.copy(
        role = PreCandidate(persistentSetOf()),
        leaderId = null,
        leaderAddress = null,
        electionTimerStartMs = nowMs,
        electionTimeoutMs = electionTimeoutMs,
    )
    requestVotes(state.term + 1, preVote = true)
    countPreVote(state.self)
}

private fun Transition.requestVotes(term: Long, preVote: Boolean) {
    val request = VoteRequest(term, state.log.lastIndex, state.log.lastTerm, preVote)
    for ((id, address) in state.membership.voters) {
        if (id != state.self) sendWhenSynced(id, address, request)
    }
}

private fun Transition.countPreVote(id: String) {
    val role = state.role as? PreCandidate ?: return
    if (id !in state.membership.voters) return
    val preVotes = role.preVotes.add(id)
    state = state.copy(role = PreCandidate(preVotes))
    if (preVotes.size >= state.membership.majority) startElection()
}

private fun Transition.startElection() {
    saveHardState(HardState(state.term + 1, votedFor = state.self))
    state = state.copy(role = Candidate(persistentSetOf(), state.lastSequence), electionTimerStartMs = nowMs)
    requestVotes(state.term, preVote = false)
}

internal fun Transition.countVote(id: String) {
    val role = state.role as? Candidate ?: return
    if (id !in state.membership.voters) return
    val votes = role.votes.add(id)
    state = state.copy(role = role.copy(votes = votes))
    if (state.self in votes && votes.size >= state.membership.majority) becomeLeader()
}

private fun Transition.becomeLeader() {
    val firstIndex = state.log.lastIndex + 1
    val peers = state.membership.ids().minus(state.self)
    val progress = peers.associateWith { Progress(matchIndex = 0, nextIndex = firstIndex) }.toPersistentMap()
    state = state.copy(
        role = LeaderState(nowMs, firstIndex, progress, roundSentMs = persistentMapOf()),
        leaderId = state.self,
        leaderAddress = null,
    )
    effects += LeadershipWon(state.term)
    appendToLog(listOf(Entry(firstIndex, state.term, EntryKind.NO_OP, ByteArray(0))))
    startHeartbeatRound()
}

/**
 * Responds to a vote request. Recent contact with a leader is checked before the term of the request is adopted: if a
 * higher term alone could depose a leader, its lease would not be safe.
 */
internal fun Transition.onVoteRequest(envelope: Envelope, request: VoteRequest) {
    val hasRecentLeaderContact =
        state.role is LeaderState || nowMs - state.lastLeaderContactMs < state.settings.minElectionTimeoutMs
    val candidateUpToDate = state.log.isNotAheadOf(request)
    if (request.preVote) {
        val granted = !hasRecentLeaderContact && candidateUpToDate && request.term > state.term
        val term = if (granted) request.term else state.term
        return sendWhenSynced(envelope.from, envelope.fromAddress, VoteReply(term, granted, preVote = true))
    }
    if (hasRecentLeaderContact) return
    if (request.term > state.term) becomeFollower(request.term)
    val voteAvailable = state.hardState.votedFor == null || state.hardState.votedFor == envelope.from
    val granted = request.term == state.term && voteAvailable && candidateUpToDate
    if (granted) {
        if (state.hardState.votedFor == null) saveHardState(HardState(state.term, votedFor = envelope.from))
        state = state.copy(role = Follower, electionTimerStartMs = nowMs)
    }
    sendWhenSynced(envelope.from, envelope.fromAddress, VoteReply(state.term, granted, preVote = false))
}

private fun EntryLog.isNotAheadOf(request: VoteRequest): Boolean =
    request.lastTerm > lastTerm || (request.lastTerm == lastTerm && request.lastIndex >= lastIndex)

internal fun Transition.onVoteReply(from: String, reply: VoteReply) {
    when {
        !reply.granted -> Unit
        reply.preVote -> if (reply.term == state.term + 1) countPreVote(from)
        reply.term == state.term -> countVote(from)
    }
}
