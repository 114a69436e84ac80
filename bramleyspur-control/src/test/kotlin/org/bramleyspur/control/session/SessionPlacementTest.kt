package org.bramleyspur.control.session

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableList
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.ShrinkingMode
import org.bramleyspur.control.placement.PlacementAction
import org.bramleyspur.control.placement.RepairPolicy
import org.bramleyspur.control.placement.decidePlacement
import org.bramleyspur.core.model.Assignment
import org.bramleyspur.core.model.AssignmentState
import org.bramleyspur.core.model.Configuration
import org.bramleyspur.core.model.FencingNumber
import org.bramleyspur.core.model.Incarnation
import org.bramleyspur.core.model.InstanceName
import org.bramleyspur.core.model.ReplicaId
import org.bramleyspur.core.model.Revision
import org.bramleyspur.core.model.Service
import org.bramleyspur.core.model.ServiceKind
import kotlin.random.Random

private const val STEP_MS = 250L
private const val LOAD_MS = 10_000L
private const val WANTED = 2

/** Guards against placing an instance in two replicas, and against replicas that are not restored after faults. */
class SessionPlacementTest {
    @Property(tries = 100, seed = "20261204", shrinking = ShrinkingMode.OFF)
    fun noInstanceIsPlacedTwiceAndServiceRecovers(@ForAll seed: Long) {
        val simulation = ControlSimulation(seed)
        simulation.run(steps = 1_200, faults = true)
        simulation.run(steps = 1_200, faults = false)
        check(simulation.routes() == WANTED) {
            "${simulation.routes()} of $WANTED replicas are routed after all faults have ended"
        }
    }
}

private class SimulatedInstance(val name: InstanceName) {
    var incarnationNumber = 1
    var stream: Long? = null
    var frozen = false
    var held: Assignment? = null
    var heldSinceMs = 0L
    var endingSinceMs: Long? = null
    var ended: AssignmentReport? = null

    fun state(nowMs: Long, serving: Boolean) = when {
        serving -> AssignmentState.SERVING
        nowMs >= heldSinceMs + LOAD_MS -> AssignmentState.READY
        else -> AssignmentState.LOADING
    }
}

private class ControlSimulation(seed: Long) {
    private val random = Random(seed)
    private val instances = List(6) { SimulatedInstance(InstanceName("i$it")) }
    private var committed = emptyList<Assignment>()
    private var state = SessionState.initial()
    private var lastFencingNumber = 0L
    private var streams = 0L
    private var term = 0L
    private var nowMs = 0L
    private val service =
        Service("s", ServiceKind.MODEL, "m", "v1", instancesPerReplica = 2, placements = persistentMapOf("x" to WANTED))
    private val configuration = Configuration(Revision(1), persistentMapOf("s" to service))

    init {
        becomeLeader()
    }

    fun routes(): Int = state.routes.routes.size

    fun run(steps: Int, faults: Boolean) {
        if (!faults) instances.forEach { it.frozen = false }
        repeat(steps) {
            nowMs += STEP_MS
            if (faults && random.nextInt(40) == 0) fault(instances.random(random))
            instances.filter { !it.frozen }.forEach { act(it) }
            send(SessionEvent.Tick)
            if (state.canDeclareLost(nowMs)) decideAll()
            check(
                state.routes.term != term ||
                    state.routes.routes.all { route -> committed.any { it.replica == route.replica } },
            )
        }
    }

    private fun fault(instance: SimulatedInstance) = when (random.nextInt(6)) {
        0, 1, 2 -> instance.frozen = !instance.frozen
        3 -> instance.stream?.let { send(SessionEvent.StreamClosed(it)) }.also { restart(instance) }
        4 -> end(instance, AssignmentState.RELEASED)
        else -> if (random.nextInt(3) == 0) becomeLeader() else Unit
    }

    private fun becomeLeader() {
        instances.forEach { it.stream = null }
        send(SessionEvent.BecameLeader(++term, configuration, committed))
    }

    private fun restart(instance: SimulatedInstance) {
        instance.incarnationNumber++
        instance.stream = null
        instance.held = null
        instance.ended = null
        instance.endingSinceMs = null
        instance.frozen = random.nextBoolean()
    }

    private fun end(instance: SimulatedInstance, state: AssignmentState) {
        instance.held?.let { instance.ended = AssignmentReport(it.replica, it.fencingNumber, state) }
        instance.held = null
        instance.endingSinceMs = null
    }

    private fun act(instance: SimulatedInstance) {
        if (state.sessions[instance.name]?.stream != instance.stream) instance.stream = null
        val stream = instance.stream ?: connect(instance)
        if (nowMs % 1_000 != 0L) return
        val report = HeartbeatReport(nowMs, Revision(1), assignments = reports(instance))
        val response = send(
            SessionEvent.Heartbeat(stream, report),
        ).filterIsInstance<SessionEffect.HeartbeatResponse>().single()
        applyAssignments(instance, response.assignments)
    }

    private fun connect(instance: SimulatedInstance): Long {
        val incarnation = Incarnation("${instance.name}-${instance.incarnationNumber}")
        val address = "${instance.name}:1"
        val hello =
            ProcessDescription(
                ProcessRole.AGENT,
                instance.name,
                incarnation,
                address,
                dataCentre = "x",
                fabricDomain = "x1",
            )
        send(SessionEvent.Hello(++streams, hello, Revision(1)))
        return streams.also { instance.stream = it }
    }

    private fun reports(instance: SimulatedInstance): List<AssignmentReport> {
        val held = instance.held ?: return listOfNotNull(instance.ended)
        return listOf(AssignmentReport(held.replica, held.fencingNumber, instance.state(nowMs, serves(instance, held))))
    }

    private fun serves(instance: SimulatedInstance, held: Assignment): Boolean {
        val members = instances.filter { other -> held.members.any { it.instance == other.name } }
        val complete = members.all { !it.frozen && it.held == held && nowMs >= it.heldSinceMs + LOAD_MS }
        return held.firstMember.instance == instance.name && complete
    }

    /** Like the agent: releases an unwanted assignment, and only then accepts one with a higher fencing number. */
    private fun applyAssignments(instance: SimulatedInstance, wanted: List<Assignment>) {
        val held = instance.held
        val target = wanted.maxByOrNull { it.fencingNumber }
        if (held != null && held != target) {
            val sinceMs = instance.endingSinceMs ?: nowMs.also { instance.endingSinceMs = it }
            if (nowMs >= sinceMs + 2_000) end(instance, AssignmentState.RELEASED)
        }
        val ended = instance.ended?.fencingNumber ?: FencingNumber(0)
        if (instance.held == null && target != null && target.fencingNumber > ended) {
            instance.held = target
            instance.heldSinceMs = nowMs
        }
    }

    private fun decideAll() {
        val actions =
            decidePlacement(
                state.placementSnapshot(emptyList(), LOAD_MS, nowMs),
                RepairPolicy.ragusa.copy(flapFailures = 99),
                nowMs,
            )
        val retired = actions.filterIsInstance<PlacementAction.RetireReplica>().map { it.replica }
        val created = actions.filterIsInstance<PlacementAction.CreateReplica>().map { create(it) }
        if (retired.isEmpty() && created.isEmpty()) return
        committed = committed.filter { it.replica !in retired } + created
        val members = committed.flatMap { it.members }.map { it.instance }
        check(members.distinct().size == members.size) { "an instance is in two replicas of $committed" }
        send(SessionEvent.Committed(configuration, committed))
    }

    private fun create(action: PlacementAction.CreateReplica): Assignment {
        action.members.map { member -> instances.single { it.name == member.instance } }.forEach {
            val held = it.held
            check(held == null) { "${it.name} is placed at $nowMs ms while its agent holds ${held?.replica}" }
        }
        lastFencingNumber++
        val members = action.members.toImmutableList()
        val adapters = persistentListOf<String>()
        return Assignment(
            ReplicaId("r$lastFencingNumber"),
            FencingNumber(lastFencingNumber),
            "s",
            "m",
            action.version,
            adapters,
            members,
        )
    }

    private fun send(event: SessionEvent): List<SessionEffect> {
        val step = state.handle(event, nowMs)
        state = step.state
        return step.effects
    }
}
