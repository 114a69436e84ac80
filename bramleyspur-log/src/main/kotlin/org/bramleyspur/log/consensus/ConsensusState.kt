/*
 * The whole state of one member's consensus rules. It is immutable; [step] returns the next one.
 */
package org.bramleyspur.log.consensus

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf

/** The term and vote that must survive a restart. */
internal data class HardState(val term: Long, val votedFor: String?)

/** The state of the state machine after the entry at [index]. The bytes of [data] are never modified. */
internal class Snapshot(val index: Long, val term: Long, val membership: Membership, val data: ByteArray)

/** The membership that the entry at [index] put in force. */
internal data class MembershipAt(val index: Long, val membership: Membership)

/** What a member does in its term. */
internal sealed interface Role

/** Follows a leader or waits for one. */
internal data object Follower : Role

/** Asks whether an election could be won. */
internal data class PreCandidate(val grants: PersistentSet<String>) : Role

/** Asks for votes. Its own vote counts once [voteSequence] is synced. */
internal data class Candidate(val votes: PersistentSet<String>, val voteSequence: Long) : Role

/**
 * Leads.
 *
 * @property rounds number of a round to the time of its sending, for the rounds that can still be acknowledged
 */
internal data class Leading(
    val electedMs: Long,
    val firstIndex: Long,
    val progress: PersistentMap<String, Progress>,
    val round: Long = 0,
    val rounds: PersistentMap<Long, Long> = persistentMapOf(),
    val nextRoundMs: Long = electedMs,
    val ready: Boolean = false,
) : Role

/**
 * What the leader knows of a peer.
 *
 * @property matchIndex highest index known to be synced at the peer
 * @property nextIndex first index to send
 * @property probing no entries are sent until the peer's log is known to match below [nextIndex]
 * @property ackedRoundMs time of sending of the newest round that the peer acknowledged; null before the first one
 */
internal data class Progress(
    val matchIndex: Long,
    val nextIndex: Long,
    val probing: Boolean = false,
    val ackedRoundMs: Long? = null,
    val transfer: Transfer? = null,
)

/** A snapshot on its way to a peer, acknowledged up to byte [offset]. */
internal data class Transfer(val snapshot: Snapshot, val offset: Long, val sentMs: Long)

/** A snapshot on its way from [from]; [chunks] hold its first [size] bytes. */
internal data class Incoming(
    val from: String,
    val index: Long,
    val indexTerm: Long,
    val size: Long = 0,
    val chunks: PersistentList<ByteArray> = persistentListOf(),
)

/** A message that waits until [sequence] is synced. */
internal data class Gated(val sequence: Long, val send: Send)

/** A write in progress; when it is synced the log is synced up to [lastIndex]. */
internal data class PendingWrite(val sequence: Long, val lastIndex: Long)

/**
 * State of a member.
 *
 * @property memberships the snapshot's membership and those of the later entries, oldest first; the last is in force
 * @property lastSequence number of the newest [Persist]
 * @property syncedIndex highest index of the own log that is synced
 * @property heardLeaderMs time at which a leader was last heard; the start of the process counts, since it may have
 * heard a leader just before
 * @property timerMs time from which the election timeout runs
 */
internal data class ConsensusState(
    val self: String,
    val settings: ConsensusSettings,
    val hardState: HardState,
    val log: EntryLog,
    val snapshot: Snapshot?,
    val memberships: PersistentList<MembershipAt>,
    val commit: Long,
    val heardLeaderMs: Long,
    val timerMs: Long,
    val electionTimeoutMs: Long,
    val syncedIndex: Long = log.lastIndex,
    val role: Role = Follower,
    val leaderId: String? = null,
    val leaderAddress: String? = null,
    val lastSequence: Long = 0,
    val syncedSequence: Long = 0,
    val writes: PersistentList<PendingWrite> = persistentListOf(),
    val gated: PersistentList<Gated> = persistentListOf(),
    val incoming: Incoming? = null,
) {
    val term: Long get() = hardState.term
    val membership: Membership get() = memberships.last().membership
    val leader: Leader? get() = leaderId?.let { Leader(it, leaderAddress ?: membership.address(it).orEmpty()) }

    /** Time of sending of the newest round that a majority acknowledged, or null when there is none. */
    fun majorityRoundMs(leading: Leading, nowMs: Long): Long? {
        val acked = membership.voters.keys.map { if (it == self) nowMs else leading.progress[it]?.ackedRoundMs }
        return acked.sortedByDescending { it ?: Long.MIN_VALUE }.getOrNull(membership.majority - 1)
    }

    /**
     * Whether no other member can lead at [nowMs]. Until the first entry of the own term is committed the lease is
     * not valid, since entries of earlier terms may not have been applied yet.
     */
    fun leaseValid(nowMs: Long): Boolean {
        val leading = role as? Leading ?: return false
        val sentMs = majorityRoundMs(leading, nowMs) ?: return false
        return leading.ready && nowMs < sentMs + settings.leaseMs
    }

    internal companion object {
        /** State of a member that starts at [nowMs] with what its storage holds. */
        fun recovered(
            self: String,
            settings: ConsensusSettings,
            hardState: HardState,
            log: EntryLog,
            snapshot: Snapshot?,
            initial: Membership,
            nowMs: Long,
            electionTimeoutMs: Long,
        ): ConsensusState {
            val base = MembershipAt(snapshot?.index ?: 0, snapshot?.membership ?: initial)
            val later = membershipsIn(log.entries).filter { it.index > base.index }
            return ConsensusState(
                self, settings, hardState, log, snapshot,
                persistentListOf(base).addAll(later), snapshot?.index ?: 0, nowMs, nowMs, electionTimeoutMs,
            )
        }
    }
}

/** Returns the memberships that [entries] put in force. */
internal fun membershipsIn(entries: List<Entry>): List<MembershipAt> =
    entries.filter { it.kind == EntryKind.MEMBERSHIP }.map { MembershipAt(it.index, Membership.decode(it.payload)) }
