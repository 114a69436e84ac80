/*
 * Selection of the instances for a replica, all from one fabric domain. The domain is chosen so that the remaining free
 * instances still form as many complete groups as possible; domains in which a repair has just failed come last.
 */
package org.bramleyspur.control.placement

import org.bramleyspur.core.model.Service

internal fun PlacementInstance.isUsable(policy: RepairPolicy, nowMs: Long): Boolean =
    health == Health.Live && !drained && !leaving && !isFlapping(policy, nowMs)

internal fun PlacementInstance.isFlapping(policy: RepairPolicy, nowMs: Long): Boolean {
    val recent = failuresMs.count { it > nowMs - policy.flapWindowMs }
    return recent >= policy.flapFailures && nowMs < upSinceMs + policy.flapStableMs
}

/** A group of free instances in [dataCentre]; null if there is none. */
internal fun Plan.findGroup(service: Service, dataCentre: String): List<PlacementInstance>? {
    val size = service.instancesPerReplica
    val domains = free.filter {
        it.dataCentre == dataCentre
    }.groupBy { it.fabricDomain }.filterValues { it.size >= size }
    val domain = domains.minWithOrNull(domainOrder(size))?.value ?: return null
    if (!policy.bestFit) return domain.sortedBy { it.name }.take(size)
    return domain.sortedWith(compareBy({ it.failureCount() }, { it.upSinceMs }, { it.name })).take(size)
}

private fun Plan.domainOrder(size: Int): Comparator<Map.Entry<String, List<PlacementInstance>>> {
    if (!policy.bestFit) return compareBy { it.key }
    return compareBy({ hasRecentRepairFailure(it.key) }, { it.value.size % size }, { it.value.size }, { it.key })
}

private fun Plan.hasRecentRepairFailure(domain: String): Boolean {
    val lost = snapshot.instances.values.any { instance ->
        instance.fabricDomain == domain && instance.failuresMs.any { it > nowMs - policy.avoidDomainMs }
    }
    return lost && snapshot.repairs.any { it.fabricDomain == domain && it.atMs > nowMs - policy.avoidDomainMs }
}

private fun PlacementInstance.failureCount(): Int = failuresMs.size

/** Places one replica in [dataCentre] or, if [allowOtherDataCentre], in another one; null if no group is free. */
internal fun Plan.tryCreate(service: Service, dataCentre: String, allowOtherDataCentre: Boolean): Plan? {
    val others = if (allowOtherDataCentre &&
        policy.useOtherDataCentres
    ) {
        free.map { it.dataCentre }.distinct().sorted() - dataCentre
    } else {
        emptyList()
    }
    val group = (listOf(dataCentre) + others).firstNotNullOfOrNull { findGroup(service, it) } ?: return null
    if (loadSlots <= 0) {
        val untilMs = nowMs + snapshot.loadMs
        return plus(PlacementAction.Wait(service.name, null, untilMs, "the weight store is at its limit of loads"))
    }
    val version = service.targetVersion()
    val action = PlacementAction.CreateReplica(service.name, group.map { it.member }, version, group.first().dataCentre)
    return plus(action).copy(free = free - group.toSet(), loadSlots = loadSlots - 1)
}

internal fun Service.targetVersion(): String = nextVersion ?: version
