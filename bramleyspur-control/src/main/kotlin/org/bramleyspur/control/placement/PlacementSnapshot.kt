/*
 * Input of the repair policy: the state of the system at one time. An instance is used only if its agent has reported
 * that it has no assignment, so an unresponsive or frozen instance is never assigned a second time.
 */
package org.bramleyspur.control.placement

import org.bramleyspur.core.model.Assignment
import org.bramleyspur.core.model.InstanceName
import org.bramleyspur.core.model.Member
import org.bramleyspur.core.model.ReplicaId
import org.bramleyspur.core.model.Service

/** Health of an instance. Times are in milliseconds. */
sealed interface Health {
    /** The session is live and the backend server is healthy. */
    data object Live : Health

    /** Unresponsive since [sinceMs]; it may be paused and resume with its state. */
    data class Suspect(val sinceMs: Long) : Health

    /** Known to have crashed or stopped at [sinceMs]; its state is lost. */
    data class Failed(val sinceMs: Long) : Health
}

/**
 * An instance that can be a member of a replica.
 *
 * @property free whether its agent has reported no assignment, or only released ones
 * @property failuresMs times of its most recent failures
 * @property upSinceMs time since which it has been up without interruption
 */
data class PlacementInstance(
    val member: Member,
    val dataCentre: String,
    val fabricDomain: String,
    val accelerators: Int = 1,
    val health: Health = Health.Live,
    val free: Boolean = false,
    val drained: Boolean = false,
    val leaving: Boolean = false,
    val failuresMs: List<Long> = emptyList(),
    val upSinceMs: Long = 0,
) {
    val name: InstanceName get() = member.instance
}

/** State of a replica. Times are in milliseconds. */
sealed interface ReplicaState {
    /** Members load weights from the weight store. */
    data object Loading : ReplicaState

    /** The first member serves. */
    data object Serving : ReplicaState

    /** Incomplete since [sinceMs]; if not [recoverable], a member has permanently left the assignment. */
    data class Broken(val sinceMs: Long, val recoverable: Boolean) : ReplicaState

    /** Retired; its members are released one by one. */
    data object Releasing : ReplicaState
}

/** A replica and its state. */
data class PlacementReplica(val assignment: Assignment, val dataCentre: String, val state: ReplicaState) {
    val id: ReplicaId get() = assignment.replica
}

/** A replica that was placed in [fabricDomain] at [atMs] to replace a broken one. */
data class Repair(val service: String, val fabricDomain: String, val atMs: Long)

/**
 * Input of the repair policy.
 *
 * @property services model services by name; [Service.placements] states the wanted replicas
 * @property repairs recent placements, used to detect a second loss right after a repair
 * @property loadMs duration of one load when the weight store is otherwise idle
 */
data class PlacementSnapshot(
    val services: Map<String, Service>,
    val instances: Map<InstanceName, PlacementInstance>,
    val replicas: List<PlacementReplica>,
    val repairs: List<Repair> = emptyList(),
    val loadMs: Long = DEFAULT_LOAD_MS,
) {
    /** Number of loads in progress from the weight store. */
    val loads: Int get() = replicas.count { it.state == ReplicaState.Loading }

    private companion object {
        const val DEFAULT_LOAD_MS = 90_000L
    }
}
