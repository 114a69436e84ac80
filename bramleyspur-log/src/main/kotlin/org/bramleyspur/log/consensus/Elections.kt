/*
 * Elections. A pre-vote comes first, so that a member that was cut off does not raise the term of a healthy majority.
 * A voter refuses votes while it hears a leader; the leader's lease rests on that refusal.
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
        timerMs = nowMs,
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
    val grants = role.grants.add(id)
    state = state.copy(role = PreCandidate(grants))
    if (grants.size >= state.membership.majority) startElection()
}

private fun Transition.startElection() {
    saveHardState(HardState(state.term + 1, votedFor = state.self))
    state = state.copy(role = Candidate(persistentSetOf(), state.lastSequence), timerMs = nowMs)
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
    val first = state.log.lastIndex + 1
    val peers = state.membership.ids().minus(state.self)
    val progress = peers.associateWith { Progress(matchIndex = 0, nextIndex = first) }.toPersistentMap()
    state = state.copy(
        role = Leading(nowMs, first, progress, rounds = persistentMapOf()),
        leaderId = state.self,
        leaderAddress = null,
    )
    effects += LeadershipWon(state.term)
    appendToLog(listOf(Entry(first, state.term, EntryKind.NO_OP, ByteArray(0))))
    startRound()
}

/**
 * Answers a vote request. The check for a heard leader comes before the term is taken over: a member that could
 * disturb a leader by its term alone would make the lease worthless.
 */
internal fun Transition.onVoteRequest(envelope: Envelope, request: VoteRequest) {
    val hearsLeader = state.role is Leading || nowMs - state.heardLeaderMs < state.settings.electionMinMs
    val upToDate = state.log.isNotAheadOf(request)
    if (request.preVote) {
        val granted = !hearsLeader && upToDate && request.term > state.term
        val term = if (granted) request.term else state.term
        return sendWhenSynced(envelope.from, envelope.fromAddress, VoteReply(term, granted, preVote = true))
    }
    if (hearsLeader) return
    if (request.term > state.term) becomeFollower(request.term)
    val free = state.hardState.votedFor == null || state.hardState.votedFor == envelope.from
    val granted = request.term == state.term && free && upToDate
    if (granted) {
        if (state.hardState.votedFor == null) saveHardState(HardState(state.term, votedFor = envelope.from))
        state = state.copy(role = Follower, timerMs = nowMs)
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
