/*
 * Handling of append requests by a follower.
 */
package org.bramleyspur.log.consensus

/** Becomes a follower of the sender, which is the only leader of the current term. */
internal fun Transition.acceptLeader(envelope: Envelope) {
    check(state.role !is LeaderState) { "two leaders in term ${state.term}: this member and ${envelope.from}" }
    state = state.copy(
        role = Follower,
        leaderId = envelope.from,
        leaderAddress = envelope.fromAddress,
        lastLeaderContactMs = nowMs,
        electionTimerStartMs = nowMs,
    )
}

internal fun Transition.onAppendRequest(envelope: Envelope, request: AppendRequest) {
    acceptLeader(envelope)
    val reply = when {
        previousEntryMatches(request) -> {
            val lastNewIndex = request.previousIndex + request.entries.size
            appendMissing(request.entries)
            commitTo(minOf(request.commitIndex, lastNewIndex))
            AppendReply(state.term, success = true, matchIndex = lastNewIndex, round = request.round)
        }

        else -> AppendReply(state.term, success = false, matchIndex = retryIndex(request), round = request.round)
    }
    sendWhenSynced(envelope.from, envelope.fromAddress, reply)
}

/** Raft's log consistency check. Committed entries always match, also those that a snapshot has replaced. */
private fun Transition.previousEntryMatches(request: AppendRequest): Boolean =
    request.previousIndex <= state.commitIndex || state.log.term(request.previousIndex) == request.previousTerm

private fun Transition.appendMissing(entries: List<Entry>) {
    val missing = entries.dropWhile { it.index <= state.commitIndex || state.log.term(it.index) == it.term }
    if (missing.isNotEmpty()) appendToLog(missing)
}

/** Skips all entries of the conflicting term, so that the leader needs one round trip per term, not per entry. */
private fun Transition.retryIndex(request: AppendRequest): Long {
    if (request.previousIndex > state.log.lastIndex) return state.log.lastIndex + 1
    return maxOf(state.log.firstIndexOfTerm(request.previousIndex), state.commitIndex + 1)
}
