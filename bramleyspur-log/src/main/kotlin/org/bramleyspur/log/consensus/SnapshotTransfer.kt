/*
 * Transfer of a snapshot to a peer that needs entries which the leader has compacted. One chunk is in flight at a time;
 * the receiver names the offset it expects, so a transfer resumes after lost or repeated messages.
 */
package org.bramleyspur.log.consensus

import kotlinx.collections.immutable.persistentListOf

/** Rounds after which an unanswered chunk is sent again. */
private const val RESEND_ROUNDS = 3

internal fun Transition.startTransfer(id: String) {
    val snapshot = state.snapshot ?: return
    sendChunk(id, Transfer(snapshot, offset = 0, sentMs = nowMs))
}

internal fun Transition.resendChunk(id: String, transfer: Transfer) {
    if (nowMs - transfer.sentMs >= RESEND_ROUNDS * state.settings.heartbeatMs) sendChunk(id, transfer)
}

private fun Transition.sendChunk(id: String, transfer: Transfer) {
    val address = state.membership.address(id) ?: return
    val snapshot = transfer.snapshot
    val from = transfer.offset.toInt()
    val end = minOf(from + state.settings.chunkBytes, snapshot.data.size)
    updateProgress(id) { it.copy(transfer = transfer.copy(sentMs = nowMs)) }
    val chunk = SnapshotChunk(
        state.term,
        snapshot.index,
        snapshot.term,
        transfer.offset,
        snapshot.data.copyOfRange(from, end),
        end == snapshot.data.size,
        snapshot.membership,
    )
    send(id, address, chunk)
}

/**
 * Sends the chunk that the peer expects. An installed snapshot only ends the transfer: a late answer may speak of
 * another snapshot, so what the peer holds is settled by the next append.
 */
internal fun Transition.onSnapshotReply(from: String, reply: SnapshotReply) {
    val transfer = (state.role as? Leading)?.progress?.get(from)?.transfer ?: return
    when {
        reply.installed -> {
            updateProgress(from) { it.copy(transfer = null, probing = true, nextIndex = transfer.snapshot.index + 1) }
            startRound()
        }

        reply.nextOffset == transfer.offset -> Unit

        reply.nextOffset in 0..transfer.snapshot.data.size -> sendChunk(from, transfer.copy(offset = reply.nextOffset))
    }
}

internal fun Transition.onSnapshotChunk(envelope: Envelope, chunk: SnapshotChunk) {
    acceptLeader(envelope)
    val installed = chunk.index <= state.commit || receiveChunk(envelope.from, chunk)
    val nextOffset = state.incoming?.size ?: 0
    sendWhenSynced(envelope.from, envelope.fromAddress, SnapshotReply(state.term, nextOffset, installed))
}

/** Adds the chunk if it is the expected one; returns whether the snapshot is complete and installed. */
private fun Transition.receiveChunk(from: String, chunk: SnapshotChunk): Boolean {
    val current = state.incoming
    val same = current?.from == from && current.index == chunk.index && current.indexTerm == chunk.indexTerm
    val incoming = if (same) current!! else Incoming(from, chunk.index, chunk.indexTerm)
    state = state.copy(incoming = incoming)
    if (chunk.offset != incoming.size) return false
    val extended = incoming.copy(
        size = incoming.size + chunk.data.size,
        chunks = incoming.chunks.add(chunk.data),
    )
    state = state.copy(incoming = extended)
    if (chunk.last) install(Snapshot(chunk.index, chunk.indexTerm, chunk.membership, joined(extended)))
    return chunk.last
}

private fun joined(incoming: Incoming): ByteArray {
    val data = ByteArray(incoming.size.toInt())
    var offset = 0
    for (chunk in incoming.chunks) {
        chunk.copyInto(data, offset)
        offset += chunk.size
    }
    return data
}

/** Takes over [snapshot]. Log entries after it stay only if the own log agrees with it. */
private fun Transition.install(snapshot: Snapshot) {
    val agrees = state.log.term(snapshot.index) == snapshot.term
    val later = if (agrees) state.memberships.filter { it.index > snapshot.index } else emptyList()
    state = state.copy(
        incoming = null,
        snapshot = snapshot,
        log = if (agrees) state.log else EntryLog(snapshot.index, snapshot.term),
        memberships = persistentListOf(MembershipAt(snapshot.index, snapshot.membership)).addAll(later),
        commit = snapshot.index,
    )
    if (!agrees) capSyncedIndex(snapshot.index)
    effects += Restore(snapshot)
    persist { Persist(it, snapshot = snapshot, resetLog = !agrees) }
}
