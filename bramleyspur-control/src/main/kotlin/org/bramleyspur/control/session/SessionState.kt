/*
 * Soft state of the control leader: one session for each instance, the route table computed from the sessions, and each
 * entry's shares of the limited client accounts. It is rebuilt from announcements and heartbeats after a leader change,
 * so a new leader neither declares a process lost, nor replaces the entries' route tables, before it has led for one
 * session timeout.
 */
package org.bramleyspur.control.session

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.bramleyspur.control.placement.ReplicaState
import org.bramleyspur.core.model.Assignment
import org.bramleyspur.core.model.Configuration
import org.bramleyspur.core.model.FencingNumber
import org.bramleyspur.core.model.Incarnation
import org.bramleyspur.core.model.InstanceName
import org.bramleyspur.core.model.ReplicaId
import org.bramleyspur.core.model.Revision
import org.bramleyspur.core.model.RouteTable

/**
 * Session of one process.
 *
 * @property stream open stream; null after it was closed
 * @property lastMessageAtMs time of the last message
 * @property leaseUntilMs time by which the process's lease has certainly expired; null if none was granted
 * @property bootConfirmed whether the last two heartbeats had the same boot id of the backend server
 * @property upSinceMs time since which the process and its backend server have been up
 * @property lost whether the session has timed out
 * @property crashed whether the process's stream was closed before the time-out; a frozen process leaves it open
 */
@ConsistentCopyVisibility
data class Session internal constructor(
    val process: ProcessDescription,
    val stream: Long?,
    val revision: Revision,
    val lastMessageAtMs: Long,
    val report: HeartbeatReport? = null,
    val leaseUntilMs: Long? = null,
    val bootConfirmed: Boolean = true,
    val upSinceMs: Long = lastMessageAtMs,
    val lost: Boolean = false,
    val crashed: Boolean = false,
    internal val offer: Offer? = null,
)

/** The newest assignment sent to an instance, which may accept it at any time until it reports it. */
internal data class Offer(val fencingNumber: FencingNumber, val sentAtMs: Long)

/** A configuration change and the time at which this leader accepted it; null if an earlier leader did. */
internal data class AcceptedChange(val revision: Revision, val acceptedAtMs: Long?)

/** An assignment that was removed from the log at [sinceMs] and is not yet released by all members. */
internal data class Withdrawal(val assignment: Assignment, val sinceMs: Long)

/** A process that has account shares. */
internal data class ShareHolder(val instance: InstanceName, val incarnation: Incarnation)

/**
 * Account shares of one holder.
 *
 * @property sent last share sent, by account
 * @property ceiling highest share that the holder may still act on, by account
 */
internal data class HeldShares(
    val sent: PersistentMap<String, Int> = persistentMapOf(),
    val ceiling: PersistentMap<String, Int> = persistentMapOf(),
    val inFlight: PersistentMap<String, Int> = persistentMapOf(),
    val leaseUntilMs: Long,
)

/**
 * Session state of the leader of [term].
 *
 * @property earlierShares whether an earlier leader may have granted account shares that are still valid
 */
@ConsistentCopyVisibility
data class SessionState internal constructor(
    val timing: SessionTiming = SessionTiming(),
    val term: Long = 0,
    val leaderSinceMs: Long = 0,
    val configuration: Configuration = Configuration(),
    val assignments: List<Assignment> = emptyList(),
    val sessions: PersistentMap<InstanceName, Session> = persistentMapOf(),
    val routes: RouteTable = RouteTable(),
    val failures: PersistentMap<InstanceName, PersistentList<Long>> = persistentMapOf(),
    val progress: PersistentMap<ReplicaId, ReplicaState> = persistentMapOf(),
    internal val changes: PersistentList<AcceptedChange> = persistentListOf(),
    internal val withdrawals: PersistentList<Withdrawal> = persistentListOf(),
    internal val replaced: PersistentSet<Incarnation> = persistentSetOf(),
    internal val heldShares: PersistentMap<ShareHolder, HeldShares> = persistentMapOf(),
    internal val earlierShares: Boolean = true,
) {
    /** Whether this leader has led long enough to treat a missing session as a lost process. */
    fun canDeclareLost(nowMs: Long): Boolean = nowMs >= leaderSinceMs + timing.sessionTimeoutMs

    companion object {
        /** State before this control instance becomes leader. */
        fun initial(timing: SessionTiming = SessionTiming()): SessionState = SessionState(timing)
    }
}
