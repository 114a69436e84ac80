/*
 * What the owner of a replicated log passes to it and learns from it.
 */
package org.bramleyspur.log

import org.bramleyspur.core.time.ExecutorTimerService
import org.bramleyspur.core.time.TimerService
import org.bramleyspur.log.consensus.ConsensusSettings
import org.bramleyspur.log.consensus.Leader
import org.bramleyspur.log.storage.StorageError
import java.util.concurrent.Executor
import java.util.concurrent.ScheduledExecutorService

/**
 * The threads of a log.
 *
 * @property control runs the consensus rules and every callback; one thread
 * @property timers timers of the control thread
 * @property storage writes and syncs; one thread
 */
class LogThreads(val control: Executor, val timers: TimerService, val storage: Executor) {
    /** Uses [control] for the rules and their timers; [onFailure] receives what a timer's action throws. */
    constructor(control: ScheduledExecutorService, storage: Executor, onFailure: (Throwable) -> Unit) :
        this(control, ExecutorTimerService(control, onFailure), storage)
}

/**
 * The state that the log keeps equal on all members. All functions run on the control thread, must not throw, and
 * depend on nothing but their arguments and the state.
 *
 * @property apply applies the committed payload at an index and term
 * @property snapshot returns the whole state
 * @property restore replaces the whole state by a snapshot
 */
class StateMachine(
    val apply: (index: Long, term: Long, payload: ByteArray) -> Unit,
    val snapshot: () -> ByteArray,
    val restore: (ByteArray) -> Unit,
)

/**
 * Learns of this member's leadership, on the control thread.
 *
 * @property won the election of a term is won; entries of earlier terms may not be applied yet
 * @property ready all entries committed in earlier terms are applied
 * @property lost the leadership of a term has ended
 */
class LeadershipListener(
    val won: (term: Long) -> Unit = {},
    val ready: (term: Long) -> Unit = {},
    val lost: (term: Long) -> Unit = {},
)

/**
 * Options of a log.
 *
 * @property address `host:port` at which peers reach this member
 * @property consensus timing and sizes, equal on all members
 * @property snapshotEntries applied entries after which a snapshot is taken
 * @property onFatal receives a failure of the storage, on the control thread; the process exits with code 74
 */
class LogOptions(
    val address: String,
    val consensus: ConsensusSettings = ConsensusSettings(),
    val snapshotEntries: Long = 10_000,
    val onFatal: (StorageError) -> Unit,
)

/** Role of a member as shown to operators. */
enum class MemberRole { LEADER, CANDIDATE, FOLLOWER, LEARNER }

/**
 * A member as the leader sees it.
 *
 * @property lag entries that the member has not acknowledged; null on a member that does not lead
 * @property silentMs milliseconds since the sending of the last round that the member acknowledged; null on a member
 * that does not lead, and when the member has acknowledged none in this term
 */
data class MemberStatus(
    val id: String,
    val address: String,
    val voter: Boolean,
    val lag: Long?,
    val silentMs: Long? = null,
)

/** State of this member. */
data class LogStatus(
    val memberId: String,
    val term: Long,
    val role: MemberRole,
    val leader: Leader?,
    val lastIndex: Long,
    val commitIndex: Long,
    val appliedIndex: Long,
    val snapshotIndex: Long,
    val members: List<MemberStatus>,
)
