/*
 * Rules of the leader: heartbeat rounds, log replication, commit, lease and check-quorum.
 */
package org.bramleyspur.log.consensus

/** Number of rounds whose send time is kept; an acknowledgement of an older round is too late to renew the lease. */
private const val MAX_TRACKED_ROUNDS = 64

internal fun Transition.tickLeader(leaderState: LeaderState) {
    val lastMajorityContactMs =
        maxOf(state.majorityAckedRoundMs(leaderState, nowMs) ?: leaderState.electedMs, leaderState.electedMs)
    if (nowMs - lastMajorityContactMs >= state.electionTimeoutMs) return becomeFollower(state.term)
    if (nowMs < leaderState.nextRoundMs) return
    startHeartbeatRound()
    continueReplacement()
}

/** Sends an append request to every peer; acknowledgements renew the lease from the time of sending. */
internal fun Transition.startHeartbeatRound() {
    val leaderState = state.role as? LeaderState ?: return
    val round = leaderState.round + 1
    updateLeaderState {
        it.copy(
            round = round,
            roundSentMs = it.roundSentMs.put(round, nowMs).remove(round - MAX_TRACKED_ROUNDS),
            nextRoundMs = nowMs + state.settings.heartbeatIntervalMs,
        )
    }
    leaderState.progress.keys.forEach { sendHeartbeat(it) }
}

internal fun Transition.updateLeaderState(change: (LeaderState) -> LeaderState) {
    val leaderState = state.role as? LeaderState ?: return
    state = state.copy(role = change(leaderState))
}

internal fun Transition.updateProgress(id: String, change: (Progress) -> Progress) = updateLeaderState {
    val progress = it.progress[id]
    if (progress == null) it else it.copy(progress = it.progress.put(id, change(progress)))
}

private fun Transition.progress(id: String): Progress? = (state.role as? LeaderState)?.progress?.get(id)

/** Sends the entries that [id] lacks, or an empty append request when there are none. */
private fun Transition.sendHeartbeat(id: String) {
    val progress = progress(id) ?: return
    if (progress.snapshotTransfer != null) {
        sendAppend(id, state.log.lastIndex + 1, emptyList())
        return resendChunk(id, progress.snapshotTransfer)
    }
    if (!sendEntries(id)) sendProbe(id)
}

private fun Transition.sendProbe(id: String) {
    val progress = progress(id) ?: return
    if (state.log.term(progress.nextIndex - 1) == null) {
        startSnapshotTransfer(id)
    } else {
        sendAppend(id, progress.nextIndex, emptyList())
    }
}

/** Sends entries as far as the in-flight limit allows; returns whether any were sent. */
internal fun Transition.sendEntries(id: String): Boolean {
    var sent = false
    while (true) {
        val progress = progress(id) ?: return sent
        val inFlight = progress.nextIndex - progress.matchIndex - 1
        val remainingWindow = state.settings.maxInFlightEntries - inFlight
        val inFlightBytes = state.log.payloadBytes(progress.matchIndex + 1, progress.nextIndex - 1)
        val windowFull = remainingWindow <= 0 || inFlightBytes >= state.settings.maxInFlightBytes
        val blocked = progress.probing || progress.snapshotTransfer != null || windowFull
        if (blocked || state.log.term(progress.nextIndex - 1) == null) return sent
        val limit = minOf(remainingWindow, state.settings.batchEntries.toLong()).toInt()
        val entries = state.log.slice(progress.nextIndex, limit, state.settings.batchBytes)
        if (entries.isEmpty()) return sent
        sendAppend(id, progress.nextIndex, entries)
        updateProgress(id) { it.copy(nextIndex = it.nextIndex + entries.size) }
        sent = true
    }
}

private fun Transition.sendAppend(id: String, nextIndex: Long, entries: List<Entry>) {
    val leaderState = state.role as? LeaderState ?: return
    val address = state.membership.address(id) ?: return
    val previousTerm = state.log.term(nextIndex - 1) ?: return
    send(
        id,
        address,
        AppendRequest(state.term, nextIndex - 1, previousTerm, entries, state.commitIndex, leaderState.round),
    )
}

internal fun Transition.propose(payloads: List<ByteArray>) {
    when {
        state.role !is LeaderState -> effects += Refused(ProposeError.NotLeader(state.leader))
        !hasRoomFor(payloads) -> effects += Refused(ProposeError.Overloaded)
        else -> appendAsLeader(EntryKind.COMMAND, payloads)
    }
}

/** An empty log takes any payload, so that one that is larger than the limit is not refused for good. */
private fun Transition.hasRoomFor(payloads: List<ByteArray>): Boolean {
    val bytes = state.log.payloadBytes
    return bytes == 0L || bytes + payloads.sumOf { it.size.toLong() } <= state.settings.maxLogBytes
}

/** Appends [payloads] to the log and sends them to the peers without waiting for the own write. */
internal fun Transition.appendAsLeader(kind: EntryKind, payloads: List<ByteArray>) {
    val first = state.log.lastIndex + 1
    effects += Accepted(first, state.term)
    appendToLog(payloads.mapIndexed { i, payload -> Entry(first + i, state.term, kind, payload) })
    (state.role as? LeaderState)?.progress?.keys?.forEach { sendEntries(it) }
}

internal fun Transition.onAppendReply(from: String, reply: AppendReply) {
    val leaderState = state.role as? LeaderState ?: return
    val progress = leaderState.progress[from] ?: return
    val sentMs = leaderState.roundSentMs[reply.round]
    val ackedMs = listOfNotNull(progress.ackedRoundMs, sentMs).maxOrNull()
    updateProgress(from) { it.copy(ackedRoundMs = ackedMs) }
    when {
        reply.success -> onMatch(from, reply.matchIndex)
        progress.snapshotTransfer == null -> onMismatch(from, reply.matchIndex)
    }
}

private fun Transition.onMatch(from: String, matchIndex: Long) {
    updateProgress(from) {
        it.copy(
            matchIndex = maxOf(it.matchIndex, matchIndex),
            nextIndex = maxOf(it.nextIndex, matchIndex + 1),
            probing = false,
            snapshotTransfer = null,
        )
    }
    advanceCommitIndex()
    sendEntries(from)
}

/**
 * Moves nextIndex back to where the peer's log may match; later entries are resent. A reply that does not move it
 * back further is left to the next round: probing at once for each duplicate reply would multiply messages.
 *
 * A peer that returned with an older disk lacks entries that it had acknowledged, so matchIndex moves back too. A late
 * reply from before a match does the same, until the next reply.
 */
private fun Transition.onMismatch(from: String, retryIndex: Long) {
    val progress = progress(from) ?: return
    val retryNextIndex = retryIndex.coerceIn(1, state.log.lastIndex + 1)
    if (progress.probing && retryNextIndex >= progress.nextIndex) return
    updateProgress(from) {
        val matchIndex = minOf(it.matchIndex, retryNextIndex - 1)
        it.copy(matchIndex = matchIndex, nextIndex = retryNextIndex, probing = true)
    }
    sendProbe(from)
}

/**
 * Commits the entries that a majority has synced, if the last one is of the current term. An entry of an earlier term
 * that is stored on a majority can still be overwritten by another leader, so it is committed only indirectly, by a
 * later entry of the current term.
 */
internal fun Transition.advanceCommitIndex() {
    val leaderState = state.role as? LeaderState ?: return
    val voters = state.membership.voters.keys
    val matchIndexes =
        voters.map { if (it == state.self) state.syncedIndex else leaderState.progress[it]?.matchIndex ?: 0 }
    val index = matchIndexes.sortedDescending().getOrNull(state.membership.majority - 1) ?: return
    if (index <= state.commitIndex || state.log.term(index) != state.term) return
    commitTo(index)
    if (!leaderState.ready) {
        updateLeaderState { it.copy(ready = true) }
        effects += LeadershipReady(state.term)
    }
    if (state.self !in voters && state.memberships.last().index <= state.commitIndex) becomeFollower(state.term)
}
