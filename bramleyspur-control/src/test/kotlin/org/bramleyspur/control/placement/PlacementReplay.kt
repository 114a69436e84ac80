/*
 * Simulates the repair policy on a seeded trace of faults, one second at a time. Crashed instances return without state
 * when their fault ends; paused ones resume with their state, and are released only then. Concurrent loads share the
 * weight store's rate.
 */
package org.bramleyspur.control.placement

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toPersistentMap
import org.bramleyspur.core.model.Assignment
import org.bramleyspur.core.model.FencingNumber
import org.bramleyspur.core.model.InstanceName
import org.bramleyspur.core.model.Member
import org.bramleyspur.core.model.ReplicaId
import org.bramleyspur.core.model.Service
import org.bramleyspur.core.model.ServiceKind
import kotlin.random.Random

internal const val MILLIS_PER_SECOND = 1_000L
private const val LOAD_S = 90.0
private const val FULL_RATE_LOADS = 2.0
private const val SUSPECT_AFTER_MS = 5_000L
private const val RELEASE_S = 3

/** Size of a deployment: data centres, fabric domains and instances, and wanted replicas of each data centre. */
internal data class DeploymentSize(
    val dataCentres: Int,
    val domains: Int,
    val perDomain: Int,
    val groupSize: Int,
    val wanted: List<Int>,
)

internal enum class FaultKind { CRASH, PAUSE }

/** A failure of [instance] from second [atSecond] for [seconds]. */
internal data class Fault(val atSecond: Int, val instance: Int, val kind: FaultKind, val seconds: Int)

internal class ReplayInstance(val view: PlacementInstance) {
    var downFrom = -1
    var downUntil = -1
    var crashed = false
    var failuresMs = emptyList<Long>()
    var upSinceMs = 0L

    fun isDown(second: Int) = second < downUntil
}

internal class ReplayReplica(val assignment: Assignment, val dataCentre: String) {
    var remainingLoadSeconds = LOAD_S
    var brokenAt: Int? = null
    var retiredAt: Int? = null
    val released = mutableSetOf<InstanceName>()
}

internal class PlacementReplay(private val size: DeploymentSize, private val policy: RepairPolicy, seed: Long) {
    private val random = Random(seed)
    val instances = build()
    var services = mapOf("s" to service("v1"))
    val replicas = mutableListOf<ReplayReplica>()
    private val repairs = mutableListOf<Repair>()
    private val pendingFaults = mutableListOf<Fault>()
    private var lastFencingNumber = 0L
    var second = 0
    var measures = Measures()
    var actions = emptyList<PlacementAction>()

    private fun build(): List<ReplayInstance> = (0 until size.dataCentres).flatMap { dataCentre ->
        (0 until size.domains).flatMap { domain ->
            (0 until size.perDomain).map { index ->
                val name = "dc$dataCentre-$domain-$index"
                val member = Member(InstanceName(name), "$name:1")
                ReplayInstance(PlacementInstance(member, "dc$dataCentre", "dc$dataCentre-$domain"))
            }
        }
    }

    fun service(version: String, wanted: List<Int> = size.wanted): Service {
        val placements = wanted.mapIndexed { index, count -> "dc$index" to count }.toMap().toPersistentMap()
        return Service(
            "s",
            ServiceKind.MODEL,
            "m",
            version,
            instancesPerReplica = size.groupSize,
            placements = placements,
        )
    }

    fun run(seconds: Int, faults: List<Fault>, failAfterRepair: Boolean = true) {
        pendingFaults += faults
        repeat(seconds) { step(failAfterRepair) }
    }

    private fun step(failAfterRepair: Boolean) {
        second++
        pendingFaults.filter { it.atSecond == second }.forEach { fail(it) }
        pendingFaults.removeAll { it.atSecond <= second }
        instances.filter { it.downUntil == second }.forEach { it.upSinceMs = second * MILLIS_PER_SECOND }
        load()
        release()
        val snapshot = snapshot()
        measures += measure(snapshot).accumulatedOver(MILLIS_PER_SECOND)
        actions = decidePlacement(snapshot, policy, second * MILLIS_PER_SECOND)
        actions.forEach { execute(it, failAfterRepair) }
    }

    private fun fail(fault: Fault) {
        val instance = instances[fault.instance]
        if (instance.isDown(second)) return
        instance.downFrom = second
        instance.downUntil = second + fault.seconds
        instance.crashed = fault.kind == FaultKind.CRASH
        instance.failuresMs = (instance.failuresMs + second * MILLIS_PER_SECOND).takeLast(8)
        replicas.filter { it.retiredAt == null && it.has(instance) }.forEach {
            it.brokenAt = it.brokenAt ?: second
            if (instance.crashed) it.remainingLoadSeconds = LOAD_S
        }
    }

    private fun ReplayReplica.has(instance: ReplayInstance) = assignment.members.any {
        it.instance == instance.view.name
    }

    private fun ReplayReplica.members() = instances.filter { has(it) }

    private fun load() {
        val live = replicas.filter { it.retiredAt == null && it.members().none { member -> member.isDown(second) } }
        live.forEach { it.brokenAt = null }
        val loading = live.filter { it.remainingLoadSeconds > 0 }
        val rate = minOf(1.0, FULL_RATE_LOADS / maxOf(1, loading.size))
        loading.forEach { it.remainingLoadSeconds -= rate }
    }

    private fun release() {
        replicas.filter { replica -> replica.retiredAt?.let { second >= it + RELEASE_S } == true }.forEach { replica ->
            replica.released += replica.members().filter { !it.isDown(second) }.map { it.view.name }
        }
        replicas.removeAll { it.released.size == it.assignment.members.size }
    }

    fun snapshot(): PlacementSnapshot {
        val held = replicas.flatMap { it.assignment.members.map { member -> member.instance } - it.released }.toSet()
        val views = instances.associate { it.view.name to it.view(it.view.name in held) }
        return PlacementSnapshot(
            services,
            views,
            replicas.map {
                PlacementReplica(it.assignment, it.dataCentre, it.state())
            },
            repairs,
        )
    }

    private fun ReplayInstance.view(held: Boolean): PlacementInstance {
        val sinceMs = downFrom * MILLIS_PER_SECOND
        val health = when {
            !isDown(second) -> Health.Live
            crashed -> Health.Failed(sinceMs)
            second * MILLIS_PER_SECOND >= sinceMs + SUSPECT_AFTER_MS -> Health.Suspect(sinceMs)
            else -> Health.Live
        }
        val free = !held && !isDown(second)
        return view.copy(health = health, free = free, failuresMs = failuresMs, upSinceMs = upSinceMs)
    }

    private fun ReplayReplica.state(): ReplicaState = when {
        retiredAt != null -> ReplicaState.Releasing
        brokenAt != null -> ReplicaState.Broken(brokenAt!! * MILLIS_PER_SECOND, recoverable = true)
        remainingLoadSeconds > 0 -> ReplicaState.Loading
        else -> ReplicaState.Serving
    }

    private fun execute(action: PlacementAction, failAfterRepair: Boolean) {
        when (action) {
            is PlacementAction.CreateReplica -> create(action, failAfterRepair)
            is PlacementAction.RetireReplica -> replicas.single { it.assignment.replica == action.replica }.retiredAt =
                second
            else -> Unit
        }
    }

    private fun create(action: PlacementAction.CreateReplica, failAfterRepair: Boolean) {
        val id = ReplicaId("r-${(++lastFencingNumber).toString().padStart(6, '0')}")
        val members = action.members.toImmutableList()
        val version = action.version
        val assignment =
            Assignment(id, FencingNumber(lastFencingNumber), "s", "m", version, persistentListOf(), members)
        val busy = replicas.flatMap { it.assignment.members.map { member -> member.instance } - it.released }
        check(members.none { it.instance in busy }) { "an instance of $members is in another replica" }
        check(members.map { it.instance }.distinct().size == size.groupSize) {
            "expected ${size.groupSize} different instances, got $members"
        }
        val views = instances.filter { instance -> members.any { it.instance == instance.view.name } }
        check(views.map { it.view.fabricDomain }.distinct().size == 1) { "$members are not in one fabric domain" }
        check(views.none { it.isDown(second) }) { "a member of $members is unresponsive" }
        replicas += ReplayReplica(assignment, action.dataCentre)
        repairs += Repair("s", views.first().view.fabricDomain, second * MILLIS_PER_SECOND)
        if (failAfterRepair && second > 600 && random.nextInt(4) == 0) {
            val target = instances.indexOf(views.random(random))
            pendingFaults += Fault(second + 20 + random.nextInt(60), target, FaultKind.CRASH, 600)
        }
    }
}

/** A random trace of [seconds] with crashes, pauses, two flapping instances and a failure of one fabric domain. */
internal fun faultTrace(size: DeploymentSize, seconds: Int, seed: Long): List<Fault> {
    val random = Random(seed)
    val count = size.dataCentres * size.domains * size.perDomain
    val crashes = List(seconds / 2_400) {
        Fault(random.nextInt(600, seconds), random.nextInt(count), FaultKind.CRASH, random.nextInt(300, 1_800))
    }
    val pauses = List(seconds / 900) {
        val length = if (random.nextInt(4) > 0) random.nextInt(8, 40) else random.nextInt(40, 400)
        Fault(random.nextInt(600, seconds), random.nextInt(count), FaultKind.PAUSE, length)
    }
    val flaps = List(2) { random.nextInt(600, seconds) to random.nextInt(count) }.flatMap { (atSecond, instance) ->
        List(6) { Fault(atSecond + it * 200, instance, FaultKind.CRASH, 20) }
    }
    val domain = random.nextInt(size.dataCentres * size.domains) * size.perDomain
    val outageStart = random.nextInt(600, seconds)
    val outageSeconds = random.nextInt(60, 600)
    val outage = List(size.perDomain) { Fault(outageStart, domain + it, FaultKind.PAUSE, outageSeconds) }
    return crashes + pauses + flaps + outage
}
