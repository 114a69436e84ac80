/*
 * Replays a seeded trace of faults through the pure policy, one second at a time. Crashed instances return empty after
 * their repair; paused ones resume with their state, and are released only then. Loads share the weight store's rate.
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

internal const val SECOND_MS = 1_000L
private const val LOAD_S = 90.0
private const val STORE_LOADS = 2.0
private const val SUSPECT_MS = 5_000L
private const val RELEASE_S = 3

/** Size of a deployment: instances in each data centre and fabric domain, and wanted replicas. */
internal data class Size(
    val dataCentres: Int,
    val domains: Int,
    val perDomain: Int,
    val group: Int,
    val wanted: List<Int>,
)

internal enum class FaultKind { CRASH, PAUSE }

/** [instance] fails at second [at] for [seconds]. */
internal data class Fault(val at: Int, val instance: Int, val kind: FaultKind, val seconds: Int)

internal class ReplayInstance(val view: PlacementInstance) {
    var downFrom = -1
    var downUntil = -1
    var crashed = false
    var failuresMs = emptyList<Long>()
    var upSinceMs = 0L

    fun isDown(second: Int) = second < downUntil
}

internal class ReplayReplica(val assignment: Assignment, val dataCentre: String) {
    var loadLeft = LOAD_S
    var brokenAt: Int? = null
    var retiredAt: Int? = null
    val released = mutableSetOf<InstanceName>()
}

internal class PlacementReplay(private val size: Size, private val policy: RepairPolicy, seed: Long) {
    private val random = Random(seed)
    val instances = build()
    var services = mapOf("s" to service("v1"))
    val replicas = mutableListOf<ReplayReplica>()
    private val repairs = mutableListOf<Repair>()
    private val pending = mutableListOf<Fault>()
    private var number = 0L
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
        return Service("s", ServiceKind.MODEL, "m", version, instancesPerReplica = size.group, placements = placements)
    }

    fun run(seconds: Int, faults: List<Fault>, secondLoss: Boolean = true) {
        pending += faults
        repeat(seconds) { step(secondLoss) }
    }

    private fun step(secondLoss: Boolean) {
        second++
        pending.filter { it.at == second }.forEach { fail(it) }
        pending.removeAll { it.at <= second }
        instances.filter { it.downUntil == second }.forEach { it.upSinceMs = second * SECOND_MS }
        load()
        release()
        val world = world()
        measures += measure(world).over(SECOND_MS)
        actions = decide(world, policy, second * SECOND_MS)
        actions.forEach { carryOut(it, secondLoss) }
    }

    private fun fail(fault: Fault) {
        val instance = instances[fault.instance]
        if (instance.isDown(second)) return
        instance.downFrom = second
        instance.downUntil = second + fault.seconds
        instance.crashed = fault.kind == FaultKind.CRASH
        instance.failuresMs = (instance.failuresMs + second * SECOND_MS).takeLast(8)
        replicas.filter { it.retiredAt == null && it.has(instance) }.forEach {
            it.brokenAt = it.brokenAt ?: second
            if (instance.crashed) it.loadLeft = LOAD_S
        }
    }

    private fun ReplayReplica.has(instance: ReplayInstance) = assignment.members.any {
        it.instance == instance.view.name
    }

    private fun ReplayReplica.members() = instances.filter { has(it) }

    private fun load() {
        val live = replicas.filter { it.retiredAt == null && it.members().none { member -> member.isDown(second) } }
        live.forEach { it.brokenAt = null }
        val loading = live.filter { it.loadLeft > 0 }
        val rate = minOf(1.0, STORE_LOADS / maxOf(1, loading.size))
        loading.forEach { it.loadLeft -= rate }
    }

    private fun release() {
        replicas.filter { replica -> replica.retiredAt?.let { second >= it + RELEASE_S } == true }.forEach { replica ->
            replica.released += replica.members().filter { !it.isDown(second) }.map { it.view.name }
        }
        replicas.removeAll { it.released.size == it.assignment.members.size }
    }

    fun world(): World {
        val held = replicas.flatMap { it.assignment.members.map { member -> member.instance } - it.released }.toSet()
        val views = instances.associate { it.view.name to it.view(it.view.name in held) }
        return World(
            services,
            views,
            replicas.map {
                PlacementReplica(it.assignment, it.dataCentre, it.state())
            },
            repairs,
        )
    }

    private fun ReplayInstance.view(held: Boolean): PlacementInstance {
        val sinceMs = downFrom * SECOND_MS
        val health = when {
            !isDown(second) -> Health.Live
            crashed -> Health.Gone(sinceMs)
            second * SECOND_MS >= sinceMs + SUSPECT_MS -> Health.Suspect(sinceMs)
            else -> Health.Live
        }
        val free = !held && !isDown(second)
        return view.copy(health = health, free = free, failuresMs = failuresMs, upSinceMs = upSinceMs)
    }

    private fun ReplayReplica.state(): ReplicaState = when {
        retiredAt != null -> ReplicaState.Releasing
        brokenAt != null -> ReplicaState.Broken(brokenAt!! * SECOND_MS, recoverable = true)
        loadLeft > 0 -> ReplicaState.Loading
        else -> ReplicaState.Serving
    }

    private fun carryOut(action: PlacementAction, secondLoss: Boolean) {
        when (action) {
            is PlacementAction.CreateReplica -> create(action, secondLoss)
            is PlacementAction.RetireReplica -> replicas.single { it.assignment.replica == action.replica }.retiredAt =
                second
            else -> Unit
        }
    }

    private fun create(action: PlacementAction.CreateReplica, secondLoss: Boolean) {
        val id = ReplicaId("r-${(++number).toString().padStart(6, '0')}")
        val members = action.members.toImmutableList()
        val version = action.version
        val assignment = Assignment(id, FencingNumber(number), "s", "m", version, persistentListOf(), members)
        val busy = replicas.flatMap { it.assignment.members.map { member -> member.instance } - it.released }
        check(members.none { it.instance in busy }) { "an instance of $members is in another replica" }
        check(members.map { it.instance }.distinct().size == size.group) { "wrong members $members" }
        val views = instances.filter { instance -> members.any { it.instance == instance.view.name } }
        check(views.map { it.view.fabricDomain }.distinct().size == 1) { "$members are not in one fabric domain" }
        check(views.none { it.isDown(second) }) { "a member of $members does not answer" }
        replicas += ReplayReplica(assignment, action.dataCentre)
        repairs += Repair("s", views.first().view.fabricDomain, second * SECOND_MS)
        if (secondLoss && second > 600 && random.nextInt(4) == 0) {
            val victim = instances.indexOf(views.random(random))
            pending += Fault(second + 20 + random.nextInt(60), victim, FaultKind.CRASH, 600)
        }
    }
}

/** Faults of [seconds]: crashes, pauses, flapping instances and dark fabric domains. */
internal fun faultTrace(size: Size, seconds: Int, seed: Long): List<Fault> {
    val random = Random(seed)
    val count = size.dataCentres * size.domains * size.perDomain
    val crashes = List(seconds / 2_400) {
        Fault(random.nextInt(600, seconds), random.nextInt(count), FaultKind.CRASH, random.nextInt(300, 1_800))
    }
    val pauses = List(seconds / 900) {
        val length = if (random.nextInt(4) > 0) random.nextInt(8, 40) else random.nextInt(40, 400)
        Fault(random.nextInt(600, seconds), random.nextInt(count), FaultKind.PAUSE, length)
    }
    val flaps = List(2) { random.nextInt(600, seconds) to random.nextInt(count) }.flatMap { (at, instance) ->
        List(6) { Fault(at + it * 200, instance, FaultKind.CRASH, 20) }
    }
    val domain = random.nextInt(size.dataCentres * size.domains) * size.perDomain
    val darkAt = random.nextInt(600, seconds)
    val darkFor = random.nextInt(60, 600)
    val dark = List(size.perDomain) { Fault(darkAt, domain + it, FaultKind.PAUSE, darkFor) }
    return crashes + pauses + flaps + dark
}
