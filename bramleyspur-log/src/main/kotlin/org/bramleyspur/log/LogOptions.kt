/*
 * Dependencies, options, callbacks and status of a [ReplicatedLog].
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
 * The threads on which a log runs.
 *
 * @property control single thread that runs the consensus rules and every callback
 * @property timers timers of the control thread
 * @property storage single thread that writes and syncs files
 */
class LogThreads(val control: Executor, val timers: TimerService, val storage: Executor) {
    /** Uses [control] for the rules and their timers; [onFailure] receives exceptions thrown by timer actions. */
    constructor(control: ScheduledExecutorService, storage: Executor, onFailure: (Throwable) -> Unit) :
        this(control, ExecutorTimerService(control, onFailure), storage)
}

/**
 * The state machine that the log replicates to all members. All functions run on the control thread, must not throw,
 * and must be deterministic: they depend only on their arguments and the state.
 *
 * @property apply applies the committed payload at an index and term
 * @property snapshot serializes the complete state
 * @property restore replaces the complete state with a snapshot
 */
class StateMachine(
    val apply: (index: Long, term: Long, payload: ByteArray) -> Unit,
    val snapshot: () -> ByteArray,
    val restore: (ByteArray) -> Unit,
)

/**
 * Callbacks for changes of this member's leadership, called on the control thread.
 *
 * @property won this member was elected for a term; entries of earlier terms may not be applied yet
 * @property ready all entries committed in earlier terms are applied
 * @property lost this member is no longer the leader of a term
 */
class LeadershipListener(
    val won: (term: Long) -> Unit = {},
    val ready: (term: Long) -> Unit = {},
    val lost: (term: Long) -> Unit = {},
)

/**
 * @property address `host:port` at which peers reach this member
 * @property consensus timing and sizes; must be equal on all members
 * @property snapshotEntries applied entries after which a snapshot is taken
 * @property snapshotBytes payload bytes of applied entries after which a snapshot is taken
 * @property onStorageFailure receives a fatal storage error, on the control thread; the process then exits with code 74
 */
class LogOptions(
    val address: String,
    val consensus: ConsensusSettings = ConsensusSettings(),
    val snapshotEntries: Long = 10_000,
    val snapshotBytes: Long = 4L shl 20,
    val onStorageFailure: (StorageError) -> Unit,
)

/** Role of a member as shown to operators. */
enum class MemberRole { LEADER, CANDIDATE, FOLLOWER, LEARNER }

/**
 * A member as the leader sees it.
 *
 * @property lag number of entries that the member has not acknowledged; null unless reported by the leader
 * @property sinceLastAckMs milliseconds since the last acknowledged heartbeat round was sent; null unless reported by
 * the leader, and when the member has acknowledged no round in this term
 */
data class MemberStatus(
    val id: String,
    val address: String,
    val voter: Boolean,
    val lag: Long?,
    val sinceLastAckMs: Long? = null,
)

/**
 * Status of this member's log.
 *
 * @property sinceLeaderContactMs milliseconds since the last message from a leader, or since the start when there was
 * none; null while this member leads
 */
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
    val sinceLeaderContactMs: Long? = null,
)
