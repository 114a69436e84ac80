/*
 * Messages between members. The sender is part of the [Envelope], not of the message body.
 */
package org.bramleyspur.log.consensus

internal sealed interface Message {
    val term: Long
}

/** A [message] with the id and `host:port` of its sender and the id of the recipient. */
internal data class Envelope(val from: String, val fromAddress: String, val to: String, val message: Message)

/** Requests a vote. A pre-vote names the term that the sender would use and changes no state at the receiver. */
internal data class VoteRequest(
    override val term: Long,
    val lastIndex: Long,
    val lastTerm: Long,
    val preVote: Boolean,
) : Message

/** Response to a [VoteRequest]. A granted pre-vote repeats the term of the request. */
internal data class VoteReply(override val term: Long, val granted: Boolean, val preVote: Boolean) : Message

/** Appends [entries] after the entry at [previousIndex]; also serves as the leader's heartbeat. */
internal data class AppendRequest(
    override val term: Long,
    val previousIndex: Long,
    val previousTerm: Long,
    val entries: List<Entry>,
    val commitIndex: Long,
    val round: Long,
) : Message

/** Response to an [AppendRequest]: [matchIndex] is the synced index on success, else the index to retry from. */
internal data class AppendReply(override val term: Long, val success: Boolean, val matchIndex: Long, val round: Long) :
    Message

/** Part of the snapshot up to [lastIncludedIndex], beginning at byte [offset]. */
internal class SnapshotChunk(
    override val term: Long,
    val lastIncludedIndex: Long,
    val lastIncludedTerm: Long,
    val offset: Long,
    val data: ByteArray,
    val isLast: Boolean,
    val membership: Membership,
) : Message

/** Response to a [SnapshotChunk] with the offset that the receiver expects next. */
internal data class SnapshotReply(override val term: Long, val nextOffset: Long, val installed: Boolean) : Message
