/*
 * The complete consensus state of one member. It is immutable; [step] returns the next state.
 */
package org.bramleyspur.log.consensus

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf

/** Raft's persistent state besides the log: the current term and the vote. */
internal data class HardState(val term: Long, val votedFor: String?)

/** The state of the state machine after applying the entry at [index]. The bytes of [data] are never modified. */
internal class Snapshot(val index: Long, val term: Long, val membership: Membership, val data: ByteArray)

/** A membership and the [index] of the log entry with which it took effect. */
internal data class IndexedMembership(val index: Long, val membership: Membership)

/** Role of a member in its current term. */
internal sealed interface Role

/** Follows a leader or waits for one to be elected. */
internal data object Follower : Role

/** Collects pre-votes, which tell whether it could win an election. */
internal data class PreCandidate(val preVotes: PersistentSet<String>) : Role

/** Collects votes. Its own vote counts once the write [voteSequence] is synced. */
internal data class Candidate(val votes: PersistentSet<String>, val voteSequence: Long) : Role

/**
 * Leads the current term.
 *
 * @property round number of the newest heartbeat round
 * @property roundSentMs send times by round number, for the rounds that can still be acknowledged
 * @property ready whether an entry of the current term has been committed
 */
internal data class LeaderState(
    val electedMs: Long,
    val firstIndex: Long,
    val progress: PersistentMap<String, Progress>,
    val round: Long = 0,
    val roundSentMs: PersistentMap<Long, Long> = persistentMapOf(),
    val nextRoundMs: Long = electedMs,
    val ready: Boolean = false,
) : Role

/**
 * Replication progress of a peer, as known to the leader.
 *
 * @property matchIndex highest index known to be synced at the peer
 * @property nextIndex first index to send
 * @property probing whether no entries are sent until the peer's log is known to match below [nextIndex]
 * @property ackedRoundMs send time of the newest round that the peer acknowledged; null before the first one
 * @property snapshotTransfer snapshot that is being sent to the peer instead of entries
 */
internal data class Progress(
    val matchIndex: Long,
    val nextIndex: Long,
    val probing: Boolean = false,
    val ackedRoundMs: Long? = null,
    val snapshotTransfer: SnapshotTransfer? = null,
)

/** An outgoing snapshot, acknowledged by the peer up to byte [offset]. */
internal data class SnapshotTransfer(val snapshot: Snapshot, val offset: Long, val sentMs: Long)

/** A partly received snapshot from the leader [from]; [chunks] hold its first [size] bytes. */
internal data class IncomingSnapshot(
    val from: String,
    val lastIncludedIndex: Long,
    val lastIncludedTerm: Long,
    val size: Long = 0,
    val chunks: PersistentList<ByteArray> = persistentListOf(),
)

/** A message that is held back until the write [sequence] is synced. */
internal data class DeferredSend(val sequence: Long, val send: Send)

/** A write that is not synced yet; once it is, the log is synced up to [lastIndex]. */
internal data class PendingWrite(val sequence: Long, val lastIndex: Long)

/**
 * Consensus state of a member.
 *
 * @property memberships the snapshot's membership and those of the later entries, oldest first; the last one applies
 * @property lastSequence sequence number of the newest [Persist]
 * @property syncedIndex highest index of the own log that is synced
 * @property lastLeaderContactMs time of the last message from a leader; initially the start of the process, since the
 * member may have heard from a leader just before the restart
 * @property electionTimerStartMs time at which the election timer was last reset
 */
internal data class ConsensusState(
    val self: String,
    val settings: ConsensusSettings,
    val hardState: HardState,
    val log: EntryLog,
    val snapshot: Snapshot?,
    val memberships: PersistentList<IndexedMembership>,
    val commitIndex: Long,
    val lastLeaderContactMs: Long,
    val electionTimerStartMs: Long,
    val electionTimeoutMs: Long,
    val syncedIndex: Long = log.lastIndex,
    val role: Role = Follower,
    val leaderId: String? = null,
    val leaderAddress: String? = null,
    val lastSequence: Long = 0,
    val syncedSequence: Long = 0,
    val pendingWrites: PersistentList<PendingWrite> = persistentListOf(),
    val deferredSends: PersistentList<DeferredSend> = persistentListOf(),
    val incomingSnapshot: IncomingSnapshot? = null,
) {
    val term: Long get() = hardState.term
    val membership: Membership get() = memberships.last().membership
    val leader: Leader? get() = leaderId?.let { Leader(it, leaderAddress ?: membership.address(it).orEmpty()) }

    /** Returns the index after which entries are kept once a snapshot at [snapshotIndex] has been saved. */
    fun trailingBase(snapshotIndex: Long): Long =
        log.trailingBase(snapshotIndex, settings.trailingEntries, settings.trailingBytes)

    /** Send time of the newest round that a majority acknowledged, or null when there is none. */
    fun majorityAckedRoundMs(leaderState: LeaderState, nowMs: Long): Long? {
        val acked = membership.voters.keys.map { if (it == self) nowMs else leaderState.progress[it]?.ackedRoundMs }
        return acked.sortedByDescending { it ?: Long.MIN_VALUE }.getOrNull(membership.majority - 1)
    }

    /**
     * Whether no other member can be the leader at [nowMs]. The lease is not valid until the first entry of the own
     * term is committed, since entries of earlier terms may not have been applied before.
     */
    fun leaseValid(nowMs: Long): Boolean {
        val leaderState = role as? LeaderState ?: return false
        val sentMs = majorityAckedRoundMs(leaderState, nowMs) ?: return false
        return leaderState.ready && nowMs < sentMs + settings.leaseMs
    }

    internal companion object {
        /** Returns the state of a member that starts at [nowMs] with the recovered contents of its storage. */
        fun recovered(
            self: String,
            settings: ConsensusSettings,
            hardState: HardState,
            log: EntryLog,
            snapshot: Snapshot?,
            initialMembership: Membership,
            nowMs: Long,
            electionTimeoutMs: Long,
        ): ConsensusState {
            val base = IndexedMembership(snapshot?.index ?: 0, snapshot?.membership ?: initialMembership)
            val laterMemberships = membershipsIn(log.entries).filter { it.index > base.index }
            val recovered = ConsensusState(
                self, settings, hardState, log, snapshot,
                persistentListOf(base).addAll(laterMemberships), snapshot?.index ?: 0, nowMs, nowMs, electionTimeoutMs,
            )
            // Segments are deleted as a whole, so they can hold entries that were compacted before.
            return recovered.copy(log = log.compactTo(recovered.trailingBase(base.index)))
        }
    }
}

/** Returns the memberships that [entries] define. */
internal fun membershipsIn(entries: List<Entry>): List<IndexedMembership> =
    entries.filter { it.kind == EntryKind.MEMBERSHIP }
        .map { IndexedMembership(it.index, Membership.decode(it.payload)) }
