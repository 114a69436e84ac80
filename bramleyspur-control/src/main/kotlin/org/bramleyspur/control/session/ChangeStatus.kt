package org.bramleyspur.control.session

import org.bramleyspur.core.model.InstanceName
import org.bramleyspur.core.model.Revision

/**
 * Progress of a configuration change across the processes.
 *
 * @property inForceCount number of processes that have the revision or a later one
 * @property processCount number of processes with a session, including lost ones that are still listed
 * @property missing processes that do not have it and may still act on their lease
 * @property leaseExpired processes that do not have it and refuse new work because their lease has expired
 */
data class ChangeStatus(
    val inForceCount: Int,
    val processCount: Int,
    val missing: List<InstanceName>,
    val leaseExpired: List<InstanceName>,
)

/** Status of the change to [revision] at [nowMs]. */
fun SessionState.changeStatus(revision: Revision, nowMs: Long): ChangeStatus {
    val (current, behind) = sessions.values.partition { it.revision >= revision }
    val (expired, missing) = behind.partition { session ->
        // A lease that an earlier leader granted, and that this one does not know of, may still be valid.
        val untilMs = session.leaseUntilMs ?: (leaderSinceMs + timing.leaseExpiryMs)
        nowMs >= untilMs
    }
    return ChangeStatus(current.size, sessions.size, missing.names(), expired.names())
}

private fun List<Session>.names(): List<InstanceName> = map { it.process.instance }.sorted()
