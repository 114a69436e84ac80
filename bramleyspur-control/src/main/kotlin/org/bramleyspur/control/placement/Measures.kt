package org.bramleyspur.control.placement

/**
 * Group downtime and stranded accelerators.
 *
 * @property downReplicas number of wanted replicas that do not serve; after [accumulatedOver], replica-milliseconds
 * @property strandedAccelerators number of accelerators of powered instances that serve no complete replica; after
 *   [accumulatedOver], accelerator-milliseconds
 */
data class Measures(val downReplicas: Long = 0, val strandedAccelerators: Long = 0) {
    /** These measures accumulated over [durationMs]. */
    fun accumulatedOver(durationMs: Long): Measures = Measures(
        downReplicas * durationMs,
        strandedAccelerators * durationMs,
    )

    /** Sum of two periods. */
    operator fun plus(other: Measures): Measures =
        Measures(downReplicas + other.downReplicas, strandedAccelerators + other.strandedAccelerators)

    /** Weighted cost, in which a replica that is down counts as its [acceleratorsPerReplica] accelerators. */
    fun cost(downtimeWeight: Double, acceleratorsPerReplica: Int): Double =
        downtimeWeight * downReplicas * acceleratorsPerReplica + (1 - downtimeWeight) * strandedAccelerators
}

/** Momentary measures of [snapshot]. Failed instances count as not powered. */
fun measure(snapshot: PlacementSnapshot): Measures {
    val serving = snapshot.replicas.filter { it.state == ReplicaState.Serving }
    val down = snapshot.services.values.sumOf { service ->
        val wanted = service.placements.values.sum()
        maxOf(0, wanted - serving.count { it.assignment.service == service.name })
    }
    val used = serving.flatMap { it.assignment.members }.map { it.instance }.toSet()
    val stranded = snapshot.instances.values
        .filter { it.health !is Health.Failed && it.name !in used }
        .sumOf { it.accelerators.toLong() }
    return Measures(down.toLong(), stranded)
}
