/*
 * Three agents with their engines and a control leader's assignments, driven step by step with one fault at a step. The
 * engines ignore fencing numbers. An order takes effect up to 1,999 ms after it was written, also when the agent has
 * given it up; a frozen agent keeps its unwritten effects and carries them out when it resumes.
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
private const val ORDER_DELAY_MS = 2_000L
private const val NETWORK_DELAY_MS = 120L

internal class ModelEngine {
    var boot = 1
    var dead = false
    var applied: Assignment? = null
    var role = EngineRole.NONE
    var readyAtMs = 0L

    fun state(nowMs: Long) = EngineState(
        "boot-$boot",
        role,
        if (role == EngineRole.NONE || nowMs >= readyAtMs) EngineLoad.READY else EngineLoad.LOADING,
        applied?.replica,
        applied?.fencingNumber ?: FencingNumber(0),
    )

    fun restart() {
        boot++
        dead = false
        role = EngineRole.NONE
        applied = null
    }
}

internal class ModelAgent(val name: InstanceName, nowMs: Long) {
    var state = AgentState.initial(name, nowMs)
    var life = 1
    var frozen = false
    var cutFromControl = false
    val engine = ModelEngine()
    val unwritten = mutableListOf<AgentEffect>()
    val written = mutableSetOf<Long>()
    val accepted = mutableListOf<FencingNumber>()
    var reported = emptyList<AssignmentStatus>()
    var reportKnown = false
    var faultyRunMs = 0L

    val active: Phase.Active? get() = state.phase as? Phase.Active

    fun cannotServe(assignment: Assignment?, nowMs: Long) =
        frozen || engine.dead || engine.applied != assignment || nowMs < engine.readyAtMs

    /** The assignment under which this agent may be running requests at [nowMs], also when it is frozen. */
    fun served(nowMs: Long): Assignment? = state.permit()?.takeIf { nowMs < it.runningUntilMs }?.assignment
}

internal class AgentCluster(seed: Long) {
    private class Delivery(val atMs: Long, val order: Int, val run: () -> Unit)

    private val random = Random(seed)
    private val stepsPerFault = listOf(40, 150, 500).random(random)
    private val queue = PriorityQueue<Delivery>(compareBy({ it.atMs }, { it.order }))
    private var deliveries = 0
    private var number = 10L
    var nowMs = 0L
    val agents = listOf("a", "b", "c").map { ModelAgent(InstanceName(it), 0) }
    var wanted = emptyList<Assignment>()
    var served = 0

    fun run(steps: Int) = repeat(steps) {
        nowMs += STEP_MS
        if (random.nextInt(stepsPerFault) == 0) fault(agents.random(random))
        if (random.nextInt(200) == 0) decide()
        agents.forEach { heartbeatAndProbe(it) }
        while (queue.isNotEmpty() && queue.peek().atMs <= nowMs) queue.poll().run()
        agents.forEach { if (!it.frozen) send(it, AgentEvent.Tick) }
        served += agents.count { it.served(nowMs) != null }
        check()
    }

    private fun fault(agent: ModelAgent) = when {
        agent.frozen -> thaw(agent)
        agent.engine.dead -> agent.engine.restart()
        agent.state.stopped || agent.cutFromControl -> crash(agent)
        else -> firstFault(agent)
    }

    private fun firstFault(agent: ModelAgent) = when (random.nextInt(6)) {
        0 -> agent.frozen = true
        1 -> agent.engine.dead = true
        2 -> agent.engine.restart()
        3 -> agent.cutFromControl = true
        4 -> send(agent, AgentEvent.PlannedStop)
        else -> crash(agent)
    }

    private fun thaw(agent: ModelAgent) {
        agent.frozen = false
        val effects = agent.unwritten.toList().also { agent.unwritten.clear() }
        effects.forEach { carryOut(agent, it) }
    }

    private fun crash(agent: ModelAgent) {
        agent.life++
        agent.frozen = false
        agent.cutFromControl = false
        agent.unwritten.clear()
        agent.accepted.clear()
        agent.reportKnown = false
        agent.state = AgentState.initial(agent.name, nowMs)
    }

    /** Withdraws what is wanted, or forms a replica of instances whose agents have reported to be free. */
    private fun decide() {
        if (wanted.isNotEmpty() && random.nextInt(3) == 0) {
            wanted = wanted.drop(1)
            return
        }
        val taken = wanted.flatMap { it.members }.map { it.instance }
        val free = agents.filter { it.name !in taken && it.reportKnown && it.isFree() }
        val members = free.shuffled(random).take(2)
        if (members.size < 2 && random.nextInt(8) > 0) return
        if (members.isEmpty()) return
        number++
        val list = members.map { Member(it.name, "${it.name}:1") }.toImmutableList()
        val none = emptyList<String>().toImmutableList()
        wanted = wanted + Assignment(ReplicaId("r-$number"), FencingNumber(number), "s", "m", "v", none, list)
    }

    private fun ModelAgent.isFree() = reported.all { it.state == AssignmentState.RELEASED }

    private fun heartbeatAndProbe(agent: ModelAgent) {
        if (agent.frozen) return
        val sentAtMs = nowMs
        if (nowMs % 1_000 == 0L && !agent.cutFromControl) heartbeat(agent, sentAtMs)
        if (nowMs % 250 != 0L) return
        later(agent, 20) {
            val answer = agent.engine.state(nowMs).takeIf { !agent.engine.dead }
            later(agent, 20) { send(agent, AgentEvent.EngineProbed(sentAtMs, answer)) }
        }
    }

    private fun heartbeat(agent: ModelAgent, sentAtMs: Long) {
        val report = agent.state.report(nowMs)
        val life = agent.life
        later(agent, NETWORK_DELAY_MS) {
            if (agent.life == life) {
                agent.reported = report.assignments
                agent.reportKnown = report.backendHealthy
            }
            val mine = wanted.filter { list -> list.members.any { it.instance == agent.name } }
            later(agent, NETWORK_DELAY_MS) { send(agent, AgentEvent.HeartbeatAnswered(1, sentAtMs, 6_000, mine)) }
        }
    }

    /** Runs [action] within [maxMs]; for a frozen agent when it has resumed, for a crashed one never. */
    private fun later(agent: ModelAgent, maxMs: Long, action: () -> Unit) {
        val life = agent.life
        at(nowMs + random.nextLong(maxMs)) { retryUntilThawed(agent, life, action) }
    }

    private fun retryUntilThawed(agent: ModelAgent, life: Int, action: () -> Unit) {
        if (agent.life != life) return
        if (agent.frozen) at(nowMs + STEP_MS) { retryUntilThawed(agent, life, action) } else action()
    }

    private fun at(atMs: Long, action: () -> Unit) {
        queue += Delivery(atMs, deliveries++, action)
    }

    private fun send(agent: ModelAgent, event: AgentEvent) {
        val before = agent.active?.assignment?.fencingNumber
        val step = agent.state.handle(event, nowMs)
        agent.state = step.state
        agent.active?.assignment?.fencingNumber?.takeIf { it != before }?.let { agent.accepted += it }
        // Some orders are written only after the process was frozen.
        if (step.effects.any { it is AgentEffect.OrderEngine } && random.nextInt(6) == 0) agent.frozen = true
        step.effects.forEach { if (agent.frozen) agent.unwritten += it else carryOut(agent, it) }
    }

    private fun carryOut(agent: ModelAgent, effect: AgentEffect) {
        when (effect) {
            is AgentEffect.OrderEngine -> write(agent, effect)

            is AgentEffect.AbortOrder -> later(agent, 50) {
                send(agent, AgentEvent.OrderEnded(effect.orderId, OrderOutcome.Unknown))
            }

            is AgentEffect.AskConfirm -> ask(agent, effect)

            is AgentEffect.RefuseNewWork -> later(agent, 500) {
                send(agent, AgentEvent.RunningReported(0, effect.number))
            }

            else -> Unit
        }
    }

    private fun write(agent: ModelAgent, order: AgentEffect.OrderEngine) {
        val delayMs = if (random.nextInt(4) == 0) random.nextLong(ORDER_DELAY_MS) else random.nextLong(50)
        at(nowMs + delayMs) {
            val engine = agent.engine
            if (engine.dead) return@at
            engine.role = order.role
            engine.applied = order.assignment
            engine.readyAtMs = nowMs + random.nextLong(1_000)
            val answer = OrderOutcome.Accepted("boot-${engine.boot}")
            if (random.nextInt(5) > 0) later(agent, 50) { send(agent, AgentEvent.OrderEnded(order.orderId, answer)) }
        }
    }

    private fun ask(asker: ModelAgent, question: AgentEffect.AskConfirm) {
        val member = agents.single { it.name == question.member.instance }
        if (random.nextInt(20) == 0) return
        later(member, NETWORK_DELAY_MS) {
            val event = AgentEvent.ConfirmAsked(1, question.replica, question.fencingNumber, question.grantMs)
            val step = member.state.handle(event, nowMs)
            member.state = step.state
            val answer = step.effects.filterIsInstance<AgentEffect.ReplyConfirm>().single().answer
            step.effects.filter { it !is AgentEffect.ReplyConfirm }.forEach { carryOut(member, it) }
            later(asker, NETWORK_DELAY_MS) {
                send(asker, AgentEvent.ConfirmAnswered(member.name, question.sequence, answer))
            }
        }
    }

    private fun check() {
        agents.forEach { checkEngine(it) }
        agents.forEach { checkServing(it) }
        agents.forEach { agent ->
            val rising = agent.accepted.zipWithNext().all { (older, newer) -> older < newer }
            check(rising) { "fencing numbers of ${agent.name} went down: ${agent.accepted}" }
        }
    }

    /** An engine is in a role only while its agent holds that assignment or does not know the engine's role yet. */
    private fun checkEngine(agent: ModelAgent) {
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

    /** Nobody serves a replica that a living agent of a member has left, nor for long one whose engine is not in it. */
    private fun checkServing(first: ModelAgent) {
        val assignment = first.served(nowMs)
        val members = assignment?.members.orEmpty().map { member -> agents.single { it.name == member.instance } }
        members.filter { it.state.phase !is Phase.Starting }.forEach {
            check(it.active?.assignment == assignment) {
                "${first.name} serves $assignment at $nowMs ms while ${it.name} is in ${it.state.phase}"
            }
        }
        val faulty = members.any { it.cannotServe(assignment, nowMs) }
        first.faultyRunMs = if (faulty) first.faultyRunMs + STEP_MS else 0
        check(first.faultyRunMs <= DETECTION_MS) { "${first.name} serves an incomplete replica at $nowMs ms" }
    }

    private companion object {
        /** 1 s until the probe has noticed, 0.8 s until the last confirmation has ended, and delays of this model. */
        const val DETECTION_MS = 1_900L
    }
}
