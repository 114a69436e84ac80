package org.bramleyspur.traffic.agent

import kotlinx.collections.immutable.persistentListOf
import org.bramleyspur.core.model.Assignment
import org.bramleyspur.core.model.AssignmentState
import org.bramleyspur.core.model.FencingNumber
import org.bramleyspur.core.model.InstanceName
import org.bramleyspur.core.model.Member
import org.bramleyspur.core.model.ReplicaId
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue

/** Guards the rules by which one agent enters, serves and leaves an assignment. */
class AgentMachineTest {
    @Test
    fun `a new incarnation orders its engine out of every role after the order timeout and not before`() {
        val agent = Agent(FIRST)
        agent.probe(IDLE, 1_990)
        expectThat(agent.orders()).isEmpty()
        expectThat(agent.report().backendHealthy).isFalse()
        agent.probe(IDLE, 2_000)
        expectThat(agent.orders().single().role).isEqualTo(EngineRole.NONE)
        expectThat(agent.state.phase).isEqualTo(Phase.Starting(2_000))
        agent.send(AgentEvent.OrderEnded(1, OrderOutcome.Accepted("b1")), 2_010)
        expectThat(agent.state.phase).isEqualTo(Phase.Idle)
        expectThat(agent.report().backendHealthy).isTrue()
    }

    @Test
    fun `a first member serves only after its member has confirmed and while lease and confirmation last`() {
        val agent = Agent(FIRST).loaded()
        expectThat(agent.report().assignments.single().state).isEqualTo(AssignmentState.READY)
        agent.confirm()
        expectThat(agent.effects).contains(AgentEffect.StartServing(ASSIGNMENT))
        expectThat(agent.report().assignments.single().state).isEqualTo(AssignmentState.SERVING)
        val sentAtMs = agent.nowMs
        expectThat(agent.state.permit()?.runningUntilMs).isEqualTo(sentAtMs + 800)
        agent.probe(IN_ROLE, sentAtMs + 700)
        agent.tick(sentAtMs + 799)
        expectThat(agent.stops()).isEmpty()
        agent.tick(sentAtMs + 800)
        expectThat(agent.stops()).isEqualTo(listOf(StopReason.BROKEN))
        expectThat(agent.state.permit()).isNull()
    }

    @Test
    fun `a confirmation is valid from the sending of the request and not from the response`() {
        val agent = Agent(FIRST).loaded()
        val sentAtMs = agent.nowMs
        val first = agent.lastConfirmationRequest().sequence
        agent.probe(IN_ROLE, sentAtMs + 750)
        agent.confirm(first, sentAtMs + 800)
        expectThat(agent.effects.filterIsInstance<AgentEffect.StartServing>()).isEmpty()
    }

    @Test
    fun `a refused confirmation stops the replica at once`() {
        val agent = Agent(FIRST).serving()
        agent.tick(agent.nowMs + 200)
        val sequence = agent.lastConfirmationRequest().sequence
        agent.send(AgentEvent.ConfirmationReceived(SECOND, sequence, ConfirmationResponse(false)), agent.nowMs + 1)
        expectThat(agent.stops()).isEqualTo(listOf(StopReason.BROKEN))
    }

    @Test
    fun `an ended lease refuses new work and lets running requests finish`() {
        val agent = Agent(FIRST).serving()
        val leaseEndMs = agent.state.leaseUntilMs
        expectThat(leaseEndMs).isEqualTo(agent.heartbeatAtMs + 5_940)
        agent.keepServing(untilMs = leaseEndMs + 50)
        expectThat(agent.effects.filterIsInstance<AgentEffect.RefuseNewWork>().size).isEqualTo(1)
        expectThat(agent.state.permit()?.newWorkUntilMs).isNull()
        expectThat(agent.stops()).isEmpty()
        agent.heartbeat(listOf(ASSIGNMENT), agent.nowMs)
        expectThat(agent.state.permit()?.newWorkUntilMs).isEqualTo(agent.state.permit()?.runningUntilMs)
    }

    @Test
    fun `a planned move drains before the engine is ordered out of its role`() {
        val agent = Agent(FIRST).serving()
        agent.send(AgentEvent.RunningReported(2, 0), agent.nowMs)
        agent.heartbeat(emptyList(), agent.nowMs)
        agent.send(AgentEvent.RunningReported(0, 0), agent.nowMs)
        expectThat(agent.stops()).isEmpty()
        agent.send(AgentEvent.RunningReported(1, 1), agent.nowMs)
        expectThat(agent.orders().last().role).isEqualTo(EngineRole.FIRST)
        agent.send(AgentEvent.RunningReported(0, 1), agent.nowMs)
        expectThat(agent.stops()).isEqualTo(listOf(StopReason.DRAINED))
        expectThat(agent.orders().last().role).isEqualTo(EngineRole.NONE)
        expectThat(agent.report().assignments.single().state).isEqualTo(AssignmentState.FAILED)
        agent.acceptOrder()
        expectThat(agent.report().assignments.single().state).isEqualTo(AssignmentState.RELEASED)
    }

    @Test
    fun `a leaving member confirms as leaving and is released only after its last confirmation has expired`() {
        val agent = Agent(SECOND).loaded()
        val requestedAtMs = agent.nowMs
        agent.send(confirmationRequested(), requestedAtMs)
        agent.send(AgentEvent.PlannedStop, requestedAtMs + 1)
        agent.send(confirmationRequested(), requestedAtMs + 2)
        expectThat(agent.confirmationResponses().map { it.leaving }).isEqualTo(listOf(false, true))
        agent.probe(IN_ROLE_SECOND, requestedAtMs + 700)
        agent.tick(requestedAtMs + 2 + 808)
        expectThat(agent.orders().size).isEqualTo(2)
        agent.tick(requestedAtMs + 2 + 809)
        expectThat(agent.orders().last().role).isEqualTo(EngineRole.NONE)
        agent.acceptOrder()
        expectThat(agent.effects).contains(AgentEffect.StopComplete)
    }

    @Test
    fun `a first member drains and ends when a member is leaving`() {
        val agent = Agent(FIRST).serving()
        agent.confirm(response = ConfirmationResponse(confirmed = true, leaving = true))
        expectThat(agent.effects.filterIsInstance<AgentEffect.RefuseNewWork>().size).isEqualTo(1)
        agent.send(AgentEvent.RunningReported(0, 1), agent.nowMs)
        expectThat(agent.stops()).isEqualTo(listOf(StopReason.DRAINED))
    }

    @ParameterizedTest
    @CsvSource("misses", "restart", "role", "unhealthy", "number")
    fun `a member whose engine is not in its role does not confirm`(fault: String) {
        val agent = Agent(SECOND).loaded()
        when (fault) {
            "misses" -> repeat(3) { agent.probe(null, agent.nowMs + 250) }
            "restart" -> agent.probe(IN_ROLE_SECOND.copy(bootId = "b2"), agent.nowMs + 250)
            "role" -> agent.probe(IDLE, agent.nowMs + 250)
            "unhealthy" -> agent.probe(IN_ROLE_SECOND.copy(load = EngineLoad.FAILED), agent.nowMs + 250)
            else -> agent.probe(IN_ROLE_SECOND.copy(fencingNumber = FencingNumber(6)), agent.nowMs + 250)
        }
        agent.send(confirmationRequested(), agent.nowMs)
        expectThat(agent.confirmationResponses().single().confirmed).isFalse()
    }

    @Test
    fun `an agent that was frozen does not confirm from an old probe`() {
        val agent = Agent(SECOND).loaded()
        agent.send(confirmationRequested(), agent.nowMs + 5_000)
        expectThat(agent.confirmationResponses().single().confirmed).isFalse()
    }

    @Test
    fun `a higher fencing number is accepted only after the old assignment has ended and a lower one never`() {
        val agent = Agent(SECOND).loaded()
        val next = ASSIGNMENT.copy(replica = ReplicaId("r-2"), fencingNumber = FencingNumber(9))
        agent.heartbeat(listOf(next), agent.nowMs)
        expectThat(agent.orders().last().role).isEqualTo(EngineRole.NONE)
        expectThat(agent.report().assignments.single().fencingNumber).isEqualTo(FencingNumber(7))
        agent.acceptOrder()
        expectThat(agent.report().assignments.single().fencingNumber).isEqualTo(FencingNumber(9))
        agent.heartbeat(listOf(ASSIGNMENT), agent.nowMs)
        agent.probe(IDLE, agent.nowMs + 10)
        agent.acceptOrder()
        agent.heartbeat(listOf(ASSIGNMENT), agent.nowMs)
        expectThat(agent.report().assignments.single().fencingNumber).isEqualTo(FencingNumber(9))
    }

    @Test
    fun `an order that has timed out is aborted and nothing is sent until it can no longer take effect`() {
        val agent = Agent(SECOND).idle()
        agent.heartbeat(listOf(ASSIGNMENT), agent.nowMs)
        val order = agent.orders().last()
        val sentAtMs = agent.nowMs
        agent.probe(IDLE, sentAtMs + 1_999)
        expectThat(agent.effects.filterIsInstance<AgentEffect.AbortOrder>()).isEmpty()
        agent.probe(IDLE, sentAtMs + 2_000)
        expectThat(agent.effects).contains(AgentEffect.AbortOrder(order.orderId))
        agent.heartbeat(emptyList(), agent.nowMs)
        agent.send(AgentEvent.OrderEnded(order.orderId, OrderOutcome.Unknown), sentAtMs + 2_100)
        agent.probe(IDLE, sentAtMs + 4_099)
        expectThat(agent.orders().last()).isEqualTo(order)
        agent.probe(IDLE, sentAtMs + 4_100)
        expectThat(agent.orders().last().role).isEqualTo(EngineRole.NONE)
    }

    @Test
    fun `an order that the engine refuses is reported as failed`() {
        val agent = Agent(SECOND).idle()
        agent.heartbeat(listOf(ASSIGNMENT), agent.nowMs)
        agent.send(AgentEvent.OrderEnded(agent.orders().last().orderId, OrderOutcome.Refused("no")), agent.nowMs)
        expectThat(agent.report().assignments.single().state).isEqualTo(AssignmentState.FAILED)
    }

    @Test
    fun `a heartbeat response of an older term changes nothing`() {
        val agent = Agent(SECOND).loaded()
        agent.send(AgentEvent.HeartbeatResponseReceived(0, agent.nowMs, 6_000, emptyList()), agent.nowMs)
        expectThat(agent.report().assignments.single().state).isEqualTo(AssignmentState.READY)
    }
}

private val FIRST = InstanceName("a")
private val SECOND = InstanceName("b")
private val ASSIGNMENT = Assignment(
    ReplicaId("r-1"),
    FencingNumber(7),
    "chat",
    "m",
    "v1",
    persistentListOf(),
    persistentListOf(Member(FIRST, "127.0.0.1:1"), Member(SECOND, "127.0.0.1:2")),
)
private val IDLE = EngineState("b1", EngineRole.NONE, EngineLoad.IDLE)
private val IN_ROLE = EngineState("b1", EngineRole.FIRST, EngineLoad.READY, ReplicaId("r-1"), FencingNumber(7))
private val IN_ROLE_SECOND = IN_ROLE.copy(role = EngineRole.MEMBER)

private fun confirmationRequested() =
    AgentEvent.ConfirmationRequested(1, ASSIGNMENT.replica, ASSIGNMENT.fencingNumber, 800)

/** One agent with a manual clock; collects the effects. */
private class Agent(private val self: InstanceName) {
    var state = AgentState.initial(self, 0)
    var nowMs = 0L
    var heartbeatAtMs = 0L
    val effects = mutableListOf<AgentEffect>()

    fun send(event: AgentEvent, atMs: Long) {
        nowMs = atMs
        val step = state.handle(event, atMs)
        state = step.state
        effects += step.effects
    }

    fun tick(atMs: Long) = send(AgentEvent.Tick, atMs)

    fun probe(response: EngineState?, atMs: Long) = send(AgentEvent.EngineProbed(atMs, response), atMs)

    fun heartbeat(desired: List<Assignment>, atMs: Long) {
        heartbeatAtMs = atMs
        send(AgentEvent.HeartbeatResponseReceived(1, atMs, 6_000, desired), atMs)
    }

    fun acceptOrder() = send(AgentEvent.OrderEnded(orders().last().orderId, OrderOutcome.Accepted("b1")), nowMs)

    fun idle(): Agent = apply {
        probe(IDLE, 2_000)
        acceptOrder()
        probe(IDLE, 2_010)
    }

    fun loaded(): Agent = idle().apply {
        heartbeat(listOf(ASSIGNMENT), 2_020)
        acceptOrder()
        probe(if (self == FIRST) IN_ROLE else IN_ROLE_SECOND, 2_040)
    }

    fun serving(): Agent = loaded().apply { confirm() }

    fun confirm(
        sequence: Long = lastConfirmationRequest().sequence,
        atMs: Long = nowMs,
        response: ConfirmationResponse = ConfirmationResponse(true),
    ) = send(AgentEvent.ConfirmationReceived(SECOND, sequence, response), atMs)

    fun keepServing(untilMs: Long) {
        while (nowMs < untilMs) {
            probe(IN_ROLE, nowMs + 50)
            send(AgentEvent.RunningReported(1, 0), nowMs)
            confirm()
        }
    }

    fun report(): AgentReport = state.report(nowMs)

    fun orders() = effects.filterIsInstance<AgentEffect.OrderEngine>()

    fun stops() = effects.filterIsInstance<AgentEffect.StopServing>().map { it.reason }

    fun confirmationResponses() = effects.filterIsInstance<AgentEffect.SendConfirmation>().map { it.response }

    fun lastConfirmationRequest() = effects.filterIsInstance<AgentEffect.RequestConfirmation>().last()
}
