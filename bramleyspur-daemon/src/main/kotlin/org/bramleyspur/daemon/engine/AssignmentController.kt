/*
 * Executes the effects of an agent's assignment state machine on the control thread: probes the engine, sends orders to
 * it, requests confirmations from the other members, and notifies the listener when the agent may serve.
 */
package org.bramleyspur.daemon.engine

import io.github.oshai.kotlinlogging.KotlinLogging
import org.bramleyspur.core.model.Assignment
import org.bramleyspur.core.model.FencingNumber
import org.bramleyspur.core.model.InstanceName
import org.bramleyspur.core.model.ReplicaId
import org.bramleyspur.core.time.TimerService
import org.bramleyspur.daemon.agent.ConfirmClient
import org.bramleyspur.protocol.ConfirmReply
import org.bramleyspur.protocol.ConfirmRequest
import org.bramleyspur.traffic.agent.AgentEffect
import org.bramleyspur.traffic.agent.AgentEvent
import org.bramleyspur.traffic.agent.AgentReport
import org.bramleyspur.traffic.agent.AgentState
import org.bramleyspur.traffic.agent.ConfirmationResponse
import org.bramleyspur.traffic.agent.EngineLoad
import org.bramleyspur.traffic.agent.EngineState
import org.bramleyspur.traffic.agent.OrderOutcome
import org.bramleyspur.traffic.agent.ServingPermit
import org.bramleyspur.traffic.agent.StopReason
import org.bramleyspur.traffic.agent.handle
import org.bramleyspur.traffic.agent.EngineRole as OrderedRole

private val logger = KotlinLogging.logger {}

/** Receives the decisions of the assignment state machine; all calls come on the control thread. */
interface AssignmentListener {
    /** [permit] states how long requests may be started and continued; null if nothing may be served. */
    fun onPermit(permit: ServingPermit?)

    /** New requests must be refused; then call [applied] on the control thread with the number of running requests. */
    fun onRefuseNewWork(reason: String, applied: (running: Int) -> Unit)

    /** Running requests must be ended as broken. */
    fun onBroken()

    /** The report has changed and should be sent to the leader immediately. */
    fun onReportChanged()

    /** The planned stop is complete. */
    fun onStopComplete()
}

/** Runs the assignment state machine of instance [self] for [engine]. */
class AssignmentController(
    private val self: InstanceName,
    private val engine: OpenAiEngine,
    private val confirmClient: ConfirmClient,
    private val timers: TimerService,
    private val running: () -> Int,
    private val listener: AssignmentListener,
) {
    private var state = AgentState.initial(self, timers.nowMs())
    private var permit: ServingPermit? = null
    private var lastRefusalNumber = 0L
    private var nextConfirmId = 0L
    private val pendingConfirms = HashMap<Long, (ConfirmationResponse) -> Unit>()
    private val pendingOrders = HashMap<Long, () -> Unit>()

    /** Number of slots that the engine last reported. */
    var slots = 1
        private set

    /** Starts probing the engine. */
    fun start() {
        timers.every(TICK_INTERVAL_MS) { feed(AgentEvent.RunningReported(running(), lastRefusalNumber)) }
        timers.every(PROBE_INTERVAL_MS) { probe() }
        probe()
    }

    /** The report for the next heartbeat. */
    fun report(): AgentReport = state.report(timers.nowMs())

    /** Handles the leader's reply to a heartbeat that was sent at [sentAtMs]. */
    fun onHeartbeatReply(term: Long, sentAtMs: Long, leaseMs: Long, desired: List<Assignment>) =
        feed(AgentEvent.HeartbeatResponseReceived(term, sentAtMs, leaseMs, desired))

    /** Handles the confirmation request of another agent; [respond] is called with the decision. */
    fun onConfirmRequest(request: ConfirmRequest, respond: (ConfirmationResponse) -> Unit) {
        val confirmId = nextConfirmId++
        pendingConfirms[confirmId] = respond
        val replica = ReplicaId(request.replica)
        val number = FencingNumber(request.fencingNumber)
        feed(AgentEvent.ConfirmationRequested(confirmId, replica, number, request.grantMs.toLong()))
    }

    /** Starts the planned stop of this instance. */
    fun stop() = feed(AgentEvent.PlannedStop)

    private fun probe() {
        val sentAtMs = timers.nowMs()
        var responded = false
        val onResponse = { response: BackendStateResponse? ->
            responded = true
            if (response != null) slots = response.slots
            feed(AgentEvent.EngineProbed(sentAtMs, response?.toEngineState()))
        }
        val call = engine.state(onResponse)
        timers.after(PROBE_INTERVAL_MS) {
            call.cancel()
            if (!responded) onResponse(null)
        }
    }

    private fun feed(event: AgentEvent) {
        val step = state.handle(event, timers.nowMs())
        state = step.state
        step.effects.forEach { execute(it) }
        publishPermit()
    }

    private fun publishPermit() {
        val current = state.permit()
        if (current == permit) return
        permit = current
        listener.onPermit(current)
    }

    private fun execute(effect: AgentEffect) {
        when (effect) {
            is AgentEffect.OrderEngine -> sendOrder(effect)

            is AgentEffect.AbortOrder -> pendingOrders.remove(effect.orderId)?.invoke()

            is AgentEffect.RequestConfirmation -> requestConfirmation(effect)

            is AgentEffect.SendConfirmation -> pendingConfirms.remove(effect.requestNumber)?.invoke(effect.response)

            is AgentEffect.StartServing -> logger.info { "started serving replica ${effect.assignment.replica}" }

            is AgentEffect.RefuseNewWork -> refuseNewWork(effect)

            is AgentEffect.StopServing -> stopServing(effect.reason)

            AgentEffect.ReportStatus -> listener.onReportChanged()

            AgentEffect.StopComplete -> listener.onStopComplete()
        }
    }

    private fun refuseNewWork(effect: AgentEffect.RefuseNewWork) {
        logger.info { "refusing new requests: ${effect.reason}" }
        publishPermit()
        listener.onRefuseNewWork(effect.reason) { running ->
            lastRefusalNumber = maxOf(lastRefusalNumber, effect.number)
            feed(AgentEvent.RunningReported(running, lastRefusalNumber))
        }
    }

    private fun stopServing(reason: StopReason) {
        logger.info { "stopped serving: ${reason.name.lowercase()}" }
        publishPermit()
        if (reason == StopReason.BROKEN) listener.onBroken()
    }

    private fun sendOrder(effect: AgentEffect.OrderEngine) {
        var isPending = true
        val complete = { outcome: OrderOutcome ->
            if (isPending) {
                isPending = false
                pendingOrders.remove(effect.orderId)
                feed(AgentEvent.OrderEnded(effect.orderId, outcome))
            }
        }
        val call = engine.sendOrder(effect.toOrder()) { status, bootId -> complete(outcomeOf(status, bootId)) }
        pendingOrders[effect.orderId] = {
            call.cancel()
            complete(OrderOutcome.Unknown)
        }
    }

    private fun outcomeOf(status: Int?, bootId: String): OrderOutcome = when {
        status == null -> OrderOutcome.Unknown
        status == OK -> OrderOutcome.Accepted(bootId)
        else -> OrderOutcome.Refused("the engine refused the order with status $status")
    }

    private fun AgentEffect.OrderEngine.toOrder(): EngineOrder {
        val members = assignment?.members.orEmpty()
        return EngineOrder(
            orderId = "$self/$orderId",
            fencingNumber = fencingNumber.value,
            replica = assignment?.replica?.value.orEmpty(),
            role = EngineRole.valueOf(role.name),
            rank = members.indexOfFirst { it.instance == self }.coerceAtLeast(0),
            model = assignment?.model.orEmpty(),
            version = assignment?.version.orEmpty(),
            adapters = assignment?.adapters.orEmpty(),
            members = members.map { it.backendAddress },
        )
    }

    private fun requestConfirmation(effect: AgentEffect.RequestConfirmation) {
        val request =
            ConfirmRequest
                .newBuilder()
                .setReplica(effect.replica.value)
                .setFencingNumber(effect.fencingNumber.value)
                .setSequence(effect.sequence)
                .setGrantMs(effect.grantMs.toInt())
                .build()
        confirmClient.requestConfirmation(effect.member.address, request) { reply ->
            feed(AgentEvent.ConfirmationReceived(effect.member.instance, reply.sequence, reply.toModel()))
        }
    }

    private companion object {
        const val TICK_INTERVAL_MS = 50L
        const val PROBE_INTERVAL_MS = 250L
        const val OK = 200
    }
}

private fun ConfirmReply.toModel() = ConfirmationResponse(confirmed, leaving, reason)

private fun BackendStateResponse.toEngineState() = EngineState(
    bootId = bootId,
    role = OrderedRole.valueOf(role.name),
    load = EngineLoad.entries.firstOrNull { it.name.equals(state, ignoreCase = true) } ?: EngineLoad.IDLE,
    replica = replica.ifEmpty { null }?.let { ReplicaId(it) },
    fencingNumber = FencingNumber(fencingNumber),
)
