package org.bramleyspur.daemon.orders

import com.github.michaelbull.result.getOrElse
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.bramleyspur.control.group.EngineCommand
import org.bramleyspur.control.group.EngineEvidence
import org.bramleyspur.control.group.EngineIncarnation
import org.bramleyspur.control.group.EngineOrder
import org.bramleyspur.control.group.EngineProbe
import org.bramleyspur.control.group.GroupGap
import org.bramleyspur.control.group.GroupPhase
import org.bramleyspur.control.group.ModelInDomain
import org.bramleyspur.control.group.OrderResult
import org.bramleyspur.control.group.PhaseCause
import org.bramleyspur.control.group.PlannedGroup
import org.bramleyspur.control.group.PlannerInput
import org.bramleyspur.control.group.PlannerState
import org.bramleyspur.control.group.ProbeResult
import org.bramleyspur.control.group.TermState
import org.bramleyspur.control.group.endReasonOf
import org.bramleyspur.control.group.freeReasonOf
import org.bramleyspur.control.group.onOrderResult
import org.bramleyspur.control.group.onProbeResult
import org.bramleyspur.control.group.planGroups
import org.bramleyspur.control.group.recoveredEngines
import org.bramleyspur.control.state.StoredDocument
import org.bramleyspur.core.backend.KnownBackend
import org.bramleyspur.core.document.Document
import org.bramleyspur.core.document.DocumentDecoder
import org.bramleyspur.core.telemetry.DecisionLog
import org.bramleyspur.core.time.TimerService
import org.bramleyspur.protocol.DirectoryRequest

/**
 * Sends orders and probes to engines. Each function calls its last argument once, with the result and a detail for the
 * log; [closeAllExcept] closes the connections to other addresses.
 */
internal class EngineCalls(
    val order: (EngineOrder, onResult: (OrderResult, String) -> Unit) -> Unit,
    val probe: (address: String, onResult: (ProbeResult, String) -> Unit) -> Unit,
    val closeAllExcept: (addresses: Set<String>) -> Unit,
)

/**
 * Runs the group planner and sends its orders while this control instance leads; confined to the control thread.
 *
 * @property lagMs how late that thread has recently been, in milliseconds
 * @property replan requests another planning run
 * @property demand measures the demand that targets follow; null if they follow the configured shares
 * @property slowMembers counts slow members that are replaced; null if none is
 */
internal class GroupDriver(
    private val timers: TimerService,
    private val calls: EngineCalls,
    private val decodeDocument: DocumentDecoder,
    private val log: DecisionLog,
    private val lagMs: () -> Long,
    private val replan: () -> Unit,
    private val demand: DemandDriver? = null,
    private val slowMembers: SlowMemberMetrics? = null,
) {
    private var current = TermState()
    private val term get() = current.term
    private var state
        get() = current.planner
        set(planner) {
            current = current.copy(planner = planner)
        }
    private var evidence: PersistentMap<String, EngineEvidence> = persistentMapOf()
    private var trafficStarted = false
    private var engines: Map<String, KnownBackend> = emptyMap()
    private var gaps: Map<ModelInDomain, GroupGap> = emptyMap()
    private var decodedDocument: Pair<StoredDocument, Document>? = null

    /** Records which engines an entry found responding or unresponsive. */
    fun onEntryReport(report: DirectoryRequest) {
        demand?.onEntryReport(report)
        val now = timers.nowMs()
        if (report.answeringBackendsCount > 0) trafficStarted = true
        report.answeringBackendsList.forEach { id ->
            evidence = evidence.put(id, evidenceOf(id).copy(lastResponseMs = now))
        }
        report.silentBackendsList.forEach { id ->
            evidence = evidence.put(id, evidenceOf(id).copy(lastUnresponsiveMs = now))
        }
        if (report.silentBackendsCount > 0) replan()
    }

    private fun evidenceOf(id: String) = evidence[id] ?: EngineEvidence()

    /** Closes the connections to engines that are not in [engines], and forgets what entries reported about them. */
    fun closeAllExcept(engines: Map<String, KnownBackend>) {
        calls.closeAllExcept(engines.values.map { it.announcement.address }.toSet())
        evidence = evidence.filterKeys { it in engines }.toPersistentMap()
    }

    /**
     * Plans as the leader of [leadingTerm], if any, and sends the resulting orders and probes. The data centres
     * [evacuated] get no requests.
     */
    fun plan(
        leadingTerm: Long?,
        document: StoredDocument?,
        engines: Map<String, KnownBackend>,
        evacuated: Set<String> = emptySet(),
    ) {
        if (document == null) return
        val previousTerm = term
        current = current.beginPlan(leadingTerm)
        if (leadingTerm == null) return
        // Groups formed under an earlier leader prove that the system has been running.
        if (previousTerm != leadingTerm && engines.values.any { it.announcement.groupMembership != null }) {
            trafficStarted = true
        }
        val decoded = documentOf(document) ?: return
        val input = PlannerInput(
            timers.nowMs(),
            leadingTerm,
            decoded,
            engines,
            evidence,
            trafficStarted,
            lagMs(),
            evacuated,
            demand?.targets(leadingTerm, decoded, state).orEmpty(),
            replacesSlowMembers = slowMembers != null,
        )
        val before = state
        val step = planGroups(state, input)
        state = step.state
        logGroups(before, engines)
        logGaps(step.gaps)
        logRecoveries(before)
        this.engines = engines
        step.probes.forEach { sendProbe(it) }
        step.orders.forEach {
            sendOrder(it, EngineIncarnation(it.engineId, engines.getValue(it.engineId).announcement.startedAtMs))
        }
    }

    private fun sendProbe(probe: EngineProbe) {
        val sentAtMs = timers.nowMs()
        calls.probe(probe.address) { result, reason ->
            if (result !is ProbeResult.Answered) {
                log.write(
                    "probe-unanswered",
                    "engine" to probe.incarnation.id,
                    "refused" to (result == ProbeResult.Refused),
                    "reason" to reason,
                )
            }
            val announcedGroup = engines[probe.incarnation.id]?.announcement?.groupMembership?.id
            val before = state
            state = onProbeResult(state, probe.incarnation, result, announcedGroup, sentAtMs, timers.nowMs())
            logRecoveries(before)
            logPace(before, probe.incarnation)
            replan()
        }
    }

    /** Logs that a report found the engine slow, or sound again. */
    private fun logPace(before: PlannerState, engine: EngineIncarnation) {
        val pace = state.paces[engine]?.takeIf { slowMembers != null } ?: return
        val slow = pace.slowSinceMs != null
        if (slow == (before.paces[engine]?.slowSinceMs != null)) return
        log.write("engine-pace", "engine" to engine.id, "pace" to pace.factor, "slow" to slow)
    }

    private fun documentOf(stored: StoredDocument): Document? {
        decodedDocument?.takeIf { it.first === stored }?.let { return it.second }
        val document = decodeDocument(stored.content.toByteArray()).getOrElse {
            log.write("document-unreadable", "version" to stored.version, "reason" to it.message)
            return null
        }
        decodedDocument = stored to document
        return document
    }

    private fun logGroups(before: PlannerState, engines: Map<String, KnownBackend>) {
        for ((id, group) in state.groups) {
            if (before.groups[id]?.phase == group.phase) continue
            if (group.phase == GroupPhase.CLOSING && group.reason.cause == PhaseCause.MEMBER_SLOW) {
                slowMembers?.replacements?.labelValues(group.service)?.inc()
            }
            log.write(
                "group",
                "name" to id.name,
                "model" to group.model,
                "phase" to group.phase.name,
                "members" to group.members.joinToString(",") { it.id },
                "reason" to group.reason.cause.name,
                "member" to group.reason.member.orEmpty(),
                "reason_ms" to (group.reason.durationMs ?: 0),
                "freed_by" to if (group.reason.cause == PhaseCause.WANTED) freeReasons(group, engines) else "",
            )
        }
        for (id in before.groups.keys - state.groups.keys) {
            log.write("group", "name" to id.name, "phase" to "ENDED", "freed_by" to endReasonOf(state, id).name)
        }
    }

    /** Logs why a domain lacks a wanted group, and that it has it again. */
    private fun logGaps(next: List<GroupGap>) {
        val before = gaps
        gaps = next.associateBy { it.place }
        for ((place, gap) in gaps) {
            if (before[place]?.cause != gap.cause) logGap(place, gap.cause.name, gap)
        }
        for ((place, gap) in before - gaps.keys) logGap(place, "NONE", gap)
    }

    private fun logGap(place: ModelInDomain, cause: String, gap: GroupGap) = log.write(
        "group-gap",
        "model" to place.model,
        "domain" to place.domain,
        "cause" to cause,
        "joining" to gap.joining,
        "across_domains" to gap.acrossDomains,
        "unprepared" to gap.unprepared,
    )

    /** Why each member was free to join; the reasons of the first [MAX_LOGGED_REASONS] members, in their order. */
    private fun freeReasons(group: PlannedGroup, engines: Map<String, KnownBackend>): String =
        group.members.take(MAX_LOGGED_REASONS).joinToString(",") { member ->
            engines[member.id]?.let { freeReasonOf(state, it.announcement) }?.name.orEmpty()
        }

    private fun logRecoveries(before: PlannerState) = recoveredEngines(before, state, timers.nowMs()).forEach {
        log.write(
            "engine-responds",
            "engine" to it.incarnation.id,
            "silent_ms" to it.silentMs,
            "unanswered_probes" to it.failures,
        )
    }

    private fun sendOrder(order: EngineOrder, engineIncarnation: EngineIncarnation) {
        val sentAtMs = timers.nowMs()
        val sentTerm = term
        calls.order(order) { result, detail ->
            log.write(
                "order",
                "engine" to order.engineId,
                "command" to nameOf(order.command),
                "result" to result.name,
                "detail" to detail,
                "ms" to timers.nowMs() - sentAtMs,
            )
            if (term == sentTerm) {
                state = onOrderResult(state, engineIncarnation, order.command, result, timers.nowMs())
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

    private companion object {
        const val MAX_LOGGED_REASONS = 16
    }
}
