/*
 * Mutable state of one step, with the rules that all roles share: persisting before replying, changing the term,
 * committing. A message that acknowledges durable state is held back until all earlier writes are synced.
 */
package org.bramleyspur.log.consensus

import kotlinx.collections.immutable.toPersistentList

internal class Transition(var state: ConsensusState, val nowMs: Long) {
    val effects = ArrayList<Effect>()

    fun send(to: String, address: String, message: Message) {
        effects += Send(to, address, message)
    }

    /** Sends [message] once all writes issued so far are synced. */
    fun sendWhenSynced(to: String, address: String, message: Message) {
        val send = Send(to, address, message)
        if (state.syncedSequence == state.lastSequence) {
            effects += send
        } else {
            state = state.copy(deferredSends = state.deferredSends.add(DeferredSend(state.lastSequence, send)))
        }
    }

    fun saveHardState(hardState: HardState) {
        state = state.copy(hardState = hardState)
        persist { Persist(it, hardState = hardState) }
    }

    /** Appends [entries] to the own log, replacing existing entries from the first new index on. */
    fun appendToLog(entries: List<Entry>) {
        val first = entries.first().index
        val truncates = first <= state.log.lastIndex
        if (truncates) truncateFrom(first)
        state = state.copy(
            log = state.log.append(entries),
            memberships = state.memberships.addAll(membershipsIn(entries)),
        )
        persist { Persist(it, truncateFrom = first.takeIf { truncates }, entries = entries) }
    }

    private fun truncateFrom(index: Long) {
        check(index > state.commitIndex) { "entry $index is committed and must not be truncated" }
        state = state.copy(
            log = state.log.truncateFrom(index),
            memberships = state.memberships.removeAll { it.index >= index },
        )
        capSyncedIndex(index - 1)
    }

    /** Lowers the synced index, and that of pending writes, to [index], since later entries are being replaced. */
    fun capSyncedIndex(index: Long) {
        state = state.copy(
            syncedIndex = minOf(state.syncedIndex, index),
            pendingWrites = state.pendingWrites
                .map { it.copy(lastIndex = minOf(it.lastIndex, index)) }
                .toPersistentList(),
        )
    }

    fun persist(write: (Long) -> Persist) {
        val sequence = state.lastSequence + 1
        effects += write(sequence)
        state = state.copy(
            lastSequence = sequence,
            pendingWrites = state.pendingWrites.add(PendingWrite(sequence, state.log.lastIndex)),
        )
    }

    /** Records that the writes up to [sequence] are synced and sends the messages that were held back for them. */
    fun persisted(sequence: Long) {
        val completedWrites = state.pendingWrites.filter { it.sequence <= sequence }
        val readySends = state.deferredSends.filter { it.sequence <= sequence }
        state = state.copy(
            syncedSequence = maxOf(state.syncedSequence, sequence),
            syncedIndex = completedWrites.lastOrNull()?.lastIndex ?: state.syncedIndex,
            pendingWrites = state.pendingWrites.removeAll { it.sequence <= sequence },
            deferredSends = state.deferredSends.removeAll { it.sequence <= sequence },
        )
        effects += readySends.map { it.send }
        val role = state.role
        if (role is Candidate && role.voteSequence <= sequence) countVote(state.self)
        if (role is LeaderState) advanceCommitIndex()
    }

    fun commitTo(index: Long) {
        if (index <= state.commitIndex) return
        val from = state.commitIndex + 1
        effects += Apply((from..index).map { checkNotNull(state.log.entry(it)) { "committed entry $it is missing" } })
        state = state.copy(commitIndex = index)
    }

    /** Becomes a follower in [term], without a known leader. */
    fun becomeFollower(term: Long) {
        if (state.role is LeaderState) effects += LeadershipLost(state.term)
        state = state.copy(role = Follower, leaderId = null, leaderAddress = null, electionTimerStartMs = nowMs)
        if (term > state.term) saveHardState(HardState(term, votedFor = null))
    }

    fun tick(electionTimeoutMs: Long) {
        val role = state.role
        when {
            role is LeaderState -> tickLeader(role)
            state.self !in state.membership.voters -> Unit
            nowMs - state.electionTimerStartMs >= state.electionTimeoutMs -> startPreVote(electionTimeoutMs)
        }
    }

    fun receive(envelope: Envelope) {
        val message = envelope.message
        val grantedPreVote = message is VoteReply && message.preVote && message.granted
        when {
            envelope.to != state.self -> return
            message is VoteRequest -> return onVoteRequest(envelope, message)
            message.term > state.term && !grantedPreVote -> becomeFollower(message.term)
            message.term < state.term -> return onStaleTerm(envelope, message)
        }
        when (message) {
            is VoteRequest -> Unit
            is VoteReply -> onVoteReply(envelope.from, message)
            is AppendRequest -> onAppendRequest(envelope, message)
            is AppendReply -> onAppendReply(envelope.from, message)
            is SnapshotChunk -> onSnapshotChunk(envelope, message)
            is SnapshotReply -> onSnapshotReply(envelope.from, message)
        }
    }

    /** Replies to a deposed leader with the current term; other messages of old terms need no reply. */
    private fun onStaleTerm(envelope: Envelope, message: Message) {
        val reply = when (message) {
            is AppendRequest -> AppendReply(state.term, success = false, matchIndex = 0, round = message.round)
            is SnapshotChunk -> SnapshotReply(state.term, nextOffset = 0, installed = false)
            else -> return
        }
        sendWhenSynced(envelope.from, envelope.fromAddress, reply)
    }

    /** Compacts the log up to a synced snapshot, except for the entries kept for lagging followers. */
    fun snapshotSaved(snapshot: Snapshot) {
        if (snapshot.index <= (state.snapshot?.index ?: 0)) return
        val base = state.memberships.last { it.index <= snapshot.index }
        state = state.copy(
            snapshot = snapshot,
            log = state.log.compactTo(state.trailingBase(snapshot.index)),
            memberships = state.memberships.removeAll { it.index < base.index },
        )
    }
}
