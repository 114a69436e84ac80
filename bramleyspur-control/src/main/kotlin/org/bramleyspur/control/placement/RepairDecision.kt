/*
 * The repair policy. It is called after each change and at the times that it asked for, and holds no state: a repair in
 * progress shows in the world. For each service it decides in this order:
 *  1. replicas that cannot resume, or that nobody wants, are retired;
 *  2. replicas are placed where they are missing, which includes replacements for broken, drained and outdated ones;
 *  3. where no group is free, a replica is broken up if its members make a group possible;
 *  4. what is more than wanted is retired, the least useful first.
 */
package org.bramleyspur.control.placement

import org.bramleyspur.core.model.Service

/** Decides what to do in [world] at [nowMs] (monotonic ms). */
fun decide(world: World, policy: RepairPolicy, nowMs: Long): List<PlacementAction> {
    val removed = world.replicas.filter { it.assignment.service !in world.services && !it.isReleasing() }
    val held = world.replicas.flatMap { it.assignment.members }.map { it.instance }.toSet()
    val free = world.instances.values.filter { it.free && it.name !in held && it.isUsable(policy, nowMs) }
    val slots = policy.maxLoads - world.loads
    val plan = Plan(world, policy, nowMs, free.sortedBy { it.name }, slots)
    val cleared = removed.fold(plan) { next, replica -> next.retire(replica, "the service was removed") }
    return world.services.values.sortedBy { it.name }.fold(cleared) { next, service -> next.decideFor(service) }.actions
}

internal fun Plan.retire(replica: PlacementReplica, reason: String): Plan =
    plus(PlacementAction.RetireReplica(replica.id, reason))

private fun PlacementReplica.isReleasing() = state == ReplicaState.Releasing

private fun Plan.decideFor(service: Service): Plan {
    val all = world.replicas.filter { it.assignment.service == service.name && !it.isReleasing() }
    val (lost, kept) = all.partition { it.isLost(policy) }
    val cleared = lost.fold(this) { next, replica -> next.retire(replica, "a member has left the replica") }
    val group = ServiceReplicas(service, kept, this)
    val waiting = group.awaited.fold(cleared) { next, replica -> next.plus(next.waitFor(replica, policy.hedgeAfterMs)) }
    return waiting.place(group).retireSurplus(group)
}

private fun PlacementReplica.isLost(policy: RepairPolicy): Boolean =
    state is ReplicaState.Broken && (policy.retireBroken || !state.recoverable)

internal fun Plan.membersOf(replica: PlacementReplica): List<PlacementInstance> =
    replica.assignment.members.mapNotNull { world.instances[it.instance] }

internal fun Plan.isAwaited(replica: PlacementReplica): Boolean {
    val broken = replica.state as? ReplicaState.Broken ?: return false
    return mayReturn(replica) && nowMs < broken.sinceMs + policy.hedgeAfterMs
}

/** Whether the replica resumes without a load once its silent members answer again. */
private fun Plan.mayReturn(replica: PlacementReplica): Boolean = membersOf(replica).none { it.health is Health.Gone }

private fun Plan.place(group: ServiceReplicas): Plan {
    val short = group.wanted - group.counted.size
    val dataCentres = group.service.placements.keys.sorted()
    val missing = dataCentres.flatMap { dataCentre -> List(maxOf(0, group.missingIn(dataCentre))) { dataCentre } }
    return missing.foldIndexed(this) { index, plan, dataCentre ->
        val needed = index < short
        val created = plan.tryCreate(group.service, dataCentre, elsewhere = needed)
        when {
            created != null -> created
            needed -> plan.makeRoom(group, dataCentre)
            else -> plan
        }
    }
}

/** No group is free: breaks up a replica if that makes one, or waits, or reports. */
private fun Plan.makeRoom(group: ServiceReplicas, dataCentre: String): Plan {
    val retired = actions.filterIsInstance<PlacementAction.RetireReplica>().map { it.replica }.toSet()
    // A release or an earlier retirement is already making room.
    if (retired.isNotEmpty() || releasingHelps(group.service)) return this
    val ready = group.broken.filter { isWaitOver(it) && breakingHelps(it, group) }
    val moved = (group.leaving + group.drained + listOfNotNull(group.next)).firstOrNull { it !in group.broken }
    val waiting = group.broken.firstOrNull { !isWaitOver(it) }
    return when {
        ready.isNotEmpty() -> ready.fold(this) { plan, replica ->
            plan.retire(replica, "members regroup without the lost one")
        }
        moved != null -> retire(moved, "no spare group for its replacement")
        waiting != null -> plus(waitFor(waiting, policy.waitMs(world.loadMs)))
        else -> plus(PlacementAction.NotPossible(group.service.name, dataCentre, reason(group.service)))
    }
}

private fun Plan.releasingHelps(service: Service): Boolean = world.replicas.any { replica ->
    replica.state == ReplicaState.Releasing &&
        replica.assignment.members.size >= service.instancesPerReplica &&
        membersOf(replica).all { it.health == Health.Live }
}

private fun Plan.isWaitOver(replica: PlacementReplica): Boolean {
    val broken = replica.state as? ReplicaState.Broken ?: return false
    return !mayReturn(replica) || nowMs >= broken.sinceMs + policy.waitMs(world.loadMs)
}

/** Whether a group is possible in the fabric domain once [replica], and others as good as lost there, are broken up. */
private fun Plan.breakingHelps(replica: PlacementReplica, group: ServiceReplicas): Boolean {
    val domain = membersOf(replica).firstOrNull()?.fabricDomain ?: return false
    val partners = group.broken.filter { isWaitOver(it) }.flatMap { membersOf(it) }
    val usable = (partners + free).distinct().filter { it.fabricDomain == domain && it.isUsable(policy, nowMs) }
    return usable.size >= group.service.instancesPerReplica
}

private fun Plan.waitFor(replica: PlacementReplica, durationMs: Long): PlacementAction.Wait {
    val sinceMs = (replica.state as? ReplicaState.Broken)?.sinceMs ?: nowMs
    val service = replica.assignment.service
    return PlacementAction.Wait(service, replica.id, sinceMs + durationMs, "a paused member may return")
}

private fun Plan.reason(service: Service): String {
    val flapping = world.instances.values.count { it.isFlapping(policy, nowMs) }
    val silent = world.instances.values.count { it.health != Health.Live }
    return "no fabric domain has ${service.instancesPerReplica} free instances; ${free.size} are free, " +
        "$silent do not answer, $flapping fail too often; add instances or end drains"
}

/** Retires what is more than wanted, never so that fewer than the wanted number serve. */
private fun Plan.retireSurplus(group: ServiceReplicas): Plan {
    val keep = group.serving - group.leaving.toSet()
    val left = group.leaving.fold(this) { plan, replica -> plan.retireOnce(replica, "a member is leaving") }
    if (keep.size < group.wanted) return left
    val extra = keep.sortedWith(compareBy({ group.usefulness(it) }, { it.id })).take(keep.size - group.wanted)
    val idle = group.broken + group.idleLoads()
    return (extra + idle).fold(left) { plan, replica -> plan.retireOnce(replica, "more replicas than wanted") }
}

private fun Plan.retireOnce(replica: PlacementReplica, reason: String): Plan {
    val known = actions.any { it is PlacementAction.RetireReplica && it.replica == replica.id }
    return if (known) this else retire(replica, reason)
}
