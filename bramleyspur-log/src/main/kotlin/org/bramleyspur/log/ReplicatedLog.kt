/*
 * Drives the consensus state machine of one member: turns calls, messages, timers and completed writes into events and
 * executes the resulting effects.
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

/** Sends a message to the peer at an address (`host:port`). It may lose the message and must not block. */
typealias Transport = (address: String, message: ConsensusMessage) -> Unit

/** Receives the log index of the entry once it is committed and applied, or the error. */
typealias ProposeCallback = (Result<Long, ProposeError>) -> Unit

/** Ticks per heartbeat interval. A timeout is detected at most one tick late. */
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
    private val storageQueue = StorageQueue(
        storage,
        threads.storage,
        threads.control,
        { handle(Persisted(nowMs(), it)) },
        { onSnapshotSaved(it) },
        { onStorageFailure(it) },
    )
    private val eventQueue = ArrayDeque<PendingEvent>()
    private val queuedProposals = ArrayList<PendingProposal>()
    private val pendingCallbacks = HashMap<Long, ProposeCallback>()
    private var processing = false
    private var closed = false
    private var savingSnapshot = false
    private var state: ConsensusState = recoveredState()
    private var appliedIndex = state.commitIndex
    private val tickTimer = threads.timers.every(options.consensus.heartbeatIntervalMs / TICKS_PER_HEARTBEAT) {
        handle(Tick(nowMs(), electionTimeoutMs()))
    }

    init {
        state.snapshot?.let { stateMachine.restore(it.data) }
    }

    internal val consensusState: ConsensusState get() = state

    /** Id of this member. */
    val memberId: String get() = storage.memberId

    private fun recoveredState(): ConsensusState {
        val recoveredData = storage.recovered
        storage.releaseRecovered()
        return ConsensusState.recovered(
            recoveredData.memberId,
            options.consensus,
            recoveredData.hardState,
            recoveredData.log,
            recoveredData.snapshot,
            recoveredData.initialMembership,
            nowMs(),
            electionTimeoutMs(),
        )
    }

    private fun nowMs(): Long = threads.timers.nowMs()

    private fun electionTimeoutMs(): Long =
        random.nextLong(options.consensus.minElectionTimeoutMs, options.consensus.maxElectionTimeoutMs + 1)

    /**
     * Proposes [payload], which must not be modified afterwards. [callback] runs once, after the entry was applied or
     * with an error. Proposals made within one task of the control thread are written together.
     */
    fun propose(payload: ByteArray, callback: ProposeCallback) {
        val maxPayloadBytes = options.consensus.maxEntryBytes
        when {
            closed -> callback(Err(ProposeError.Closed))

            payload.size > maxPayloadBytes -> callback(Err(ProposeError.TooLarge(maxPayloadBytes)))

            else -> {
                queuedProposals += PendingProposal(payload, callback)
                if (queuedProposals.size == 1) threads.control.execute { proposeQueued() }
            }
        }
    }

    private fun proposeQueued() {
        val queued = queuedProposals.toList()
        queuedProposals.clear()
        chunkedByBytes(queued, options.consensus.batchBytes) { it.payload.size }.forEach { batch ->
            handle(Propose(nowMs(), batch.map { it.payload }), batch.map { it.callback })
        }
    }

    /** Handles a message from a peer; a malformed one is dropped. */
    fun receive(message: ConsensusMessage) {
        val envelope = message.toEnvelope()
        if (envelope == null) {
            logger.warn { "dropped a malformed consensus message from ${message.fromAddress}" }
        } else {
            handle(Received(nowMs(), envelope))
        }
    }

    /** Changes the membership; [callback] runs when the change is committed or refused. */
    fun changeMembership(change: MembershipChange, callback: ProposeCallback) {
        if (closed) callback(Err(ProposeError.Closed)) else handle(ChangeMembership(nowMs(), change), listOf(callback))
    }

    /**
     * Whether this member is the leader, has applied everything committed before its term, and no other member can be
     * the leader at [nowMs], a time of the control thread's timer service.
     */
    fun leaseValid(nowMs: Long): Boolean = !closed && state.leaseValid(nowMs)

    /** Returns the leader as far as this member knows. */
    fun leader(): Leader? = if (state.leaderId == state.self) Leader(state.self, options.address) else state.leader

    fun status(): LogStatus = logStatus(state, leader(), appliedIndex, nowMs())

    /** Closes the log without waiting for pending writes; pending proposals fail with [ProposeError.OutcomeUnknown]. */
    fun close() {
        if (closed) return
        closed = true
        tickTimer.cancel()
        queuedProposals.forEach { it.callback(Err(ProposeError.Closed)) }
        queuedProposals.clear()
        failPendingProposals()
        storageQueue.close()
    }

    /** Queues [event] behind those being processed, since callbacks may raise further events. */
    private fun handle(event: Event, callbacks: List<ProposeCallback> = emptyList()) {
        eventQueue += PendingEvent(event, callbacks.map { once(it) })
        if (processing) return
        processing = true
        try {
            while (true) processOrFail(eventQueue.removeFirstOrNull() ?: break)
        } finally {
            processing = false
        }
    }

    /** Returns [callback] without effect after its first call: an error can occur after some callbacks were called. */
    private fun once(callback: ProposeCallback): ProposeCallback {
        var called = false
        return { result ->
            if (!called) {
                called = true
                callback(result)
            }
        }
    }

    /** Closes the log after any error in the midst of an event, since the state may be ahead of its effects. */
    @Suppress("TooGenericExceptionCaught")
    private fun processOrFail(pending: PendingEvent) = try {
        process(pending)
    } catch (e: Throwable) {
        onStorageFailure(StorageError.MemberFailed(e.toString()))
        pending.callbacks.forEach { it(Err(ProposeError.OutcomeUnknown)) }
    }

    private fun process(pending: PendingEvent) {
        if (closed) return pending.callbacks.forEach { it(Err(ProposeError.Closed)) }
        val step = step(state, pending.event)
        state = step.state
        step.effects.forEach { executeEffect(it, pending.callbacks) }
        if (!closed) takeSnapshotIfDue()
    }

    private fun executeEffect(effect: Effect, callbacks: List<ProposeCallback>) {
        when (effect) {
            is Persist -> storageQueue.write(effect)
            is Send -> transport(
                effect.address,
                Envelope(state.self, options.address, effect.to, effect.message).toWire(),
            )
            is Apply -> effect.entries.forEach { apply(it) }
            is Restore -> restore(effect.snapshot)
            is Accepted ->
                callbacks.forEachIndexed { i, callback -> pendingCallbacks[effect.firstIndex + i] = callback }
            is Refused -> callbacks.forEach { it(Err(effect.error)) }
            is LeadershipWon -> onLeadershipWon(effect.term)
            is LeadershipReady -> listener.ready(effect.term)
            is LeadershipLost -> onLeadershipLost(effect.term)
        }
    }

    private fun apply(entry: Entry) {
        if (entry.kind == EntryKind.COMMAND) stateMachine.apply(entry.index, entry.term, entry.payload)
        appliedIndex = entry.index
        pendingCallbacks.remove(entry.index)?.invoke(Ok(entry.index))
    }

    private fun restore(snapshot: Snapshot) {
        logger.info { "state restored from the leader's snapshot at index ${snapshot.index}" }
        stateMachine.restore(snapshot.data)
        appliedIndex = snapshot.index
    }

    private fun onLeadershipWon(term: Long) {
        logger.info { "member ${state.self} became leader for term $term" }
        listener.won(term)
    }

    private fun onLeadershipLost(term: Long) {
        logger.info { "member ${state.self} is no longer leader for term $term" }
        failPendingProposals()
        listener.lost(term)
    }

    private fun failPendingProposals() {
        val failed = pendingCallbacks.toSortedMap().values.toList()
        pendingCallbacks.clear()
        failed.forEach { it(Err(ProposeError.OutcomeUnknown)) }
    }

    private fun takeSnapshotIfDue() {
        if (savingSnapshot || !isSnapshotDue(state.snapshot?.index ?: 0)) return
        val term = state.log.term(appliedIndex) ?: return
        val membership = state.memberships.last { it.index <= appliedIndex }.membership
        savingSnapshot = true
        val snapshot = Snapshot(appliedIndex, term, membership, stateMachine.snapshot())
        storageQueue.saveSnapshot(snapshot, keepFrom = state.trailingBase(appliedIndex) + 1)
    }

    private fun isSnapshotDue(lastSnapshotIndex: Long): Boolean =
        appliedIndex - lastSnapshotIndex >= options.snapshotEntries ||
            state.log.payloadBytes(lastSnapshotIndex + 1, appliedIndex) >= options.snapshotBytes

    private fun onSnapshotSaved(snapshot: Snapshot) {
        savingSnapshot = false
        handle(SnapshotSaved(nowMs(), snapshot))
    }

    private fun onStorageFailure(error: StorageError) {
        if (closed) return
        logger.error { error.message }
        try {
            close()
        } finally {
            options.onStorageFailure(error)
        }
    }
}
