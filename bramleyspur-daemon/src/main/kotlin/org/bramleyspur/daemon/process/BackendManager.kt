/*
 * Management of an agent's backend server, apart from running requests; on the control thread.
 */
package org.bramleyspur.daemon.process

import org.bramleyspur.core.model.AssignmentState
import org.bramleyspur.core.model.InstanceName
import org.bramleyspur.core.wire.toModel
import org.bramleyspur.daemon.agent.ConfirmClient
import org.bramleyspur.daemon.engine.AssignmentController
import org.bramleyspur.daemon.engine.AssignmentListener
import org.bramleyspur.daemon.engine.OpenAiEngine
import org.bramleyspur.daemon.entry.AttemptManager
import org.bramleyspur.daemon.entry.ServingGate
import org.bramleyspur.protocol.AssignmentStatus
import org.bramleyspur.protocol.ConfirmReply
import org.bramleyspur.protocol.ConfirmRequest
import org.bramleyspur.protocol.Heartbeat
import org.bramleyspur.protocol.HeartbeatReply
import org.bramleyspur.traffic.agent.AgentTiming
import org.bramleyspur.traffic.agent.ServingPermit
import org.bramleyspur.traffic.agent.AssignmentStatus as ReportedStatus

/** Reports the state of one backend server and applies the leader's replies. */
internal interface BackendManager {
    /** Starts the manager; it calls [onReportChanged] when a heartbeat should be sent at once. */
    fun start(onReportChanged: () -> Unit)

    /** Builds the next heartbeat. */
    fun heartbeat(): Heartbeat.Builder

    /** Handles the leader's reply to the heartbeat sent at [sentAtMs]. */
    fun onReply(reply: HeartbeatReply, sentAtMs: Long)

    /** Handles the confirmation request of another agent. */
    fun onConfirmRequest(request: ConfirmRequest, respond: (ConfirmReply) -> Unit)

    /** Begins the planned stop. */
    fun stop()

    /** Whether the planned stop is complete. */
    fun isStopped(): Boolean
}

/** Manages a model engine and its assignment. */
internal class EngineManager(
    self: InstanceName,
    private val loops: EventLoops,
    private val attemptManager: AttemptManager,
    engine: OpenAiEngine,
    confirmClient: ConfirmClient,
) : BackendManager,
    AssignmentListener {
    private var reportChanged: () -> Unit = {}
    private var stopping = false
    private var stopped = false
    private val controller =
        AssignmentController(self, engine, confirmClient, loops.controlTimers, { attemptManager.running }, this)

    override fun start(onReportChanged: () -> Unit) {
        reportChanged = onReportChanged
        controller.start()
    }

    override fun heartbeat(): Heartbeat.Builder {
        val report = controller.report()
        return Heartbeat
            .newBuilder()
            .setBackendHealthy(report.backendHealthy)
            .setBackendBootId(report.bootId)
            .addAllAssignments(report.assignments.map { it.toMessage() })
            .setRunning(report.running)
            .setSlots(controller.slots)
            .setLeaving(report.leaving)
    }

    override fun onReply(reply: HeartbeatReply, sentAtMs: Long) {
        val assignments = reply.assignmentsList.map { it.toModel() }
        controller.onHeartbeatReply(reply.term, sentAtMs, reply.leaseMs.toLong(), assignments)
        loops.traffic.execute { attemptManager.setSlots(controller.slots) }
    }

    override fun onConfirmRequest(request: ConfirmRequest, respond: (ConfirmReply) -> Unit) {
        controller.onConfirmRequest(request) { confirmation ->
            respond(
                ConfirmReply
                    .newBuilder()
                    .setSequence(request.sequence)
                    .setConfirmed(confirmation.confirmed)
                    .setLeaving(confirmation.leaving)
                    .setReason(confirmation.reason)
                    .build(),
            )
        }
    }

    override fun stop() {
        stopping = true
        controller.stop()
    }

    /** An engine that stopped before its agent can no longer be ordered to leave its role. */
    override fun isStopped() =
        stopped || (stopping && attemptManager.running == 0 && !controller.report().backendHealthy)

    override fun onPermit(permit: ServingPermit?) {
        val gate = if (permit == null) ServingGate.Closed else ServingGate.Replica(permit)
        loops.traffic.execute { attemptManager.setGate(gate) }
    }

    override fun onRefuseNewWork(reason: String, applied: (running: Int) -> Unit) {
        loops.traffic.execute {
            val runningCount = attemptManager.running
            loops.control.execute { applied(runningCount) }
        }
    }

    override fun onBroken() = loops.traffic.execute { attemptManager.abortAll("the replica is no longer complete") }

    override fun onReportChanged() = reportChanged()

    override fun onStopComplete() {
        stopped = true
    }

    private fun ReportedStatus.toMessage(): AssignmentStatus = AssignmentStatus
        .newBuilder()
        .setReplica(replica.value)
        .setFencingNumber(fencingNumber.value)
        .setState(state.toMessage())
        .setReason(reason)
        .build()

    private fun AssignmentState.toMessage() = AssignmentStatus.State.valueOf(name)
}

/** Manages a plain backend server; probes its `/admin/state` with the client that is also used for engines. */
internal class PlainBackendManager(
    private val loops: EventLoops,
    private val attemptManager: AttemptManager,
    private val backend: OpenAiEngine,
) : BackendManager {
    private var bootId = ""
    private var slots = 1
    private var failedProbes = MAX_FAILED_PROBES
    private var leaseUntilMs = Long.MIN_VALUE
    private var leaving = false
    private var reportChanged: () -> Unit = {}

    override fun start(onReportChanged: () -> Unit) {
        reportChanged = onReportChanged
        loops.controlTimers.every(PROBE_INTERVAL_MS) { probe() }
        probe()
    }

    override fun heartbeat(): Heartbeat.Builder = Heartbeat
        .newBuilder()
        .setBackendHealthy(healthy())
        .setBackendBootId(bootId)
        .setRunning(attemptManager.running)
        .setSlots(slots)
        .setLeaving(leaving)

    override fun onReply(reply: HeartbeatReply, sentAtMs: Long) {
        if (reply.leaseMs > 0) {
            leaseUntilMs = maxOf(leaseUntilMs, sentAtMs + AgentTiming.shortened(reply.leaseMs.toLong()))
        }
        publishGate()
    }

    override fun onConfirmRequest(request: ConfirmRequest, respond: (ConfirmReply) -> Unit) = respond(
        ConfirmReply
            .newBuilder()
            .setSequence(request.sequence)
            .setReason("a plain backend server is in no replica")
            .build(),
    )

    override fun stop() {
        leaving = true
        loops.traffic.execute { attemptManager.drain() }
        reportChanged()
    }

    override fun isStopped() = leaving && attemptManager.running == 0

    private fun healthy() = failedProbes < MAX_FAILED_PROBES

    private fun publishGate() {
        val untilMs = if (healthy()) leaseUntilMs else Long.MIN_VALUE
        val gate = if (healthy()) ServingGate.Plain(untilMs) else ServingGate.Closed
        val slotCount = slots
        loops.traffic.execute {
            attemptManager.setSlots(slotCount)
            attemptManager.setGate(gate)
        }
    }

    private fun probe() {
        var responded = false
        val call = backend.state { state ->
            responded = true
            if (state == null) onProbeFailure() else onProbeSuccess(state.bootId, state.slots)
        }
        loops.controlTimers.after(PROBE_INTERVAL_MS) {
            call.cancel()
            if (!responded) onProbeFailure()
        }
    }

    private fun onProbeSuccess(probedBootId: String, probedSlots: Int) {
        val changed = !healthy() || probedBootId != bootId || probedSlots != slots
        failedProbes = 0
        bootId = probedBootId
        slots = probedSlots
        if (!changed) return
        publishGate()
        reportChanged()
    }

    private fun onProbeFailure() {
        failedProbes += 1
        if (failedProbes != MAX_FAILED_PROBES) return
        publishGate()
        reportChanged()
    }

    private companion object {
        const val PROBE_INTERVAL_MS = 250L
        const val MAX_FAILED_PROBES = 3
    }
}
