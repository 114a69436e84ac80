/*
 * The working copy of a state during one step, with the rules that all roles share: persisting before answering,
 * changing term, committing. Messages that promise something durable are held back until every write ordered before
 * them is synced.
 */
package org.bramleyspur.log.consensus

import kotlinx.collections.immutable.toPersistentList

internal class Transition(var state: ConsensusState, val nowMs: Long) {
    val effects = ArrayList<Effect>()

    fun send(to: String, address: String, message: Message) {
        effects += Send(to, address, message)
    }

    /** Sends [message] once every write ordered so far is synced. */
    fun sendWhenSynced(to: String, address: String, message: Message) {
        val send = Send(to, address, message)
        if (state.syncedSequence == state.lastSequence) {
            effects += send
        } else {
            state = state.copy(gated = state.gated.add(Gated(state.lastSequence, send)))
        }
    }

    fun saveHardState(hardState: HardState) {
        state = state.copy(hardState = hardState)
        persist { Persist(it, hardState = hardState) }
    }

    /** Appends [entries] to the own log, replacing what is there from the first of them on. */
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
        check(index > state.commit) { "entry $index is committed and must not be replaced" }
        state = state.copy(
            log = state.log.truncateFrom(index),
            memberships = state.memberships.removeAll { it.index >= index },
        )
        capSyncedIndex(index - 1)
    }

    /** Forgets what is or will be synced above [index], since those entries are being replaced. */
    fun capSyncedIndex(index: Long) {
        state = state.copy(
            syncedIndex = minOf(state.syncedIndex, index),
            writes = state.writes.map { it.copy(lastIndex = minOf(it.lastIndex, index)) }.toPersistentList(),
        )
    }

    fun persist(write: (Long) -> Persist) {
        val sequence = state.lastSequence + 1
        effects += write(sequence)
        state = state.copy(
            lastSequence = sequence,
            writes = state.writes.add(PendingWrite(sequence, state.log.lastIndex)),
        )
    }

    /** Notes that the writes up to [sequence] are synced and sends what waited for them. */
    fun persisted(sequence: Long) {
        val done = state.writes.filter { it.sequence <= sequence }
        val released = state.gated.filter { it.sequence <= sequence }
        state = state.copy(
            syncedSequence = maxOf(state.syncedSequence, sequence),
            syncedIndex = done.lastOrNull()?.lastIndex ?: state.syncedIndex,
            writes = state.writes.removeAll { it.sequence <= sequence },
            gated = state.gated.removeAll { it.sequence <= sequence },
        )
        effects += released.map { it.send }
        val role = state.role
        if (role is Candidate && role.voteSequence <= sequence) countVote(state.self)
        if (role is Leading) advanceCommit()
    }

    fun commitTo(index: Long) {
        if (index <= state.commit) return
        val from = state.commit + 1
        effects += Apply((from..index).map { checkNotNull(state.log.entry(it)) { "committed entry $it is missing" } })
        state = state.copy(commit = index)
    }

    /** Enters [term], or stays in it, as a follower of a leader that is not known yet. */
    fun becomeFollower(term: Long) {
        if (state.role is Leading) effects += LeadershipLost(state.term)
        state = state.copy(role = Follower, leaderId = null, leaderAddress = null, timerMs = nowMs)
        if (term > state.term) saveHardState(HardState(term, votedFor = null))
    }

    fun tick(electionTimeoutMs: Long) {
        val role = state.role
        when {
            role is Leading -> tickLeader(role)
            state.self !in state.membership.voters -> Unit
            nowMs - state.timerMs >= state.electionTimeoutMs -> startPreVote(electionTimeoutMs)
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

    /** Tells a deposed leader the current term; other late messages need no answer. */
    private fun onStaleTerm(envelope: Envelope, message: Message) {
        val reply = when (message) {
            is AppendRequest -> AppendReply(state.term, success = false, matchIndex = 0, round = message.round)
            is SnapshotChunk -> SnapshotReply(state.term, nextOffset = 0, installed = false)
            else -> return
        }
        sendWhenSynced(envelope.from, envelope.fromAddress, reply)
    }

    /** Drops log entries below a synced snapshot, except those kept for slow followers. */
    fun snapshotSaved(snapshot: Snapshot) {
        if (snapshot.index <= (state.snapshot?.index ?: 0)) return
        val base = state.memberships.last { it.index <= snapshot.index }
        state = state.copy(
            snapshot = snapshot,
            log = state.log.compactTo(snapshot.index - state.settings.trailingEntries),
            memberships = state.memberships.removeAll { it.index < base.index },
        )
    }
}
