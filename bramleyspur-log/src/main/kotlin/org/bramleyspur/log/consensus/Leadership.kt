/*
 * The leader's rules: rounds of appends, acknowledgements, commit, lease and check-quorum.
 */
package org.bramleyspur.log.consensus

/** Rounds that can still be acknowledged; older ones are too old to renew a lease. */
private const val REMEMBERED_ROUNDS = 64

internal fun Transition.tickLeader(leading: Leading) {
    val heardMs = maxOf(state.majorityRoundMs(leading, nowMs) ?: leading.electedMs, leading.electedMs)
    if (nowMs - heardMs >= state.electionTimeoutMs) return becomeFollower(state.term)
    if (nowMs < leading.nextRoundMs) return
    startRound()
    continueReplacement()
}

/** Sends an append to every peer; its acknowledgements renew the lease from now on. */
internal fun Transition.startRound() {
    val leading = state.role as? Leading ?: return
    val round = leading.round + 1
    updateLeading {
        it.copy(
            round = round,
            rounds = it.rounds.put(round, nowMs).remove(round - REMEMBERED_ROUNDS),
            nextRoundMs = nowMs + state.settings.heartbeatMs,
        )
    }
    leading.progress.keys.forEach { sendHeartbeat(it) }
}

internal fun Transition.updateLeading(change: (Leading) -> Leading) {
    val leading = state.role as? Leading ?: return
    state = state.copy(role = change(leading))
}

internal fun Transition.updateProgress(id: String, change: (Progress) -> Progress) = updateLeading {
    val progress = it.progress[id]
    if (progress == null) it else it.copy(progress = it.progress.put(id, change(progress)))
}

private fun Transition.progress(id: String): Progress? = (state.role as? Leading)?.progress?.get(id)

/** Sends what [id] lacks, or an empty append when that is nothing. */
private fun Transition.sendHeartbeat(id: String) {
    val progress = progress(id) ?: return
    if (progress.transfer != null) {
        sendAppend(id, state.log.lastIndex + 1, emptyList())
        return resendChunk(id, progress.transfer)
    }
    if (!sendEntries(id)) sendProbe(id)
}

private fun Transition.sendProbe(id: String) {
    val progress = progress(id) ?: return
    if (state.log.term(progress.nextIndex - 1) == null) {
        startTransfer(id)
    } else {
        sendAppend(id, progress.nextIndex, emptyList())
    }
}

/** Sends entries as far as the window allows; returns whether any were sent. */
internal fun Transition.sendEntries(id: String): Boolean {
    var sent = false
    while (true) {
        val progress = progress(id) ?: return sent
        val inFlight = progress.nextIndex - progress.matchIndex - 1
        val room = state.settings.windowEntries - inFlight
        val blocked = progress.probing || progress.transfer != null || room <= 0
        if (blocked || state.log.term(progress.nextIndex - 1) == null) return sent
        val limit = minOf(room, state.settings.batchEntries.toLong()).toInt()
        val entries = state.log.slice(progress.nextIndex, limit, state.settings.batchBytes)
        if (entries.isEmpty()) return sent
        sendAppend(id, progress.nextIndex, entries)
        updateProgress(id) { it.copy(nextIndex = it.nextIndex + entries.size) }
        sent = true
    }
}

private fun Transition.sendAppend(id: String, nextIndex: Long, entries: List<Entry>) {
    val leading = state.role as? Leading ?: return
    val address = state.membership.address(id) ?: return
    val previousTerm = state.log.term(nextIndex - 1) ?: return
    send(id, address, AppendRequest(state.term, nextIndex - 1, previousTerm, entries, state.commit, leading.round))
}

internal fun Transition.propose(payloads: List<ByteArray>) {
    if (state.role !is Leading) {
        effects += Refused(ProposeError.NotLeader(state.leader))
        return
    }
    appendAsLeader(EntryKind.COMMAND, payloads)
}

/** Appends [payloads] to the log and sends them to the peers while the own write is in progress. */
internal fun Transition.appendAsLeader(kind: EntryKind, payloads: List<ByteArray>) {
    val first = state.log.lastIndex + 1
    effects += Accepted(first, state.term)
    appendToLog(payloads.mapIndexed { i, payload -> Entry(first + i, state.term, kind, payload) })
    (state.role as? Leading)?.progress?.keys?.forEach { sendEntries(it) }
}

internal fun Transition.onAppendReply(from: String, reply: AppendReply) {
    val leading = state.role as? Leading ?: return
    val progress = leading.progress[from] ?: return
    val sentMs = leading.rounds[reply.round]
    val ackedMs = listOfNotNull(progress.ackedRoundMs, sentMs).maxOrNull()
    updateProgress(from) { it.copy(ackedRoundMs = ackedMs) }
    when {
        reply.success -> onMatch(from, reply.matchIndex)
        progress.transfer == null -> onMismatch(from, reply.matchIndex)
    }
}

private fun Transition.onMatch(from: String, matchIndex: Long) {
    updateProgress(from) {
        it.copy(
            matchIndex = maxOf(it.matchIndex, matchIndex),
            nextIndex = maxOf(it.nextIndex, matchIndex + 1),
            probing = false,
            transfer = null,
        )
    }
    advanceCommit()
    sendEntries(from)
}

/**
 * Goes back to where the peer's log may match; the entries sent after that point are sent again. An answer that brings
 * the search no further is left to the next round: answering each repeated message at once would multiply messages.
 */
private fun Transition.onMismatch(from: String, retryFrom: Long) {
    val progress = progress(from) ?: return
    val next = retryFrom.coerceIn(progress.matchIndex + 1, state.log.lastIndex + 1)
    if (progress.probing && next >= progress.nextIndex) return
    updateProgress(from) { it.copy(nextIndex = next, probing = true) }
    sendProbe(from)
}

/**
 * Commits what a majority has synced, if it is of the current term. An entry of an earlier term on a majority can
 * still be replaced by another leader, so it is committed only together with a later entry of the current term.
 */
internal fun Transition.advanceCommit() {
    val leading = state.role as? Leading ?: return
    val voters = state.membership.voters.keys
    val synced = voters.map { if (it == state.self) state.syncedIndex else leading.progress[it]?.matchIndex ?: 0 }
    val index = synced.sortedDescending().getOrNull(state.membership.majority - 1) ?: return
    if (index <= state.commit || state.log.term(index) != state.term) return
    commitTo(index)
    if (!leading.ready) {
        updateLeading { it.copy(ready = true) }
        effects += LeadershipReady(state.term)
    }
    if (state.self !in voters && state.memberships.last().index <= state.commit) becomeFollower(state.term)
}
