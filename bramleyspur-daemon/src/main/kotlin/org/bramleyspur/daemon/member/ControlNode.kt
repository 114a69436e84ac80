/*
 * A control member: the replicated log and the state machine on top of it, on the control thread.
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
import org.bramleyspur.core.document.Document
import org.bramleyspur.core.time.TimerHandle
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

/** Called at a fixed interval while this member leads; returns the membership change that is due, or null. */
typealias MembershipRule = (LogStatus) -> MembershipChange?

/** Receives changes of leadership and state, on the control thread. */
interface ControlNodeListener {
    /** Called when this member leads [term] and has applied all entries committed before. */
    fun onLeading(term: Long)

    /** Called when this member no longer leads. */
    fun onLeadershipLost()

    /** Called after a command or a snapshot replaced the state [before] by [after]. */
    fun onStateChanged(before: ControlState, after: ControlState)
}

/**
 * Runs the replicated log of this member. All functions are called on the control thread.
 *
 * @property snapshotEntries applied entries after which a snapshot is taken; a tenth of them is retained, so that
 * members that are slightly behind need no snapshot
 * @property onFatal receives a storage failure, after which the log acknowledges nothing
 * @param membershipRule by default, members that an operator admitted are promoted once they have caught up
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
    private val dueMembershipChange = membershipRule
    private var leadingTerm: Long? = null
    private var leadingSinceMs = 0L
    private var lastResult: CommandResult? = null

    /** The state as of the last applied command. */
    var state = ControlState()
        private set

    private lateinit var log: ReplicatedLog
    private var membershipTimer: TimerHandle? = null

    /** Starts the log. The listener must be ready, since it may be called at once. */
    fun start() {
        log = ReplicatedLog(
            storage = storage,
            options = LogOptions(address, consensusSettings(), snapshotEntries, onStorageFailure = ::onStorageFailure),
            threads = LogThreads(control, timers, storageThread),
            transport = transport::send,
            stateMachine = StateMachine(::applyEntry, { state.encodeSnapshot() }, ::restore),
            listener = LeadershipListener(ready = ::onReady, lost = { onLost() }),
            random = RandomGenerator.getDefault(),
        )
        membershipTimer =
            timers.every(MEMBERSHIP_CHECK_INTERVAL_MS) { if (leadingTerm() != null) checkMembership() }
    }

    /** The log has closed itself. */
    private fun onStorageFailure(error: StorageError) {
        membershipTimer?.cancel()
        onFatal(error)
    }

    private fun checkMembership() {
        val change = dueMembershipChange(status()) ?: return
        log.changeMembership(change) { result ->
            val outcome = result.fold({ "done" }, { "failed: ${it.message}" })
            logger.info { "membership change of the control log: $change, $outcome" }
        }
    }

    private fun consensusSettings() = SETTINGS.let {
        it.copy(trailingEntries = minOf(it.trailingEntries, snapshotEntries / TRAILING_DIVISOR))
    }

    /** Term that this member leads with a valid lease, or null. */
    fun leadingTerm(): Long? = leadingTerm?.takeIf { log.leaseValid(timers.nowMs()) }

    /** `host:port` of the leader as far as this member knows, or empty. */
    fun leaderAddress(): String = log.leader()?.address.orEmpty()

    /** Status of the log. Members that have acknowledged nothing in this term are unresponsive since its start. */
    fun status(): LogStatus = log.status().let { status ->
        if (leadingTerm == null) return@let status
        val leadingMs = timers.nowMs() - leadingSinceMs
        status.copy(members = status.members.map { it.copy(sinceLastAckMs = it.sinceLastAckMs ?: leadingMs) })
    }

    /** Proposes [command]; calls [onResult] once, after the command was applied or has failed. */
    fun propose(command: ControlCommand, onResult: (Result<CommandResult, ProposeError>) -> Unit) {
        log.propose(command.encode()) { result ->
            onResult(result.map { checkNotNull(lastResult) { "the applied command has no result" } })
        }
    }

    /** Proposes a change of the log's members; calls [onDone] once. */
    fun changeMembership(change: MembershipChange, onDone: (Result<Long, ProposeError>) -> Unit) =
        log.changeMembership(change, onDone)

    /** Handles a message of another member. */
    fun receive(message: ConsensusMessage) = log.receive(message)

    fun close() {
        membershipTimer?.cancel()
        log.close()
    }

    private fun applyEntry(index: Long, @Suppress("UNUSED_PARAMETER") term: Long, payload: ByteArray) {
        val command = decodeCommand(payload).getOrElse { error("cannot decode log entry $index: $it") }
        val before = state
        val applied = apply(before, index, command)
        state = applied.state
        lastResult = applied.result
        listener.onStateChanged(before, state)
    }

    private fun restore(snapshot: ByteArray) {
        val before = state
        state = decodeSnapshot(snapshot).getOrElse { error("cannot decode the snapshot: $it") }
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
        logger.info { "leadership lost; closing all sessions" }
        listener.onLeadershipLost()
    }

    internal companion object {
        /** Room for the fields of a command beside a document. */
        private const val COMMAND_FIELDS_BYTES = 64 * 1024
        val SETTINGS = ConsensusSettings(maxEntryBytes = Document.MAX_BYTES + COMMAND_FIELDS_BYTES)
        private const val MEMBERSHIP_CHECK_INTERVAL_MS = 500L
        private const val TRAILING_DIVISOR = 10
    }
}

/** Casts the result of a successful proposal to the type that the command yields. */
internal inline fun <reified A : CommandResult> Result<CommandResult, ProposeError>.cast(): Result<A, ProposeError> =
    if (isOk) Ok(component1() as A) else Err(checkNotNull(component2()))
