/*
 * Conversion between consensus messages and the generated Protocol Buffers messages. The first byte of an entry's
 * payload on the wire is the code of its kind.
 */
package org.bramleyspur.log

import com.google.protobuf.ByteString
import com.google.protobuf.UnsafeByteOperations
import org.bramleyspur.log.consensus.AppendReply
import org.bramleyspur.log.consensus.AppendRequest
import org.bramleyspur.log.consensus.Entry
import org.bramleyspur.log.consensus.EntryKind
import org.bramleyspur.log.consensus.Envelope
import org.bramleyspur.log.consensus.Membership
import org.bramleyspur.log.consensus.SnapshotChunk
import org.bramleyspur.log.consensus.SnapshotReply
import org.bramleyspur.log.consensus.VoteReply
import org.bramleyspur.log.consensus.VoteRequest
import org.bramleyspur.protocol.ConsensusMessage
import org.bramleyspur.protocol.LogEntry
import org.bramleyspur.protocol.SnapshotRequest
import org.bramleyspur.protocol.AppendReply as WireAppendReply
import org.bramleyspur.protocol.AppendRequest as WireAppendRequest
import org.bramleyspur.protocol.SnapshotReply as WireSnapshotReply
import org.bramleyspur.protocol.VoteReply as WireVoteReply
import org.bramleyspur.protocol.VoteRequest as WireVoteRequest

internal fun Envelope.toWire(): ConsensusMessage {
    val builder = ConsensusMessage.newBuilder().setFrom(from).setFromAddress(fromAddress).setTo(to)
    when (val body = message) {
        is VoteRequest -> builder.setVoteRequest(body.toWire(from))
        is VoteReply -> builder.setVoteReply(body.toWire())
        is AppendRequest -> builder.setAppendRequest(body.toWire(from))
        is AppendReply -> builder.setAppendReply(body.toWire())
        is SnapshotChunk -> builder.setSnapshotRequest(body.toWire(from))
        is SnapshotReply -> builder.setSnapshotReply(body.toWire())
    }
    return builder.build()
}

/** Returns the message, or null when it has no known body or a malformed entry. */
internal fun ConsensusMessage.toEnvelope(): Envelope? {
    val body = when (kindCase) {
        ConsensusMessage.KindCase.VOTE_REQUEST -> voteRequest.toMessage()
        ConsensusMessage.KindCase.VOTE_REPLY -> voteReply.toMessage()
        ConsensusMessage.KindCase.APPEND_REQUEST -> appendRequest.toMessage()
        ConsensusMessage.KindCase.APPEND_REPLY -> appendReply.toMessage()
        ConsensusMessage.KindCase.SNAPSHOT_REQUEST -> snapshotRequest.toMessage()
        ConsensusMessage.KindCase.SNAPSHOT_REPLY -> snapshotReply.toMessage()
        else -> null
    }
    return body?.let { Envelope(from, fromAddress, to, it) }
}

private fun VoteRequest.toWire(candidate: String) = WireVoteRequest.newBuilder()
    .setTerm(term).setCandidate(candidate).setLastIndex(lastIndex).setLastTerm(lastTerm).setPreVote(preVote).build()

private fun WireVoteRequest.toMessage() = VoteRequest(term, lastIndex, lastTerm, preVote)

private fun VoteReply.toWire() =
    WireVoteReply.newBuilder().setTerm(term).setGranted(granted).setPreVote(preVote).build()

private fun WireVoteReply.toMessage() = VoteReply(term, granted, preVote)

private fun AppendRequest.toWire(leader: String) = WireAppendRequest.newBuilder()
    .setTerm(term).setLeader(leader).setPreviousIndex(previousIndex).setPreviousTerm(previousTerm)
    .addAllEntries(entries.map { it.toWire() }).setCommitIndex(commitIndex).setRound(round).build()

private fun WireAppendRequest.toMessage(): AppendRequest? {
    val read = entriesList.mapIndexed { i, entry -> entry.toEntry().takeIf { entry.index == previousIndex + 1 + i } }
    if (null in read) return null
    return AppendRequest(term, previousIndex, previousTerm, read.filterNotNull(), commitIndex, round)
}

private fun Entry.toWire(): LogEntry {
    val code = ByteString.copyFrom(byteArrayOf(kind.code))
    val bytes = code.concat(UnsafeByteOperations.unsafeWrap(payload))
    return LogEntry.newBuilder().setIndex(index).setTerm(term).setPayload(bytes).build()
}

private fun LogEntry.toEntry(): Entry? {
    if (payload.isEmpty) return null
    val kind = EntryKind.of(payload.byteAt(0)) ?: return null
    return Entry(index, term, kind, payload.substring(1).toByteArray())
}

private fun AppendReply.toWire() = WireAppendReply.newBuilder()
    .setTerm(term).setSuccess(success).setMatchIndex(matchIndex).setRound(round).build()

private fun WireAppendReply.toMessage() = AppendReply(term, success, matchIndex, round)

private fun SnapshotChunk.toWire(leader: String) = SnapshotRequest.newBuilder()
    .setTerm(term).setLeader(leader).setLastIndex(lastIncludedIndex).setLastTerm(lastIncludedTerm).setOffset(offset)
    .setData(UnsafeByteOperations.unsafeWrap(data)).setLast(isLast)
    .addAllVoters(membership.voterLines()).addAllLearners(membership.learnerLines()).build()

private fun SnapshotRequest.toMessage() = SnapshotChunk(
    term,
    lastIndex,
    lastTerm,
    offset,
    data.toByteArray(),
    last,
    Membership.decode(votersList + learnersList),
)

private fun SnapshotReply.toWire() =
    WireSnapshotReply.newBuilder().setTerm(term).setNextOffset(nextOffset).setInstalled(installed).build()

private fun WireSnapshotReply.toMessage() = SnapshotReply(term, nextOffset, installed)
