/*
 * What the repair policy sees of the system at one time. An instance is used only when its agent has reported that it
 * holds no assignment, so a silent or frozen instance is never placed a second time.
 */
package org.bramleyspur.control.placement

import org.bramleyspur.core.model.Assignment
import org.bramleyspur.core.model.InstanceName
import org.bramleyspur.core.model.Member
import org.bramleyspur.core.model.ReplicaId
import org.bramleyspur.core.model.Service

/** Whether an instance answers. Times in ms. */
sealed interface Health {
    /** The session is live and the backend server is healthy. */
    data object Live : Health

    /** Silent since [sinceMs]; it may be paused and return with its state. */
    data class Suspect(val sinceMs: Long) : Health

    /** Known to have ended at [sinceMs]; its state is lost. */
    data class Gone(val sinceMs: Long) : Health
}

/**
 * An instance that can be a member of a replica.
 *
 * @property free whether its agent has reported no assignment, or only released ones
 * @property failuresMs times of its last failures
 * @property upSinceMs time since which it has been up
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
    /** Name of the instance. */
    val name: InstanceName get() = member.instance
}

/** Progress of a replica. Times in ms. */
sealed interface ReplicaState {
    /** Members load from the weight store. */
    data object Loading : ReplicaState

    /** The first member serves. */
    data object Serving : ReplicaState

    /** Not complete since [sinceMs]; when not [recoverable], a member has left the assignment for good. */
    data class Broken(val sinceMs: Long, val recoverable: Boolean) : ReplicaState

    /** Retired; its members are released one by one. */
    data object Releasing : ReplicaState
}

/** A replica and its progress. */
data class PlacementReplica(val assignment: Assignment, val dataCentre: String, val state: ReplicaState) {
    /** Identity of the replica. */
    val id: ReplicaId get() = assignment.replica
}

/** A replica that was placed in [fabricDomain] at [atMs] to replace a broken one. */
data class Repair(val service: String, val fabricDomain: String, val atMs: Long)

/**
 * Input of the repair policy.
 *
 * @property services model services by name; [Service.placements] states the wanted replicas
 * @property repairs latest placements, to recognise a second loss right after a repair
 * @property loadMs time that one load takes when the weight store is not busy
 */
data class World(
    val services: Map<String, Service>,
    val instances: Map<InstanceName, PlacementInstance>,
    val replicas: List<PlacementReplica>,
    val repairs: List<Repair> = emptyList(),
    val loadMs: Long = DEFAULT_LOAD_MS,
) {
    /** Loads in progress against the weight store. */
    val loads: Int get() = replicas.count { it.state == ReplicaState.Loading }

    private companion object {
        const val DEFAULT_LOAD_MS = 90_000L
    }
}
