/*
 * A follower's rules for appended entries.
 */
package org.bramleyspur.log.consensus

/** Follows the sender, which is the one leader of the current term. */
internal fun Transition.acceptLeader(envelope: Envelope) {
    check(state.role !is Leading) { "${envelope.from} leads term ${state.term} as well as this member" }
    state = state.copy(
        role = Follower,
        leaderId = envelope.from,
        leaderAddress = envelope.fromAddress,
        heardLeaderMs = nowMs,
        timerMs = nowMs,
    )
}

internal fun Transition.onAppendRequest(envelope: Envelope, request: AppendRequest) {
    acceptLeader(envelope)
    val reply = when {
        matches(request) -> {
            val last = request.previousIndex + request.entries.size
            appendMissing(request.entries)
            commitTo(minOf(request.commit, last))
            AppendReply(state.term, success = true, matchIndex = last, round = request.round)
        }

        else -> AppendReply(state.term, success = false, matchIndex = retryFrom(request), round = request.round)
    }
    sendWhenSynced(envelope.from, envelope.fromAddress, reply)
}

/** Whether the own log holds the entry before the appended ones. What a snapshot covers is committed and matches. */
private fun Transition.matches(request: AppendRequest): Boolean =
    request.previousIndex <= state.commit || state.log.term(request.previousIndex) == request.previousTerm

private fun Transition.appendMissing(entries: List<Entry>) {
    val missing = entries.dropWhile { it.index <= state.commit || state.log.term(it.index) == it.term }
    if (missing.isNotEmpty()) appendToLog(missing)
}

/** Skips the whole conflicting term, so that the leader needs one round trip per term and not per entry. */
private fun Transition.retryFrom(request: AppendRequest): Long {
    if (request.previousIndex > state.log.lastIndex) return state.log.lastIndex + 1
    return maxOf(state.log.firstIndexOfTerm(request.previousIndex), state.commit + 1)
}
