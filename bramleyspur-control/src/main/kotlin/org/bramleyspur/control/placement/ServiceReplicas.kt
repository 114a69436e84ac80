package org.bramleyspur.control.placement

import org.bramleyspur.core.model.Service

/** The replicas of a service, classified by state. */
internal class ServiceReplicas(val service: Service, val all: List<PlacementReplica>, plan: Plan) {
    val wanted = service.placements.values.sum()
    val serving = all.filter { it.state == ReplicaState.Serving }
    val loading = all.filter { it.state == ReplicaState.Loading }
    val broken = all.filter { it.state is ReplicaState.Broken }
    val leaving = all.filter { replica -> plan.membersOf(replica).any { it.leaving } }
    val drained = all.filter { replica -> plan.membersOf(replica).any { it.drained } }
    private val outdated = all.filter { it.assignment.version != service.targetVersion() }

    /** Broken replicas that may still resume on their own, so that no replacement is loaded yet. */
    val awaited = broken.filter { plan.isAwaited(it) }

    /** The replica that a roll-out or rollback replaces next. */
    val nextToReplace: PlacementReplica? = outdated
        .filter { it !in broken }
        .minByOrNull { it.id }
        .takeIf { broken.isEmpty() && (all.size > wanted || (all.size == wanted && loading.isEmpty())) }

    /** Replicas that count towards the wanted number. */
    val counted = (serving + loading + awaited) - (leaving + drained).toSet() - listOfNotNull(nextToReplace).toSet()

    /** Retirement order; replicas with the lowest value are retired first. */
    fun retirementRank(replica: PlacementReplica): Int = when {
        replica in leaving || replica in drained -> 0
        replica in outdated -> 1
        replica.state == ReplicaState.Loading -> 2
        surplusIn(replica.dataCentre) > 0 -> 3
        else -> 4
    }

    fun missingIn(dataCentre: String): Int =
        (service.placements[dataCentre] ?: 0) - counted.count { it.dataCentre == dataCentre }

    /** Loading replicas that are no longer needed, such as a replacement whose predecessor has resumed. */
    fun unneededLoads(): List<PlacementReplica> = loading
        .filter { it in outdated || (nextToReplace == null && surplusIn(it.dataCentre) > 0) }
        .sortedBy { retirementRank(it) }
        .take(maxOf(0, serving.size + loading.size - wanted))

    private fun surplusIn(dataCentre: String): Int = -missingIn(dataCentre)
}
