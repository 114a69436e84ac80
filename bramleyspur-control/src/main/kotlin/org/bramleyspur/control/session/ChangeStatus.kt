package org.bramleyspur.control.session

import org.bramleyspur.core.model.InstanceName
import org.bramleyspur.core.model.Revision

/**
 * How far a configuration change has reached.
 *
 * @property inForce processes that hold the revision or a later one
 * @property known processes with a session, and lost ones that are not yet forgotten
 * @property missing processes that do not hold it and may still act on their lease
 * @property leaseExpired processes that do not hold it and refuse new work since their lease has ended
 */
data class ChangeStatus(
    val inForce: Int,
    val known: Int,
    val missing: List<InstanceName>,
    val leaseExpired: List<InstanceName>,
)

/** Tells where [revision] is in force at [nowMs]. */
fun SessionState.changeStatus(revision: Revision, nowMs: Long): ChangeStatus {
    val (current, behind) = sessions.values.partition { it.revision >= revision }
    val (expired, missing) = behind.partition { session ->
        // Before this leader knows all leases, one that an earlier leader granted can still run.
        val untilMs = session.leaseUntilMs ?: (leaderSinceMs + timing.leaseEndMs)
        nowMs >= untilMs
    }
    return ChangeStatus(current.size, sessions.size, missing.names(), expired.names())
}

private fun List<Session>.names(): List<InstanceName> = map { it.announcement.instance }.sorted()
