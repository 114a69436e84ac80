/*
 * Messages between members, as the consensus rules see them. Message bodies carry no sender; [Envelope] does.
 */
package org.bramleyspur.log.consensus

/** A message of a given term. */
internal sealed interface Message {
    val term: Long
}

/** A [message] with its sender's id and `host:port`, and the member id it is meant for. */
internal data class Envelope(val from: String, val fromAddress: String, val to: String, val message: Message)

/** Asks for a vote. A pre-vote names the term that the sender would use and changes nothing at the receiver. */
internal data class VoteRequest(
    override val term: Long,
    val lastIndex: Long,
    val lastTerm: Long,
    val preVote: Boolean,
) : Message

/** Answers a [VoteRequest]. A granted pre-vote repeats the term of the request. */
internal data class VoteReply(override val term: Long, val granted: Boolean, val preVote: Boolean) : Message

/** Appends [entries] after the entry at [previousIndex] and starts or renews the receiver's hearing of the leader. */
internal data class AppendRequest(
    override val term: Long,
    val previousIndex: Long,
    val previousTerm: Long,
    val entries: List<Entry>,
    val commit: Long,
    val round: Long,
) : Message

/** Answers an [AppendRequest]: [matchIndex] is synced on success, and the index to retry from otherwise. */
internal data class AppendReply(override val term: Long, val success: Boolean, val matchIndex: Long, val round: Long) :
    Message

/** Part of the snapshot at [index], beginning at byte [offset]. */
internal class SnapshotChunk(
    override val term: Long,
    val index: Long,
    val indexTerm: Long,
    val offset: Long,
    val data: ByteArray,
    val last: Boolean,
    val membership: Membership,
) : Message

/** Answers a [SnapshotChunk] with the offset that the receiver expects next. */
internal data class SnapshotReply(override val term: Long, val nextOffset: Long, val installed: Boolean) : Message
