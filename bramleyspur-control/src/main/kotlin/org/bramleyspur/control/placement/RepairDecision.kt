/*
 * The repair policy. It is called after each change and at the times that it requested, and has no state of its own:
 * repairs in progress are part of its input. For each service it decides in this order:
 *  1. replicas that cannot resume, or whose service was removed, are retired;
 *  2. missing replicas are placed, which includes replacements for broken, drained and outdated ones;
 *  3. if there is no free group, a replica is broken up if its members make a new group possible;
 *  4. surplus replicas are retired, the least useful first.
 */
package org.bramleyspur.control.placement

import org.bramleyspur.core.model.Service

/** Returns the actions for [snapshot] at [nowMs] (monotonic milliseconds). */
fun decidePlacement(snapshot: PlacementSnapshot, policy: RepairPolicy, nowMs: Long): List<PlacementAction> {
    val orphaned = snapshot.replicas.filter { it.assignment.service !in snapshot.services && !it.isReleasing() }
    val assigned = snapshot.replicas.flatMap { it.assignment.members }.map { it.instance }.toSet()
    val free = snapshot.instances.values.filter { it.free && it.name !in assigned && it.isUsable(policy, nowMs) }
    val loadSlots = policy.maxLoads - snapshot.loads
    val plan = Plan(snapshot, policy, nowMs, free.sortedBy { it.name }, loadSlots)
    val initial = orphaned.fold(plan) { next, replica -> next.retire(replica, "the service was removed") }
    return snapshot.services.values
        .sortedBy { it.name }
        .fold(initial) { next, service -> next.decideFor(service) }
        .actions
}

internal fun Plan.retire(replica: PlacementReplica, reason: String): Plan =
    plus(PlacementAction.RetireReplica(replica.id, reason))

private fun PlacementReplica.isReleasing() = state == ReplicaState.Releasing

private fun Plan.decideFor(service: Service): Plan {
    val all = snapshot.replicas.filter { it.assignment.service == service.name && !it.isReleasing() }
    val (lost, remaining) = all.partition { it.isLost(policy) }
    val retired = lost.fold(this) { next, replica -> next.retire(replica, "a member has left the replica") }
    val replicas = ServiceReplicas(service, remaining, this)
    val waiting =
        replicas.awaited.fold(retired) { next, replica -> next.plus(next.waitFor(replica, policy.hedgeAfterMs)) }
    return waiting.place(replicas).retireSurplus(replicas)
}

private fun PlacementReplica.isLost(policy: RepairPolicy): Boolean =
    state is ReplicaState.Broken && (policy.retireBroken || !state.recoverable)

internal fun Plan.membersOf(replica: PlacementReplica): List<PlacementInstance> =
    replica.assignment.members.mapNotNull { snapshot.instances[it.instance] }

internal fun Plan.isAwaited(replica: PlacementReplica): Boolean {
    val broken = replica.state as? ReplicaState.Broken ?: return false
    return mayReturn(replica) && nowMs < broken.sinceMs + policy.hedgeAfterMs
}

/** Whether the replica could resume without a load, because none of its members has lost its state. */
private fun Plan.mayReturn(replica: PlacementReplica): Boolean = membersOf(replica).none { it.health is Health.Failed }

private fun Plan.place(replicas: ServiceReplicas): Plan {
    val shortfall = replicas.wanted - replicas.counted.size
    val dataCentres = replicas.service.placements.keys.sorted()
    val missing = dataCentres.flatMap { dataCentre -> List(maxOf(0, replicas.missingIn(dataCentre))) { dataCentre } }
    return missing.foldIndexed(this) { index, plan, dataCentre ->
        val needed = index < shortfall
        val created = plan.tryCreate(replicas.service, dataCentre, allowOtherDataCentre = needed)
        when {
            created != null -> created
            needed -> plan.resolveShortage(replicas, dataCentre)
            else -> plan
        }
    }
}

/** Handles the lack of a free group: breaks up replicas if that makes a group, waits, or reports the problem. */
private fun Plan.resolveShortage(replicas: ServiceReplicas, dataCentre: String): Plan {
    val retired = actions.filterIsInstance<PlacementAction.RetireReplica>().map { it.replica }.toSet()
    // A release or an earlier retirement will already free instances.
    if (retired.isNotEmpty() || releasingHelps(replicas.service)) return this
    val ready = replicas.broken.filter { isWaitOver(it) && breakingUpHelps(it, replicas) }
    val replaceable =
        (replicas.leaving + replicas.drained + listOfNotNull(replicas.nextToReplace))
            .firstOrNull { it !in replicas.broken }
    val waiting = replicas.broken.firstOrNull { !isWaitOver(it) }
    return when {
        ready.isNotEmpty() -> ready.fold(this) { plan, replica ->
            plan.retire(replica, "its members form a new group without the lost one")
        }
        replaceable != null -> retire(replaceable, "no spare group for its replacement")
        waiting != null -> plus(waitFor(waiting, policy.waitMs(snapshot.loadMs)))
        else -> plus(PlacementAction.NotPossible(replicas.service.name, dataCentre, reason(replicas.service)))
    }
}

private fun Plan.releasingHelps(service: Service): Boolean = snapshot.replicas.any { replica ->
    replica.state == ReplicaState.Releasing &&
        replica.assignment.members.size >= service.instancesPerReplica &&
        membersOf(replica).all { it.health == Health.Live }
}

private fun Plan.isWaitOver(replica: PlacementReplica): Boolean {
    val broken = replica.state as? ReplicaState.Broken ?: return false
    return !mayReturn(replica) || nowMs >= broken.sinceMs + policy.waitMs(snapshot.loadMs)
}

/** Whether breaking up [replica] and others whose wait is over makes a group possible in its fabric domain. */
private fun Plan.breakingUpHelps(replica: PlacementReplica, replicas: ServiceReplicas): Boolean {
    val domain = membersOf(replica).firstOrNull()?.fabricDomain ?: return false
    val candidates = replicas.broken.filter { isWaitOver(it) }.flatMap { membersOf(it) }
    val usable = (candidates + free).distinct().filter { it.fabricDomain == domain && it.isUsable(policy, nowMs) }
    return usable.size >= replicas.service.instancesPerReplica
}

private fun Plan.waitFor(replica: PlacementReplica, durationMs: Long): PlacementAction.Wait {
    val sinceMs = (replica.state as? ReplicaState.Broken)?.sinceMs ?: nowMs
    val service = replica.assignment.service
    return PlacementAction.Wait(service, replica.id, sinceMs + durationMs, "a paused member may return")
}

private fun Plan.reason(service: Service): String {
    val flapping = snapshot.instances.values.count { it.isFlapping(policy, nowMs) }
    val unresponsive = snapshot.instances.values.count { it.health != Health.Live }
    return "no fabric domain has ${service.instancesPerReplica} free instances; ${free.size} are free, " +
        "$unresponsive are unresponsive, $flapping fail too often; add instances or end drains"
}

/** Retires surplus replicas, as long as at least the wanted number keeps serving. */
private fun Plan.retireSurplus(replicas: ServiceReplicas): Plan {
    val staying = replicas.serving - replicas.leaving.toSet()
    val withoutLeaving =
        replicas.leaving.fold(this) { plan, replica -> plan.retireOnce(replica, "a member is leaving") }
    if (staying.size < replicas.wanted) return withoutLeaving
    val surplus =
        staying.sortedWith(compareBy({ replicas.retirementRank(it) }, { it.id })).take(staying.size - replicas.wanted)
    val unneeded = replicas.broken + replicas.unneededLoads()
    return (surplus + unneeded)
        .fold(withoutLeaving) { plan, replica -> plan.retireOnce(replica, "more replicas than wanted") }
}

private fun Plan.retireOnce(replica: PlacementReplica, reason: String): Plan {
    val alreadyRetired = actions.any { it is PlacementAction.RetireReplica && it.replica == replica.id }
    return if (alreadyRetired) this else retire(replica, reason)
}
