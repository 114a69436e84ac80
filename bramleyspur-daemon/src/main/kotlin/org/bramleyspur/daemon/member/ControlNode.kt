/*
 * One control member: the replicated log and the state that it keeps, on the control thread.
 */
package org.bramleyspur.daemon.member

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import io.github.oshai.kotlinlogging.KotlinLogging
import org.bramleyspur.control.state.CommandResult
import org.bramleyspur.control.state.ControlCommand
import org.bramleyspur.control.state.ControlState
import org.bramleyspur.control.state.apply
import org.bramleyspur.control.state.decodeCommand
import org.bramleyspur.control.state.decodeSnapshot
import org.bramleyspur.control.state.encode
import org.bramleyspur.control.state.encodeSnapshot
import org.bramleyspur.core.time.TimerService
import org.bramleyspur.log.LeadershipListener
import org.bramleyspur.log.LogOptions
import org.bramleyspur.log.LogStatus
import org.bramleyspur.log.LogThreads
import org.bramleyspur.log.ReplicatedLog
import org.bramleyspur.log.StateMachine
import org.bramleyspur.log.consensus.ConsensusSettings
import org.bramleyspur.log.consensus.MembershipChange
import org.bramleyspur.log.consensus.ProposeError
import org.bramleyspur.log.storage.LogStorage
import org.bramleyspur.log.storage.StorageError
import org.bramleyspur.protocol.ConsensusMessage
import java.util.concurrent.Executor
import java.util.random.RandomGenerator

private val logger = KotlinLogging.logger {}

/** Looks at the members in equal intervals while this member leads; returns the change that is due, or null. */
typealias MembershipRule = (LogStatus) -> MembershipChange?

/** Learns of changes of leadership and state, on the control thread. */
interface ControlNodeListener {
    /** This member leads [term] and has applied everything that was committed before. */
    fun onLeading(term: Long)

    /** This member no longer leads. */
    fun onLeadershipLost()

    /** A command changed the state from [before]. */
    fun onStateChanged(before: ControlState, after: ControlState)
}

/**
 * Runs the replicated log of this member. All functions are called on the control thread.
 *
 * @property snapshotEntries applied entries after which a snapshot is taken; a tenth of them is kept for members that
 * are a little behind
 * @property onFatal receives a storage failure, after which nothing is acknowledged any more
 * @param membershipRule by default, an operator admits members and each gets a vote once it has caught up
 */
class ControlNode(
    private val storage: LogStorage,
    private val address: String,
    private val control: Executor,
    private val timers: TimerService,
    private val storageThread: Executor,
    private val transport: PeerTransport,
    private val listener: ControlNodeListener,
    private val snapshotEntries: Long,
    private val onFatal: (StorageError) -> Unit,
    membershipRule: MembershipRule = LearnerPromotion()::check,
) {
    private val membership = membershipRule
    private var leadingTerm: Long? = null
    private var leadingSinceMs = 0L
    private var lastAnswer: CommandResult? = null

    /** The state as of the last applied command. */
    var state = ControlState()
        private set

    private lateinit var log: ReplicatedLog

    /** Starts the log; everything that listens must be ready before. */
    fun start() {
        log = ReplicatedLog(
            storage = storage,
            options = LogOptions(address, consensusSettings(), snapshotEntries, onFatal),
            threads = LogThreads(control, timers, storageThread),
            transport = transport::send,
            stateMachine = StateMachine(::applyEntry, { state.encodeSnapshot() }, ::restore),
            listener = LeadershipListener(ready = ::onReady, lost = { onLost() }),
            random = RandomGenerator.getDefault(),
        )
        timers.every(PROMOTION_CHECK_MS) { if (leadingTerm() != null) checkMembership() }
    }

    private fun checkMembership() {
        val change = membership(status()) ?: return
        log.changeMembership(change) { result ->
            val outcome = result.fold({ "done" }, { "not done: ${it.message}" })
            logger.info { "change of the control members: $change, $outcome" }
        }
    }

    private fun consensusSettings() = ConsensusSettings().let {
        it.copy(trailingEntries = minOf(it.trailingEntries, snapshotEntries / TRAILING_DIVISOR))
    }

    /** Term that this member leads with a valid lease, or null. */
    fun leadingTerm(): Long? = leadingTerm?.takeIf { log.leaseValid(timers.nowMs()) }

    /** `host:port` of the leader as far as this member knows, or empty. */
    fun leaderAddress(): String = log.leader()?.address.orEmpty()

    /** State of the log. A member that has acknowledged nothing in this term is silent since its beginning. */
    fun status(): LogStatus = log.status().let { status ->
        if (leadingTerm == null) return@let status
        val leadingMs = timers.nowMs() - leadingSinceMs
        status.copy(members = status.members.map { it.copy(sinceLastAckMs = it.sinceLastAckMs ?: leadingMs) })
    }

    /** Proposes [command]; [onAnswer] runs once, after it was applied or with an error. */
    fun propose(command: ControlCommand, onAnswer: (Result<CommandResult, ProposeError>) -> Unit) {
        log.propose(command.encode()) { result ->
            onAnswer(result.map { checkNotNull(lastAnswer) { "an applied command has an answer" } })
        }
    }

    /** Changes the members of the log. */
    fun changeMembership(change: MembershipChange, onDone: (Result<Long, ProposeError>) -> Unit) =
        log.changeMembership(change, onDone)

    /** Takes a message of another member. */
    fun receive(message: ConsensusMessage) = log.receive(message)

    /** Stops the log. */
    fun close() = log.close()

    private fun applyEntry(index: Long, @Suppress("UNUSED_PARAMETER") term: Long, payload: ByteArray) {
        val command = decodeCommand(payload).getOrElse { error("log entry $index cannot be read: $it") }
        val before = state
        val applied = apply(before, index, command)
        state = applied.state
        lastAnswer = applied.result
        listener.onStateChanged(before, state)
    }

    private fun restore(snapshot: ByteArray) {
        val before = state
        state = decodeSnapshot(snapshot).getOrElse { error("the snapshot cannot be read: $it") }
        listener.onStateChanged(before, state)
    }

    private fun onReady(term: Long) {
        leadingTerm = term
        leadingSinceMs = timers.nowMs()
        listener.onLeading(term)
    }

    private fun onLost() {
        if (leadingTerm == null) return
        leadingTerm = null
        logger.info { "leadership lost; sessions are closed" }
        listener.onLeadershipLost()
    }

    private companion object {
        const val PROMOTION_CHECK_MS = 500L
        const val TRAILING_DIVISOR = 10
    }
}

/** The value of an answer of the expected kind. */
internal inline fun <reified A : CommandResult> Result<CommandResult, ProposeError>.cast(): Result<A, ProposeError> =
    if (isOk) Ok(component1() as A) else Err(checkNotNull(component2()))
