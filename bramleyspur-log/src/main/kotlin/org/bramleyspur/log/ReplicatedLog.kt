/*
 * Runs the consensus rules of one member: turns calls, messages, timers and finished writes into events, and carries
 * out the effects.
 */
package org.bramleyspur.log

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.github.oshai.kotlinlogging.KotlinLogging
import org.bramleyspur.log.consensus.Accepted
import org.bramleyspur.log.consensus.Apply
import org.bramleyspur.log.consensus.ChangeMembership
import org.bramleyspur.log.consensus.ConsensusState
import org.bramleyspur.log.consensus.Effect
import org.bramleyspur.log.consensus.Entry
import org.bramleyspur.log.consensus.EntryKind
import org.bramleyspur.log.consensus.Envelope
import org.bramleyspur.log.consensus.Event
import org.bramleyspur.log.consensus.Leader
import org.bramleyspur.log.consensus.LeadershipLost
import org.bramleyspur.log.consensus.LeadershipReady
import org.bramleyspur.log.consensus.LeadershipWon
import org.bramleyspur.log.consensus.MembershipChange
import org.bramleyspur.log.consensus.Persist
import org.bramleyspur.log.consensus.Persisted
import org.bramleyspur.log.consensus.Propose
import org.bramleyspur.log.consensus.ProposeError
import org.bramleyspur.log.consensus.Received
import org.bramleyspur.log.consensus.Refused
import org.bramleyspur.log.consensus.Restore
import org.bramleyspur.log.consensus.Send
import org.bramleyspur.log.consensus.Snapshot
import org.bramleyspur.log.consensus.SnapshotSaved
import org.bramleyspur.log.consensus.Tick
import org.bramleyspur.log.consensus.step
import org.bramleyspur.log.storage.LogStorage
import org.bramleyspur.log.storage.StorageError
import org.bramleyspur.protocol.ConsensusMessage
import java.util.random.RandomGenerator

/** Sends a message to the peer at an address (`host:port`); losing it is allowed, blocking is not. */
typealias Transport = (address: String, message: ConsensusMessage) -> Unit

/** Receives the log index of a committed and applied entry, or why there is none. */
typealias ProposeCallback = (Result<Long, ProposeError>) -> Unit

/** Ticks per heartbeat interval; timeouts are met within one tick. */
private const val TICKS_PER_HEARTBEAT = 5

/**
 * One member of the replicated log. The constructor and all functions are called on the control thread. The log owns
 * [storage] and closes it.
 */
class ReplicatedLog(
    private val storage: LogStorage,
    private val options: LogOptions,
    private val threads: LogThreads,
    private val transport: Transport,
    private val stateMachine: StateMachine,
    private val listener: LeadershipListener,
    private val random: RandomGenerator,
) {
    private class PendingEvent(val event: Event, val callbacks: List<ProposeCallback>)

    private class PendingProposal(val payload: ByteArray, val callback: ProposeCallback)

    private val logger = KotlinLogging.logger {}
    private val queue = StorageQueue(
        storage,
        threads.storage,
        threads.control,
        { handle(Persisted(now(), it)) },
        { onSnapshotSaved(it) },
        { onStorageFailure(it) },
    )
    private val events = ArrayDeque<PendingEvent>()
    private val proposals = ArrayList<PendingProposal>()
    private val outstanding = HashMap<Long, ProposeCallback>()
    private var handling = false
    private var closed = false
    private var savingSnapshot = false
    private var state: ConsensusState = recoveredState()
    private var appliedIndex = state.commit
    private val ticks = threads.timers.every(options.consensus.heartbeatMs / TICKS_PER_HEARTBEAT) {
        handle(Tick(now(), electionTimeoutMs()))
    }

    init {
        state.snapshot?.let { stateMachine.restore(it.data) }
    }

    internal val consensusState: ConsensusState get() = state

    /** Id of this member. */
    val memberId: String get() = storage.memberId

    private fun recoveredState(): ConsensusState {
        val content = storage.recovered
        return ConsensusState.recovered(
            content.memberId,
            options.consensus,
            content.hardState,
            content.log,
            content.snapshot,
            content.initial,
            now(),
            electionTimeoutMs(),
        )
    }

    private fun now(): Long = threads.timers.nowMs()

    private fun electionTimeoutMs(): Long =
        random.nextLong(options.consensus.electionMinMs, options.consensus.electionMaxMs + 1)

    /**
     * Appends [payload], which must not be modified afterwards. [callback] runs once, after the entry was applied or
     * with an error. Proposals of one turn of the control thread share one write.
     */
    fun propose(payload: ByteArray, callback: ProposeCallback) {
        val limit = options.consensus.batchBytes
        when {
            closed -> callback(Err(ProposeError.Closed))

            payload.size > limit -> callback(Err(ProposeError.TooLarge(limit)))

            else -> {
                proposals += PendingProposal(payload, callback)
                if (proposals.size == 1) threads.control.execute { proposeAll() }
            }
        }
    }

    private fun proposeAll() {
        val batch = proposals.toList()
        proposals.clear()
        if (batch.isNotEmpty()) handle(Propose(now(), batch.map { it.payload }), batch.map { it.callback })
    }

    /** Takes a message from a peer; a malformed one is dropped. */
    fun receive(message: ConsensusMessage) {
        val envelope = message.toEnvelope()
        if (envelope == null) {
            logger.warn { "malformed consensus message from ${message.fromAddress}; message dropped" }
        } else {
            handle(Received(now(), envelope))
        }
    }

    /** Changes the members; [callback] runs when the change is committed or refused. */
    fun changeMembership(change: MembershipChange, callback: ProposeCallback) {
        if (closed) callback(Err(ProposeError.Closed)) else handle(ChangeMembership(now(), change), listOf(callback))
    }

    /**
     * Whether this member leads, has applied everything committed before its term, and no other member can lead at
     * [nowMs], a time of the control thread's timer service.
     */
    fun leaseValid(nowMs: Long): Boolean = !closed && state.leaseValid(nowMs)

    /** Returns the leader as far as this member knows. */
    fun leader(): Leader? = if (state.leaderId == state.self) Leader(state.self, options.address) else state.leader

    /** Returns the state of this member. */
    fun status(): LogStatus = logStatus(state, leader(), appliedIndex, now())

    /** Stops without waiting; outstanding proposals end with [ProposeError.OutcomeUnknown]. */
    fun close() {
        if (closed) return
        closed = true
        ticks.cancel()
        proposals.forEach { it.callback(Err(ProposeError.Closed)) }
        proposals.clear()
        failOutstanding()
        queue.close()
    }

    /** Handles [event] after those that are being handled, since callbacks may cause further events. */
    private fun handle(event: Event, callbacks: List<ProposeCallback> = emptyList()) {
        events += PendingEvent(event, callbacks)
        if (handling) return
        handling = true
        try {
            while (true) process(events.removeFirstOrNull() ?: break)
        } finally {
            handling = false
        }
    }

    private fun process(pending: PendingEvent) {
        if (closed) return pending.callbacks.forEach { it(Err(ProposeError.Closed)) }
        val step = step(state, pending.event)
        state = step.state
        step.effects.forEach { carryOut(it, pending.callbacks) }
        if (!closed) takeSnapshotIfDue()
    }

    private fun carryOut(effect: Effect, callbacks: List<ProposeCallback>) {
        when (effect) {
            is Persist -> queue.write(effect)
            is Send -> transport(
                effect.address,
                Envelope(state.self, options.address, effect.to, effect.message).toWire(),
            )
            is Apply -> effect.entries.forEach { apply(it) }
            is Restore -> restore(effect.snapshot)
            is Accepted -> callbacks.forEachIndexed { i, callback -> outstanding[effect.firstIndex + i] = callback }
            is Refused -> callbacks.forEach { it(Err(effect.error)) }
            is LeadershipWon -> onWon(effect.term)
            is LeadershipReady -> listener.ready(effect.term)
            is LeadershipLost -> onLost(effect.term)
        }
    }

    private fun apply(entry: Entry) {
        if (entry.kind == EntryKind.COMMAND) stateMachine.apply(entry.index, entry.term, entry.payload)
        appliedIndex = entry.index
        outstanding.remove(entry.index)?.invoke(Ok(entry.index))
    }

    private fun restore(snapshot: Snapshot) {
        logger.info { "state restored from the leader's snapshot at index ${snapshot.index}" }
        stateMachine.restore(snapshot.data)
        appliedIndex = snapshot.index
    }

    private fun onWon(term: Long) {
        logger.info { "member ${state.self} leads term $term" }
        listener.won(term)
    }

    private fun onLost(term: Long) {
        logger.info { "member ${state.self} no longer leads term $term" }
        failOutstanding()
        listener.lost(term)
    }

    private fun failOutstanding() {
        val failed = outstanding.toSortedMap().values.toList()
        outstanding.clear()
        failed.forEach { it(Err(ProposeError.OutcomeUnknown)) }
    }

    private fun takeSnapshotIfDue() {
        val last = state.snapshot?.index ?: 0
        if (savingSnapshot || appliedIndex - last < options.snapshotEntries) return
        val term = state.log.term(appliedIndex) ?: return
        val membership = state.memberships.last { it.index <= appliedIndex }.membership
        savingSnapshot = true
        val snapshot = Snapshot(appliedIndex, term, membership, stateMachine.snapshot())
        queue.saveSnapshot(snapshot, keepFrom = appliedIndex - options.consensus.trailingEntries)
    }

    private fun onSnapshotSaved(snapshot: Snapshot) {
        savingSnapshot = false
        handle(SnapshotSaved(now(), snapshot))
    }

    private fun onStorageFailure(error: StorageError) {
        logger.error { error.message }
        close()
        options.onFatal(error)
    }
}
