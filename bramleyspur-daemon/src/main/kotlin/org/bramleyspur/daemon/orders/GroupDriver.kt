package org.bramleyspur.daemon.orders

import com.github.michaelbull.result.getOrElse
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.bramleyspur.control.group.EngineCommand
import org.bramleyspur.control.group.EngineEvidence
import org.bramleyspur.control.group.EngineIncarnation
import org.bramleyspur.control.group.EngineOrder
import org.bramleyspur.control.group.EngineProbe
import org.bramleyspur.control.group.PlannerInput
import org.bramleyspur.control.group.PlannerState
import org.bramleyspur.control.group.onOrderResult
import org.bramleyspur.control.group.onProbeResult
import org.bramleyspur.control.group.planGroups
import org.bramleyspur.control.state.StoredDocument
import org.bramleyspur.core.backend.KnownBackend
import org.bramleyspur.core.document.Document
import org.bramleyspur.core.document.DocumentDecoder
import org.bramleyspur.core.telemetry.DecisionLog
import org.bramleyspur.core.time.TimerService
import org.bramleyspur.protocol.DirectoryRequest

/** Runs the group planner while this control instance leads; used by the control thread. */
internal class GroupDriver(
    private val timers: TimerService,
    private val sender: OrderSender,
    private val decode: DocumentDecoder,
    private val log: DecisionLog,
    private val replan: () -> Unit,
) {
    private var term: Long? = null
    private var state = PlannerState()
    private var evidence: PersistentMap<String, EngineEvidence> = persistentMapOf()
    private var trafficStarted = false
    private var engines: Map<String, KnownBackend> = emptyMap()
    private var decoded: Pair<StoredDocument, Document>? = null

    /** Takes what an entry saw of engines. */
    fun onEvidence(report: DirectoryRequest) {
        val now = timers.nowMs()
        if (report.answeringBackendsCount > 0) trafficStarted = true
        report.answeringBackendsList.forEach { id -> evidence = evidence.put(id, known(id).copy(lastResponseMs = now)) }
        report.silentBackendsList.forEach { id ->
            evidence = evidence.put(id, known(id).copy(lastUnresponsiveMs = now))
        }
        if (report.silentBackendsCount > 0) replan()
    }

    private fun known(id: String) = evidence[id] ?: EngineEvidence()

    /** Closes the connections to engines that are not among [engines]. */
    fun keepOnly(engines: Collection<KnownBackend>) = sender.keepOnly(engines.map { it.announcement.address }.toSet())

    /** Forgets the plans of an earlier term. */
    fun forget() {
        if (term == null) return
        term = null
        state = PlannerState()
    }

    /** Plans and sends the orders of the leader of [leadingTerm]. */
    fun plan(leadingTerm: Long, document: StoredDocument?, engines: Map<String, KnownBackend>) {
        if (document == null) return
        if (term != leadingTerm) {
            state = PlannerState()
            // Groups of an earlier leader show that the system has been running.
            if (engines.values.any { it.announcement.groupMembership != null }) trafficStarted = true
        }
        term = leadingTerm
        val input = PlannerInput(
            timers.nowMs(),
            leadingTerm,
            documentOf(document) ?: return,
            engines,
            evidence,
            trafficStarted,
        )
        val before = state
        val step = planGroups(state, input)
        state = step.state
        logGroups(before)
        this.engines = engines
        step.probes.forEach { probe(it) }
        step.orders.forEach {
            send(it, EngineIncarnation(it.engineId, engines.getValue(it.engineId).announcement.startedAtMs))
        }
    }

    private fun probe(probe: EngineProbe) {
        val sentMs = timers.nowMs()
        sender.probe(probe.address) { report, problem ->
            if (report == null) log.write("probe-unanswered", "engine" to probe.incarnation.id, "reason" to problem)
            val announced = engines[probe.incarnation.id]?.announcement?.groupMembership?.id
            state = onProbeResult(state, probe.incarnation, report, announced, sentMs, timers.nowMs())
            replan()
        }
    }

    private fun documentOf(stored: StoredDocument): Document? {
        decoded?.takeIf { it.first === stored }?.let { return it.second }
        val document = decode(stored.content.toByteArray()).getOrElse {
            log.write("document-unreadable", "version" to stored.version, "reason" to it.message)
            return null
        }
        decoded = stored to document
        return document
    }

    private fun logGroups(before: PlannerState) {
        for ((id, group) in state.groups) {
            if (before.groups[id]?.phase == group.phase) continue
            log.write(
                "group",
                "name" to id.name,
                "model" to group.model,
                "phase" to group.phase.name,
                "members" to group.members.joinToString(",") { it.id },
            )
        }
        for (id in before.groups.keys - state.groups.keys) log.write("group", "name" to id.name, "phase" to "ENDED")
    }

    private fun send(order: EngineOrder, incarnation: EngineIncarnation) {
        val sentMs = timers.nowMs()
        val sentTerm = term
        sender.send(order) { result, text ->
            log.write(
                "order",
                "engine" to order.engineId,
                "command" to nameOf(order.command),
                "result" to result.name,
                "detail" to text,
                "ms" to timers.nowMs() - sentMs,
            )
            if (term == sentTerm) {
                state = onOrderResult(state, incarnation, order.command, result, timers.nowMs())
                replan()
            }
        }
    }

    private fun nameOf(command: EngineCommand): String = when (command) {
        is EngineCommand.Join -> "join ${command.group.name} ${command.model}"
        is EngineCommand.Open -> "open ${command.group.name}"
        is EngineCommand.Close -> "close ${command.group.name}"
        is EngineCommand.Leave -> "leave ${command.group.name}"
        is EngineCommand.Stage -> "stage ${command.model}"
    }
}
