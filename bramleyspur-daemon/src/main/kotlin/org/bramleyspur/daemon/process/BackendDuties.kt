/*
 * What an agent does for its backend server besides running requests; on the control thread.
 */
package org.bramleyspur.daemon.process

import org.bramleyspur.core.model.AssignmentState
import org.bramleyspur.core.model.InstanceName
import org.bramleyspur.core.wire.toModel
import org.bramleyspur.daemon.agent.ConfirmClient
import org.bramleyspur.daemon.engine.AssignmentController
import org.bramleyspur.daemon.engine.AssignmentListener
import org.bramleyspur.daemon.engine.OpenAiEngine
import org.bramleyspur.daemon.entry.AttemptBoard
import org.bramleyspur.daemon.entry.ServingGate
import org.bramleyspur.protocol.AssignmentStatus
import org.bramleyspur.protocol.ConfirmReply
import org.bramleyspur.protocol.ConfirmRequest
import org.bramleyspur.protocol.Heartbeat
import org.bramleyspur.protocol.HeartbeatReply
import org.bramleyspur.traffic.agent.AgentTiming
import org.bramleyspur.traffic.agent.ServingPermit
import org.bramleyspur.traffic.agent.AssignmentStatus as ReportedStatus

/** Duties towards one backend server. */
internal interface BackendDuties {
    /** Starts; [onReportChanged] asks for a heartbeat at once. */
    fun start(onReportChanged: () -> Unit)

    /** Content of the next heartbeat. */
    fun heartbeat(): Heartbeat.Builder

    /** Takes the leader's answer to the heartbeat that was sent at [sentAtMs]. */
    fun onReply(reply: HeartbeatReply, sentAtMs: Long)

    /** Answers the question of another agent. */
    fun onConfirmAsked(request: ConfirmRequest, answer: (ConfirmReply) -> Unit)

    /** Begins the planned stop. */
    fun stop()

    /** Whether the planned stop is complete. */
    fun isStopped(): Boolean
}

/** Duties towards a model engine. */
internal class EngineDuties(
    self: InstanceName,
    private val loops: Loops,
    private val board: AttemptBoard,
    engine: OpenAiEngine,
    confirmClient: ConfirmClient,
) : BackendDuties,
    AssignmentListener {
    private var reportChanged: () -> Unit = {}
    private var stopping = false
    private var stopped = false
    private val controller =
        AssignmentController(self, engine, confirmClient, loops.controlTimers, { board.running }, this)

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
        val wanted = reply.assignmentsList.map { it.toModel() }
        controller.onHeartbeatAnswered(reply.term, sentAtMs, reply.leaseMs.toLong(), wanted)
        loops.traffic.execute { board.setSlots(controller.slots) }
    }

    override fun onConfirmAsked(request: ConfirmRequest, answer: (ConfirmReply) -> Unit) {
        controller.onConfirmAsked(request) { given ->
            answer(
                ConfirmReply
                    .newBuilder()
                    .setSequence(request.sequence)
                    .setConfirmed(given.confirmed)
                    .setLeaving(given.leaving)
                    .setReason(given.reason)
                    .build(),
            )
        }
    }

    override fun stop() {
        stopping = true
        controller.stop()
    }

    /** An engine that has stopped before its agent cannot be ordered out of its role any more. */
    override fun isStopped() = stopped || (stopping && board.running == 0 && !controller.report().backendHealthy)

    override fun onPermit(permit: ServingPermit?) {
        val gate = if (permit == null) ServingGate.Closed else ServingGate.Replica(permit)
        loops.traffic.execute { board.setGate(gate) }
    }

    override fun onRefuseNewWork(reason: String, applied: (running: Int) -> Unit) {
        loops.traffic.execute {
            val count = board.running
            loops.control.execute { applied(count) }
        }
    }

    override fun onBroken() = loops.traffic.execute { board.breakAll("the replica is no longer complete") }

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

/** Duties towards a plain backend server. */
internal class PlainDuties(
    private val loops: Loops,
    private val board: AttemptBoard,
    private val backend: OpenAiEngine,
) : BackendDuties {
    private var bootId = ""
    private var slots = 1
    private var misses = MAX_MISSES
    private var leaseUntilMs = Long.MIN_VALUE
    private var leaving = false
    private var reportChanged: () -> Unit = {}

    override fun start(onReportChanged: () -> Unit) {
        reportChanged = onReportChanged
        loops.controlTimers.every(PROBE_MS) { probe() }
        probe()
    }

    override fun heartbeat(): Heartbeat.Builder = Heartbeat
        .newBuilder()
        .setBackendHealthy(healthy())
        .setBackendBootId(bootId)
        .setRunning(board.running)
        .setSlots(slots)
        .setLeaving(leaving)

    override fun onReply(reply: HeartbeatReply, sentAtMs: Long) {
        if (reply.leaseMs > 0) {
            leaseUntilMs = maxOf(leaseUntilMs, sentAtMs + AgentTiming.shortened(reply.leaseMs.toLong()))
        }
        publishGate()
    }

    override fun onConfirmAsked(request: ConfirmRequest, answer: (ConfirmReply) -> Unit) = answer(
        ConfirmReply
            .newBuilder()
            .setSequence(request.sequence)
            .setReason("a plain backend server is in no replica")
            .build(),
    )

    override fun stop() {
        leaving = true
        loops.traffic.execute { board.drain() }
        reportChanged()
    }

    override fun isStopped() = leaving && board.running == 0

    private fun healthy() = misses < MAX_MISSES

    private fun publishGate() {
        val untilMs = if (healthy()) leaseUntilMs else Long.MIN_VALUE
        val gate = if (healthy()) ServingGate.Plain(untilMs) else ServingGate.Closed
        val count = slots
        loops.traffic.execute {
            board.setSlots(count)
            board.setGate(gate)
        }
    }

    private fun probe() {
        var answered = false
        val call = backend.state { state ->
            answered = true
            if (state == null) miss() else hit(state.bootId, state.slots)
        }
        loops.controlTimers.after(PROBE_MS) {
            call.cancel()
            if (!answered) miss()
        }
    }

    private fun hit(seenBootId: String, seenSlots: Int) {
        val changed = !healthy() || seenBootId != bootId || seenSlots != slots
        misses = 0
        bootId = seenBootId
        slots = seenSlots
        if (!changed) return
        publishGate()
        reportChanged()
    }

    private fun miss() {
        misses += 1
        if (misses != MAX_MISSES) return
        publishGate()
        reportChanged()
    }

    private companion object {
        const val PROBE_MS = 250L
        const val MAX_MISSES = 3
    }
}
