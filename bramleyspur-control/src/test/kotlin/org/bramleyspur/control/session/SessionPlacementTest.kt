package org.bramleyspur.control.session

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableList
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.ShrinkingMode
import org.bramleyspur.control.placement.PlacementAction
import org.bramleyspur.control.placement.RepairPolicy
import org.bramleyspur.control.placement.decide
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

/** Guards that sessions and repair policy together place no instance twice and come back to the wanted replicas. */
class SessionPlacementTest {
    @Property(tries = 100, seed = "20261204", shrinking = ShrinkingMode.OFF)
    fun noInstanceIsPlacedTwiceAndServiceRecovers(@ForAll seed: Long) {
        val model = ControlModel(seed)
        model.run(steps = 1_200, faults = true)
        model.run(steps = 1_200, faults = false)
        check(model.routes() == WANTED) {
            "${model.routes()} of $WANTED replicas are routed after all faults have ended"
        }
    }
}

private class ModelInstance(val name: InstanceName) {
    var life = 1
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

private class ControlModel(seed: Long) {
    private val random = Random(seed)
    private val instances = List(6) { ModelInstance(InstanceName("i$it")) }
    private var log = emptyList<Assignment>()
    private var state = SessionState.initial()
    private var number = 0L
    private var streams = 0L
    private var term = 0L
    private var nowMs = 0L
    private val service =
        Service("s", ServiceKind.MODEL, "m", "v1", instancesPerReplica = 2, placements = persistentMapOf("x" to WANTED))
    private val configuration = Configuration(Revision(1), persistentMapOf("s" to service))

    init {
        lead()
    }

    fun routes(): Int = state.routes.routes.size

    fun run(steps: Int, faults: Boolean) {
        if (!faults) instances.forEach { it.frozen = false }
        repeat(steps) {
            nowMs += STEP_MS
            if (faults && random.nextInt(40) == 0) fault(instances.random(random))
            instances.filter { !it.frozen }.forEach { act(it) }
            send(SessionEvent.Tick)
            if (state.judges(nowMs)) decideAll()
            check(
                state.routes.term != term ||
                    state.routes.routes.all { route -> log.any { it.replica == route.replica } },
            )
        }
    }

    private fun fault(instance: ModelInstance) = when (random.nextInt(6)) {
        0, 1, 2 -> instance.frozen = !instance.frozen
        3 -> instance.stream?.let { send(SessionEvent.StreamClosed(it)) }.also { restart(instance) }
        4 -> end(instance, AssignmentState.RELEASED)
        else -> if (random.nextInt(3) == 0) lead() else Unit
    }

    private fun lead() {
        instances.forEach { it.stream = null }
        send(SessionEvent.BecameLeader(++term, configuration, log))
    }

    private fun restart(instance: ModelInstance) {
        instance.life++
        instance.stream = null
        instance.held = null
        instance.ended = null
        instance.endingSinceMs = null
        instance.frozen = random.nextBoolean()
    }

    private fun end(instance: ModelInstance, state: AssignmentState) {
        instance.held?.let { instance.ended = AssignmentReport(it.replica, it.fencingNumber, state) }
        instance.held = null
        instance.endingSinceMs = null
    }

    private fun act(instance: ModelInstance) {
        if (state.sessions[instance.name]?.stream != instance.stream) instance.stream = null
        val stream = instance.stream ?: connect(instance)
        if (nowMs % 1_000 != 0L) return
        val report = HeartbeatReport(nowMs, Revision(1), assignments = reports(instance))
        val answer = send(SessionEvent.Heartbeat(stream, report)).filterIsInstance<SessionEffect.Answer>().single()
        follow(instance, answer.assignments)
    }

    private fun connect(instance: ModelInstance): Long {
        val run = Incarnation("${instance.name}-${instance.life}")
        val address = "${instance.name}:1"
        val hello = Announcement(ProcessRole.AGENT, instance.name, run, address, dataCentre = "x", fabricDomain = "x1")
        send(SessionEvent.Hello(++streams, hello, Revision(1)))
        return streams.also { instance.stream = it }
    }

    private fun reports(instance: ModelInstance): List<AssignmentReport> {
        val held = instance.held ?: return listOfNotNull(instance.ended)
        return listOf(AssignmentReport(held.replica, held.fencingNumber, instance.state(nowMs, serves(instance, held))))
    }

    private fun serves(instance: ModelInstance, held: Assignment): Boolean {
        val members = instances.filter { other -> held.members.any { it.instance == other.name } }
        val complete = members.all { !it.frozen && it.held == held && nowMs >= it.heldSinceMs + LOAD_MS }
        return held.first.instance == instance.name && complete
    }

    /** As the agent does: ends what is not wanted, and only then accepts a higher number. */
    private fun follow(instance: ModelInstance, wanted: List<Assignment>) {
        val held = instance.held
        val wish = wanted.maxByOrNull { it.fencingNumber }
        if (held != null && held != wish) {
            val sinceMs = instance.endingSinceMs ?: nowMs.also { instance.endingSinceMs = it }
            if (nowMs >= sinceMs + 2_000) end(instance, AssignmentState.RELEASED)
        }
        val ended = instance.ended?.fencingNumber ?: FencingNumber(0)
        if (instance.held == null && wish != null && wish.fencingNumber > ended) {
            instance.held = wish
            instance.heldSinceMs = nowMs
        }
    }

    private fun decideAll() {
        val actions =
            decide(state.world(emptyList(), LOAD_MS, nowMs), RepairPolicy.ragusa.copy(flapFailures = 99), nowMs)
        val retired = actions.filterIsInstance<PlacementAction.RetireReplica>().map { it.replica }
        val created = actions.filterIsInstance<PlacementAction.CreateReplica>().map { create(it) }
        if (retired.isEmpty() && created.isEmpty()) return
        log = log.filter { it.replica !in retired } + created
        val members = log.flatMap { it.members }.map { it.instance }
        check(members.distinct().size == members.size) { "an instance is in two replicas of $log" }
        send(SessionEvent.Committed(configuration, log))
    }

    private fun create(action: PlacementAction.CreateReplica): Assignment {
        action.members.map { member -> instances.single { it.name == member.instance } }.forEach {
            val held = it.held
            check(held == null) { "${it.name} is placed at $nowMs ms while its agent holds ${held?.replica}" }
        }
        number++
        val members = action.members.toImmutableList()
        val none = persistentListOf<String>()
        return Assignment(ReplicaId("r$number"), FencingNumber(number), "s", "m", action.version, none, members)
    }

    private fun send(event: SessionEvent): List<SessionEffect> {
        val step = state.handle(event, nowMs)
        state = step.state
        return step.effects
    }
}
