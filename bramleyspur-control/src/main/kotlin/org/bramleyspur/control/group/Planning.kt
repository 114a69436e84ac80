/*
 * State of one planning run, with the queries and updates that its parts share.
 */
package org.bramleyspur.control.group

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.bramleyspur.core.backend.Announcement
import org.bramleyspur.core.backend.BackendState
import org.bramleyspur.core.backend.GroupId
import org.bramleyspur.core.backend.GroupState
import org.bramleyspur.core.backend.KnownBackend
import org.bramleyspur.core.document.DocumentService
import org.bramleyspur.core.document.ModelSpec

/** One planning run: the state being updated, and the orders, probes and gaps collected so far. */
internal class Planning(var state: PlannerState, val input: PlannerInput) {
    val orders = ArrayList<EngineOrder>()
    val probes = ArrayList<EngineProbe>()
    val gaps = ArrayList<GroupGap>()
    private val freeEnginesMemo = HashMap<Pair<String, EnginePart>, FreeEngines>()
    private val assignedMemo = AssignedMembers()

    /** The engines among which groups are formed now. */
    var part = EnginePart.OPEN

    fun announcement(id: String): Announcement? = input.engines[id]?.announcement

    /** The announcement of this incarnation; null if the engine is unknown or has restarted. */
    fun announcementOf(incarnation: EngineIncarnation): Announcement? =
        announcement(incarnation.id)?.takeIf { it.startedAtMs == incarnation.startedAtMs }

    /**
     * Whether the incarnation is not known any more, or another backend server responds at its address. It can no
     * longer be counted on, but may still be in its group: an entry with its address may have displaced its own.
     */
    fun isMissing(incarnation: EngineIncarnation): Boolean =
        announcementOf(incarnation) == null || state.absent[incarnation.id] == incarnation.startedAtMs

    /**
     * What proves that the head is out of the group; null for nothing. A backend server that has deregistered may go on
     * serving for some seconds.
     */
    fun departureOfHead(head: EngineIncarnation, id: GroupId): FreeReason? {
        if (hasLeft(head, id)) return FreeReason.HEAD_LEFT
        val announcement = announcement(head.id) ?: return null
        return when {
            announcement.startedAtMs > head.startedAtMs -> FreeReason.HEAD_RESTARTED
            announcement.startedAtMs < head.startedAtMs || announcement.groupMembership?.id == id -> null
            else -> FreeReason.HEAD_ANNOUNCED
        }
    }

    private fun lastContactMs(incarnation: EngineIncarnation): Long =
        maxOf(input.engines[incarnation.id]?.receivedAtMs ?: 0L, state.probes[incarnation]?.lastResponseMs ?: 0L)

    /** Without the time for which the leader itself was late. */
    private fun sinceLastContactMs(incarnation: EngineIncarnation): Long =
        input.nowMs - lastContactMs(incarnation) - input.lagMs

    /** Whether [failures] consecutive probes have failed, or nothing was received for [UNREACHABLE_AFTER_MS]. */
    fun isUnreachable(incarnation: EngineIncarnation, failures: Int = UNREACHABLE_PROBE_FAILURES): Boolean {
        val probe = state.probes[incarnation]
        return sinceLastContactMs(incarnation) > UNREACHABLE_AFTER_MS || probe != null && probe.failures >= failures
    }

    /** Why the engine can no longer be counted on; null if it can, also while it is silent for a short time. */
    fun lossOf(incarnation: EngineIncarnation): PhaseReason? {
        val probe = state.probes[incarnation]
        val silentMs = minOf(probe?.silentMs ?: 0, sinceLastContactMs(incarnation))
        return when {
            isMissing(incarnation) -> PhaseReason(PhaseCause.MEMBER_ENDED, incarnation.id)
            probe == null || probe.failures < UNREACHABLE_PROBE_FAILURES -> null
            // An engine that drains may no longer listen while it finishes its requests.
            probe.crashed && announcementOf(incarnation)?.state == BackendState.READY ->
                PhaseReason(PhaseCause.MEMBER_CRASHED, incarnation.id, silentMs)
            silentMs >= SILENCE_TOLERANCE_MS -> PhaseReason(PhaseCause.MEMBER_SILENT, incarnation.id, silentMs)
            else -> null
        }
    }

    fun probe(incarnation: EngineIncarnation, address: String) {
        val record = state.probes[incarnation] ?: ProbeRecord(input.nowMs)
        val updated = record.copy(sentMs = input.nowMs, awaitingResult = true)
        state = state.copy(probes = state.probes.put(incarnation, updated))
        probes += EngineProbe(incarnation, address)
    }

    /**
     * Whether the number of orders that the engine has started is known, so that a join can name it. Otherwise probes
     * the engine; the decision then waits for the result.
     */
    fun verifyOrders(incarnation: EngineIncarnation): Boolean {
        val announcement = announcementOf(incarnation) ?: return false
        val knownOrders = state.knownOrders[incarnation]
        if (knownOrders != null && !knownOrders.groupMismatch) return knownOrders.inFlight == 0
        val last = state.probes[incarnation]
        if (last == null || input.nowMs - last.sentMs >= PROBE_INTERVAL_MS) probe(incarnation, announcement.address)
        return false
    }

    fun isReportedUnresponsive(incarnation: EngineIncarnation): Boolean {
        val evidence = input.evidence[incarnation.id] ?: return false
        val unresponsiveMs = evidence.lastUnresponsiveMs ?: return false
        return input.nowMs - unresponsiveMs < EVIDENCE_MAX_AGE_MS &&
            unresponsiveMs > (evidence.lastResponseMs ?: 0L) - REPORT_TOLERANCE_MS
    }

    /** Removes state of engine incarnations that have ended, and records the models of engines that are in groups. */
    fun pruneEndedIncarnations() {
        input.engines.values.forEach { recordLastModel(it) }
        val windowStartMs = input.nowMs - LOAD_WINDOW_MS
        state = state.copy(
            absent = state.absent
                .filter { (id, startedAtMs) -> announcement(id)?.startedAtMs == startedAtMs }
                .toPersistentMap(),
            lastModel = state.lastModel.withoutEnded(),
            reassigned = state.reassigned.withoutEnded(),
            pendingJoins = state.pendingJoins.withoutEnded(),
            knownOrders = state.knownOrders.withoutEnded(),
            lastOrderMs = state.lastOrderMs.withoutEnded(),
            stageRefusedMs = state.stageRefusedMs.withoutEnded(),
            probes = state.probes.withoutEnded(),
            paces = state.paces.withoutEnded(),
            firstSeenMs = state.firstSeenMs.withoutUnknown(),
            sentMs = state.sentMs.withoutOldOrders(),
            loadStartsMs = state.loadStartsMs.filter { it >= windowStartMs }.toPersistentList(),
        )
    }

    private fun recordLastModel(engine: KnownBackend) {
        val incarnation = engine.announcement.incarnation
        val membership = engine.announcement.groupMembership?.takeIf { it.state != GroupState.JOINING }
        val model = membership?.model ?: engine.lastModel
        if (model == null || state.lastModel[incarnation] == model) return
        state = state.copy(
            lastModel = state.lastModel.put(incarnation, model),
            reassigned = state.reassigned.remove(incarnation),
        )
    }

    /** Removes ended incarnations in batches, so that most planning runs copy nothing. */
    private fun <V> PersistentMap<EngineIncarnation, V>.withoutEnded(): PersistentMap<EngineIncarnation, V> {
        val ended = keys.filter { announcementOf(it) == null }
        return if (ended.size > PRUNE_THRESHOLD) ended.fold(this) { map, key -> map.remove(key) } else this
    }

    private fun PersistentMap<String, Long>.withoutUnknown(): PersistentMap<String, Long> =
        if (size > input.engines.size + PRUNE_THRESHOLD) filterKeys { it in input.engines }.toPersistentMap() else this

    private fun PersistentMap<SentOrder, Long>.withoutOldOrders(): PersistentMap<SentOrder, Long> =
        if (size > MAX_SENT_ORDERS) filterValues { input.nowMs - it < STAGE_REPEAT_MS }.toPersistentMap() else this

    /** Orders each member to leave the group, for groups whose head cannot be reached. */
    fun orderLeave(id: GroupId, members: List<EngineIncarnation>) = members
        .filter { !hasLeft(it, id) && !isMissing(it) && !isUnreachable(it) }
        .forEach { order(it, EngineCommand.Leave(id)) }

    fun hasLeft(incarnation: EngineIncarnation, id: GroupId): Boolean =
        state.leftMembers[id]?.contains(incarnation) == true

    fun endGroup(id: GroupId, reason: FreeReason) {
        state = state.copy(
            groups = state.groups.remove(id),
            endedGroups = state.endedGroups.put(id, reason),
            leftMembers = state.leftMembers.remove(id),
        )
    }

    /** Removes a group whose members have left without their head; if one announces it again, it is adopted. */
    fun forgetGroup(id: GroupId) {
        state = state.copy(groups = state.groups.remove(id), leftMembers = state.leftMembers.remove(id))
    }

    fun modelSpec(service: String, model: String): ModelSpec? =
        input.document.services[service]?.models?.firstOrNull { it.name == model }

    fun hasGroupState(incarnation: EngineIncarnation, id: GroupId, wanted: GroupState): Boolean {
        val membership = announcementOf(incarnation)?.groupMembership ?: return false
        return membership.id == id && membership.state == wanted
    }

    fun enterPhase(group: PlannedGroup, phase: GroupPhase, reason: PhaseReason): PlannedGroup {
        val next = group.copy(phase = phase, sinceMs = input.nowMs, reason = reason)
        state = state.copy(groups = state.groups.put(group.id, next))
        return next
    }

    /** Ready engines of [service], of the current part, that are in no group and respond to control. */
    fun freeEngines(service: String): List<Announcement> {
        val key = service to part
        val last = freeEnginesMemo[key]
        if (last != null && last.isValidFor(state)) return last.engines
        return computeFreeEngines(service).also { freeEnginesMemo[key] = FreeEngines(state, it) }
    }

    private fun computeFreeEngines(service: String): List<Announcement> {
        val occupied = state.groups.values.flatMap { group -> group.members.filter { mayBeIn(it, group) } }.toSet()
        return input.engines.values
            .map { it.announcement }
            .filter { it.service == service && it.state == BackendState.READY && isInPart(it) && isFree(it, occupied) }
    }

    private fun isFree(engine: Announcement, occupied: Set<EngineIncarnation>): Boolean {
        val incarnation = engine.incarnation
        if (incarnation in occupied || state.absent[engine.id] == engine.startedAtMs) return false
        val membership = engine.groupMembership
        if (membership != null && !hasLeft(incarnation, membership.id) && !headHasLeft(engine)) return false
        return !isUnreachable(incarnation, failures = 1)
    }

    /** Members of groups of the model, in each domain, that serve, form or warm up. */
    fun assignedByDomain(service: String, model: String): Map<String, List<EngineIncarnation>> =
        assignedMemo.of(state.groups, service, model) { member ->
            announcement(member.id)?.let { domainOf(it) }.orEmpty()
        }

    /** Whether a member may still be in the group, according to its announcements and orders. */
    fun mayBeIn(incarnation: EngineIncarnation, group: PlannedGroup): Boolean {
        if (hasLeft(incarnation, group.id)) return false
        val releaseTimedOut =
            group.phase == GroupPhase.RELEASING && input.nowMs - group.sinceMs > UNREACHABLE_AFTER_MS
        val namesGroup =
            announcementOf(incarnation)?.groupMembership?.id == group.id ||
                state.pendingJoins[incarnation]?.group == group.id
        return !releaseTimedOut || namesGroup
    }

    /** Whether the head of the group that [member] announces has left it. */
    fun headHasLeft(member: Announcement): Boolean {
        val id = member.groupMembership!!.id
        return id !in state.groups && id in state.endedGroups
    }

    fun recordNewEngines() {
        val added = input.engines.keys.filter { it !in state.firstSeenMs }
        state = state.copy(firstSeenMs = added.fold(state.firstSeenMs) { map, id -> map.put(id, input.nowMs) })
    }

    /** Groups of the model, in the current part, that form or serve. */
    fun activeGroups(service: DocumentService, model: ModelSpec): List<PlannedGroup> = state.groups.values.filter {
        it.service == service.name && it.model == model.name && isInPart(it) &&
            (it.phase == GroupPhase.FORMING || it.phase == GroupPhase.SERVING)
    }

    /** Adds [command] to the orders unless it was sent within its repeat interval. */
    fun order(incarnation: EngineIncarnation, command: EngineCommand) {
        val announcement = announcementOf(incarnation) ?: return
        val sent = SentOrder(incarnation, command)
        val lastMs = state.sentMs[sent]
        val repeatMs = when {
            isUnreachable(incarnation) -> UNREACHABLE_REPEAT_MS
            command is EngineCommand.Join -> JOIN_REPEAT_MS
            else -> ORDER_REPEAT_MS
        }
        if (lastMs != null && input.nowMs - lastMs < repeatMs) return
        val knownOrders = state.knownOrders[incarnation]
        val expected = if (command is EngineCommand.Join) knownOrders?.startedOrders else null
        state = state.copy(
            sentMs = state.sentMs.put(sent, input.nowMs),
            lastOrderMs = state.lastOrderMs.put(incarnation, input.nowMs),
        )
        if (command is EngineCommand.Join && expected != null) {
            state = state.copy(pendingJoins = state.pendingJoins.put(incarnation, PendingJoin(command.group, expected)))
        }
        if (knownOrders != null) {
            val next = knownOrders.copy(inFlight = knownOrders.inFlight + 1)
            state = state.copy(knownOrders = state.knownOrders.put(incarnation, next))
        }
        orders += EngineOrder(incarnation.id, announcement.address, input.term, command, expected)
    }
}

/** The free engines of a service, computed for [state]. */
private class FreeEngines(private val state: PlannerState, val engines: List<Announcement>) {
    fun isValidFor(other: PlannerState): Boolean = state.groups === other.groups && state.absent === other.absent &&
        state.probes === other.probes && state.pendingJoins === other.pendingJoins &&
        state.leftMembers === other.leftMembers && state.endedGroups === other.endedGroups
}

/** Interval for repeating an order without response; engines respond within milliseconds, even across data centres. */
private const val ORDER_REPEAT_MS = 600L

/** Interval for repeating a refused join; by then the engine's report includes the orders before it. */
internal const val JOIN_REPEAT_MS = 350L

/** A sound engine may send nothing for a second or so and then go on. */
private const val SILENCE_TOLERANCE_MS = 1_600L

/** Two consecutive announcements are missing. */
private const val UNREACHABLE_AFTER_MS = 2_700L

/** Repeat interval for an unreachable engine, in case it becomes reachable again. */
private const val UNREACHABLE_REPEAT_MS = 3_000L

internal const val PROBE_INTERVAL_MS = 250L

/** Older reports of entries are ignored as outdated. */
private const val EVIDENCE_MAX_AGE_MS = 2_000L

/** The response that another entry reports may have been received this long before its report. */
private const val REPORT_TOLERANCE_MS = 300L

/** Period over which the rate of loads from the weight store is limited. */
internal const val LOAD_WINDOW_MS = 5_000L

/** Number of recorded orders above which expired ones are removed. */
private const val MAX_SENT_ORDERS = 2_000

/** Number of ended incarnations or groups above which they are removed as a batch. */
internal const val PRUNE_THRESHOLD = 100
