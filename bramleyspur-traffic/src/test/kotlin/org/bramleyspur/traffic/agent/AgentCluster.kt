/*
 * Simulates three agents with their engines and the assignments of a control leader, with at most one fault per step.
 * The engines ignore fencing numbers. An order takes effect up to 1,999 ms after it was written, even if the agent has
 * aborted it; a frozen agent keeps its unwritten effects and executes them when it resumes.
 */
package org.bramleyspur.traffic.agent

import kotlinx.collections.immutable.toImmutableList
import org.bramleyspur.core.model.Assignment
import org.bramleyspur.core.model.AssignmentState
import org.bramleyspur.core.model.FencingNumber
import org.bramleyspur.core.model.InstanceName
import org.bramleyspur.core.model.Member
import org.bramleyspur.core.model.ReplicaId
import java.util.PriorityQueue
import kotlin.random.Random

internal const val STEP_MS = 10L
private const val MAX_ORDER_DELAY_MS = 2_000L
private const val MAX_NETWORK_DELAY_MS = 120L

internal class SimulatedEngine {
    var bootNumber = 1
    var crashed = false
    var applied: Assignment? = null
    var role = EngineRole.NONE
    var readyAtMs = 0L

    fun state(nowMs: Long) = EngineState(
        "boot-$bootNumber",
        role,
        if (role == EngineRole.NONE || nowMs >= readyAtMs) EngineLoad.READY else EngineLoad.LOADING,
        applied?.replica,
        applied?.fencingNumber ?: FencingNumber(0),
    )

    fun restart() {
        bootNumber++
        crashed = false
        role = EngineRole.NONE
        applied = null
    }
}

internal class SimulatedAgent(val name: InstanceName, nowMs: Long) {
    var state = AgentState.initial(name, nowMs)
    var incarnation = 1
    var frozen = false
    var disconnectedFromControl = false
    val engine = SimulatedEngine()
    val unwritten = mutableListOf<AgentEffect>()
    val written = mutableSetOf<Long>()
    val accepted = mutableListOf<FencingNumber>()
    var reported = emptyList<AssignmentStatus>()
    var reportKnown = false
    var incompleteServingMs = 0L

    val active: Phase.Active? get() = state.phase as? Phase.Active

    fun cannotServe(assignment: Assignment?, nowMs: Long) =
        frozen || engine.crashed || engine.applied != assignment || nowMs < engine.readyAtMs

    /** Returns the assignment under which this agent may run requests at [nowMs], even if it is frozen. */
    fun served(nowMs: Long): Assignment? = state.permit()?.takeIf { nowMs < it.runningUntilMs }?.assignment
}

internal class AgentCluster(seed: Long) {
    private class Delivery(val atMs: Long, val order: Int, val run: () -> Unit)

    private val random = Random(seed)
    private val stepsPerFault = listOf(40, 150, 500).random(random)
    private val queue = PriorityQueue<Delivery>(compareBy({ it.atMs }, { it.order }))
    private var deliveries = 0
    private var lastId = 10L
    var nowMs = 0L
    val agents = listOf("a", "b", "c").map { SimulatedAgent(InstanceName(it), 0) }
    var desired = emptyList<Assignment>()
    var servingSteps = 0

    fun run(steps: Int) = repeat(steps) {
        nowMs += STEP_MS
        if (random.nextInt(stepsPerFault) == 0) fault(agents.random(random))
        if (random.nextInt(200) == 0) changeAssignments()
        agents.forEach { heartbeatAndProbe(it) }
        while (queue.isNotEmpty() && queue.peek().atMs <= nowMs) queue.poll().run()
        agents.forEach { if (!it.frozen) send(it, AgentEvent.Tick) }
        servingSteps += agents.count { it.served(nowMs) != null }
        check()
    }

    private fun fault(agent: SimulatedAgent) = when {
        agent.frozen -> resume(agent)
        agent.engine.crashed -> agent.engine.restart()
        agent.state.stopped || agent.disconnectedFromControl -> crash(agent)
        else -> startFault(agent)
    }

    private fun startFault(agent: SimulatedAgent) = when (random.nextInt(6)) {
        0 -> agent.frozen = true
        1 -> agent.engine.crashed = true
        2 -> agent.engine.restart()
        3 -> agent.disconnectedFromControl = true
        4 -> send(agent, AgentEvent.PlannedStop)
        else -> crash(agent)
    }

    private fun resume(agent: SimulatedAgent) {
        agent.frozen = false
        val effects = agent.unwritten.toList().also { agent.unwritten.clear() }
        effects.forEach { execute(agent, it) }
    }

    private fun crash(agent: SimulatedAgent) {
        agent.incarnation++
        agent.frozen = false
        agent.disconnectedFromControl = false
        agent.unwritten.clear()
        agent.accepted.clear()
        agent.reportKnown = false
        agent.state = AgentState.initial(agent.name, nowMs)
    }

    /** Withdraws an assignment, or forms a replica of instances whose agents have reported to be free. */
    private fun changeAssignments() {
        if (desired.isNotEmpty() && random.nextInt(3) == 0) {
            desired = desired.drop(1)
            return
        }
        val assigned = desired.flatMap { it.members }.map { it.instance }
        val free = agents.filter { it.name !in assigned && it.reportKnown && it.isFree() }
        val chosen = free.shuffled(random).take(2)
        if (chosen.size < 2 && random.nextInt(8) > 0) return
        if (chosen.isEmpty()) return
        lastId++
        val members = chosen.map { Member(it.name, "${it.name}:1") }.toImmutableList()
        val noAdapters = emptyList<String>().toImmutableList()
        desired =
            desired + Assignment(ReplicaId("r-$lastId"), FencingNumber(lastId), "s", "m", "v", noAdapters, members)
    }

    private fun SimulatedAgent.isFree() = reported.all { it.state == AssignmentState.RELEASED }

    private fun heartbeatAndProbe(agent: SimulatedAgent) {
        if (agent.frozen) return
        val sentAtMs = nowMs
        if (nowMs % 1_000 == 0L && !agent.disconnectedFromControl) heartbeat(agent, sentAtMs)
        if (nowMs % 250 != 0L) return
        schedule(agent, 20) {
            val response = agent.engine.state(nowMs).takeIf { !agent.engine.crashed }
            schedule(agent, 20) { send(agent, AgentEvent.EngineProbed(sentAtMs, response)) }
        }
    }

    private fun heartbeat(agent: SimulatedAgent, sentAtMs: Long) {
        val report = agent.state.report(nowMs)
        val incarnation = agent.incarnation
        schedule(agent, MAX_NETWORK_DELAY_MS) {
            if (agent.incarnation == incarnation) {
                agent.reported = report.assignments
                agent.reportKnown = report.backendHealthy
            }
            val own = desired.filter { assignment -> assignment.members.any { it.instance == agent.name } }
            schedule(agent, MAX_NETWORK_DELAY_MS) {
                send(agent, AgentEvent.HeartbeatResponseReceived(1, sentAtMs, 6_000, own))
            }
        }
    }

    /** Runs [action] within [maxMs], for a frozen agent after it has resumed; drops it if the agent crashes. */
    private fun schedule(agent: SimulatedAgent, maxMs: Long, action: () -> Unit) {
        val incarnation = agent.incarnation
        scheduleAt(nowMs + random.nextLong(maxMs)) { runWhenResumed(agent, incarnation, action) }
    }

    private fun runWhenResumed(agent: SimulatedAgent, incarnation: Int, action: () -> Unit) {
        if (agent.incarnation != incarnation) return
        if (agent.frozen) scheduleAt(nowMs + STEP_MS) { runWhenResumed(agent, incarnation, action) } else action()
    }

    private fun scheduleAt(atMs: Long, action: () -> Unit) {
        queue += Delivery(atMs, deliveries++, action)
    }

    private fun send(agent: SimulatedAgent, event: AgentEvent) {
        val before = agent.active?.assignment?.fencingNumber
        val step = agent.state.handle(event, nowMs)
        agent.state = step.state
        agent.active?.assignment?.fencingNumber?.takeIf { it != before }?.let { agent.accepted += it }
        // The process may freeze after it has decided on an order and before it writes it.
        if (step.effects.any { it is AgentEffect.OrderEngine } && random.nextInt(6) == 0) agent.frozen = true
        step.effects.forEach { if (agent.frozen) agent.unwritten += it else execute(agent, it) }
    }

    private fun execute(agent: SimulatedAgent, effect: AgentEffect) {
        when (effect) {
            is AgentEffect.OrderEngine -> write(agent, effect)

            is AgentEffect.AbortOrder -> schedule(agent, 50) {
                send(agent, AgentEvent.OrderEnded(effect.orderId, OrderOutcome.Unknown))
            }

            is AgentEffect.RequestConfirmation -> requestConfirmation(agent, effect)

            is AgentEffect.RefuseNewWork -> schedule(agent, 500) {
                send(agent, AgentEvent.RunningReported(0, effect.number))
            }

            else -> Unit
        }
    }

    private fun write(agent: SimulatedAgent, order: AgentEffect.OrderEngine) {
        val delayMs = if (random.nextInt(4) == 0) random.nextLong(MAX_ORDER_DELAY_MS) else random.nextLong(50)
        scheduleAt(nowMs + delayMs) {
            val engine = agent.engine
            if (engine.crashed) return@scheduleAt
            engine.role = order.role
            engine.applied = order.assignment
            engine.readyAtMs = nowMs + random.nextLong(1_000)
            val result = OrderOutcome.Accepted("boot-${engine.bootNumber}")
            if (random.nextInt(5) > 0) schedule(agent, 50) { send(agent, AgentEvent.OrderEnded(order.orderId, result)) }
        }
    }

    private fun requestConfirmation(requester: SimulatedAgent, request: AgentEffect.RequestConfirmation) {
        val member = agents.single { it.name == request.member.instance }
        if (random.nextInt(20) == 0) return
        schedule(member, MAX_NETWORK_DELAY_MS) {
            val event = AgentEvent.ConfirmationRequested(1, request.replica, request.fencingNumber, request.grantMs)
            val step = member.state.handle(event, nowMs)
            member.state = step.state
            val response = step.effects.filterIsInstance<AgentEffect.SendConfirmation>().single().response
            step.effects.filter { it !is AgentEffect.SendConfirmation }.forEach { execute(member, it) }
            schedule(requester, MAX_NETWORK_DELAY_MS) {
                send(requester, AgentEvent.ConfirmationReceived(member.name, request.sequence, response))
            }
        }
    }

    private fun check() {
        agents.forEach { checkEngine(it) }
        agents.forEach { checkServing(it) }
        agents.forEach { agent ->
            val increasing = agent.accepted.zipWithNext().all { (older, newer) -> older < newer }
            check(increasing) { "fencing numbers of ${agent.name} decreased: ${agent.accepted}" }
        }
    }

    /** Checks that an engine has a role only while its agent holds that assignment or does not know the role yet. */
    private fun checkEngine(agent: SimulatedAgent) {
        val applied = agent.engine.applied ?: return
        val held = when (val phase = agent.state.phase) {
            is Phase.Starting -> return
            is Phase.Idle -> null
            is Phase.Active -> phase.assignment
            is Phase.Ending -> phase.assignment
        }
        check(held?.fencingNumber == applied.fencingNumber) {
            "engine ${agent.name} is in ${applied.replica} at $nowMs ms while its agent holds ${held?.replica}"
        }
    }

    /** Checks that no replica serves after a member's agent left it, nor for long with an engine that is not in it. */
    private fun checkServing(first: SimulatedAgent) {
        val assignment = first.served(nowMs)
        val members = assignment?.members.orEmpty().map { member -> agents.single { it.name == member.instance } }
        members.filter { it.state.phase !is Phase.Starting }.forEach {
            check(it.active?.assignment == assignment) {
                "${first.name} serves $assignment at $nowMs ms while ${it.name} is in ${it.state.phase}"
            }
        }
        val incomplete = members.any { it.cannotServe(assignment, nowMs) }
        first.incompleteServingMs = if (incomplete) first.incompleteServingMs + STEP_MS else 0
        check(first.incompleteServingMs <= MAX_INCOMPLETE_SERVING_MS) {
            "${first.name} serves an incomplete replica at $nowMs ms"
        }
    }

    private companion object {
        /** 1 s until probes detect a fault, 0.8 s until the last confirmation expires, and the simulated delays. */
        const val MAX_INCOMPLETE_SERVING_MS = 1_900L
    }
}
