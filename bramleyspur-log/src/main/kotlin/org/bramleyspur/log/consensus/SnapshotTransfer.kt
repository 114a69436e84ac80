/*
 * Transfer of a snapshot to a peer that needs entries which the leader has compacted. One chunk is in flight at a time.
 * The receiver reports the offset that it expects, so a transfer resumes after lost or duplicated messages.
 */
package org.bramleyspur.log.consensus

import kotlinx.collections.immutable.persistentListOf

/** Heartbeat intervals after which an unacknowledged chunk is resent. */
private const val RESEND_AFTER_HEARTBEATS = 3

internal fun Transition.startSnapshotTransfer(id: String) {
    val snapshot = state.snapshot ?: return
    sendChunk(id, SnapshotTransfer(snapshot, offset = 0, sentMs = nowMs))
}

internal fun Transition.resendChunk(id: String, transfer: SnapshotTransfer) {
    if (nowMs - transfer.sentMs >= RESEND_AFTER_HEARTBEATS * state.settings.heartbeatIntervalMs) sendChunk(id, transfer)
}

private fun Transition.sendChunk(id: String, transfer: SnapshotTransfer) {
    val address = state.membership.address(id) ?: return
    val snapshot = transfer.snapshot
    val from = transfer.offset.toInt()
    val end = minOf(from + state.settings.snapshotChunkBytes, snapshot.data.size)
    updateProgress(id) { it.copy(snapshotTransfer = transfer.copy(sentMs = nowMs)) }
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
 * Sends the chunk that the peer expects. When the snapshot is installed, the transfer ends without raising the match
 * index: a delayed reply may belong to another snapshot, so the next append request determines what the peer holds.
 */
internal fun Transition.onSnapshotReply(from: String, reply: SnapshotReply) {
    val transfer = (state.role as? LeaderState)?.progress?.get(from)?.snapshotTransfer ?: return
    when {
        reply.installed -> {
            updateProgress(from) {
                it.copy(snapshotTransfer = null, probing = true, nextIndex = transfer.snapshot.index + 1)
            }
            startHeartbeatRound()
        }

        reply.nextOffset == transfer.offset -> Unit

        reply.nextOffset in 0..transfer.snapshot.data.size -> sendChunk(from, transfer.copy(offset = reply.nextOffset))
    }
}

internal fun Transition.onSnapshotChunk(envelope: Envelope, chunk: SnapshotChunk) {
    acceptLeader(envelope)
    val installed = chunk.lastIncludedIndex <= state.commitIndex || receiveChunk(envelope.from, chunk)
    val nextOffset = state.incomingSnapshot?.size ?: 0
    sendWhenSynced(envelope.from, envelope.fromAddress, SnapshotReply(state.term, nextOffset, installed))
}

/** Adds the chunk if it is the expected one; returns whether the snapshot is complete and installed. */
private fun Transition.receiveChunk(from: String, chunk: SnapshotChunk): Boolean {
    val current = state.incomingSnapshot
    val isSameSnapshot = current?.from == from &&
        current.lastIncludedIndex == chunk.lastIncludedIndex &&
        current.lastIncludedTerm == chunk.lastIncludedTerm
    val incoming =
        if (isSameSnapshot) current!! else IncomingSnapshot(from, chunk.lastIncludedIndex, chunk.lastIncludedTerm)
    state = state.copy(incomingSnapshot = incoming)
    if (chunk.offset != incoming.size) return false
    val extended = incoming.copy(
        size = incoming.size + chunk.data.size,
        chunks = incoming.chunks.add(chunk.data),
    )
    state = state.copy(incomingSnapshot = extended)
    if (chunk.isLast) {
        installSnapshot(
            Snapshot(chunk.lastIncludedIndex, chunk.lastIncludedTerm, chunk.membership, concatenate(extended)),
        )
    }
    return chunk.isLast
}

private fun concatenate(incoming: IncomingSnapshot): ByteArray {
    val data = ByteArray(incoming.size.toInt())
    var offset = 0
    for (chunk in incoming.chunks) {
        chunk.copyInto(data, offset)
        offset += chunk.size
    }
    return data
}

/** Installs [snapshot]. Later log entries are kept only if the own log matches the snapshot's last entry. */
private fun Transition.installSnapshot(snapshot: Snapshot) {
    val logMatches = state.log.term(snapshot.index) == snapshot.term
    val laterMemberships = if (logMatches) state.memberships.filter { it.index > snapshot.index } else emptyList()
    state = state.copy(
        incomingSnapshot = null,
        snapshot = snapshot,
        log = if (logMatches) state.log else EntryLog(snapshot.index, snapshot.term),
        memberships = persistentListOf(IndexedMembership(snapshot.index, snapshot.membership)).addAll(laterMemberships),
        commitIndex = snapshot.index,
    )
    if (!logMatches) capSyncedIndex(snapshot.index)
    effects += Restore(snapshot)
    persist { Persist(it, snapshot = snapshot, resetLog = !logMatches) }
}
