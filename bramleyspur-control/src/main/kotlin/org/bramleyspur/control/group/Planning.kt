/*
 * The state of one plan, and what all its parts ask of it.
 */
package org.bramleyspur.control.group

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.bramleyspur.core.backend.Announcement
import org.bramleyspur.core.backend.BackendState
import org.bramleyspur.core.backend.GroupId
import org.bramleyspur.core.backend.GroupState
import org.bramleyspur.core.document.DocumentService
import org.bramleyspur.core.document.ModelShape

/** Work on one plan. */
internal class Planning(var state: PlannerState, val input: PlannerInput) {
    val orders = ArrayList<EngineOrder>()
    val probes = ArrayList<EngineProbe>()

    fun announcement(id: String): Announcement? = input.engines[id]?.announcement

    /** The announcement of exactly this life, unless the engine has started anew. */
    fun current(life: EngineLife): Announcement? = announcement(life.id)?.takeIf { it.bornMs == life.bornMs }

    /**
     * Whether this life has ended. A backend server that has withdrawn may serve on for some seconds, so that alone is
     * no proof.
     */
    fun isGone(life: EngineLife): Boolean = current(life) == null || state.absent[life.id] == life.bornMs

    private fun heardMs(life: EngineLife): Long =
        maxOf(input.engines[life.id]?.heardMs ?: 0L, state.probes[life]?.answeredMs ?: 0L)

    private fun silenceMs(life: EngineLife): Long = input.nowMs - heardMs(life)

    /**
     * Whether control gets no sign of the engine: [failures] questions in a row, or several announcements, are missing.
     */
    fun isUnreachable(life: EngineLife, failures: Int = PROBE_FAILURES): Boolean {
        val probe = state.probes[life]
        return silenceMs(life) > UNREACHABLE_MS || probe != null && probe.failures >= failures
    }

    fun probe(life: EngineLife, address: String) {
        val record = state.probes[life] ?: ProbeRecord(input.nowMs)
        val asked = record.copy(sentMs = input.nowMs, waiting = true)
        state = state.copy(probes = state.probes.put(life, asked))
        probes += EngineProbe(life, address)
    }

    /**
     * Whether the orders that the engine has begun are known, so that a join can name their number. An engine for which
     * they are not known is asked, and the decision waits for its answer.
     */
    fun isVerified(life: EngineLife): Boolean {
        val known = current(life) ?: return false
        val verified = state.verified[life]
        if (verified != null && !verified.mismatch) return verified.inFlight == 0
        val last = state.probes[life]
        if (last == null || input.nowMs - last.sentMs >= PROBE_GAP_MS) probe(life, known.address)
        return false
    }

    fun isSilentForEntries(life: EngineLife): Boolean {
        val evidence = input.evidence[life.id] ?: return false
        val silent = evidence.silentMs ?: return false
        return input.nowMs - silent < EVIDENCE_MS && silent > (evidence.answeredMs ?: 0L) - REPORT_AGE_MS
    }

    /** Forgets what belongs to lives of engines that have ended, and notes the models of those that are in groups. */
    fun forgetOldLives() {
        input.engines.values.forEach { noteModel(it.announcement) }
        val firstCountedMs = input.nowMs - LOAD_WINDOW_MS
        state = state.copy(
            absent = state.absent.filter { (id, bornMs) -> announcement(id)?.bornMs == bornMs }.toPersistentMap(),
            lastModel = state.lastModel.withoutOldLives(),
            openJoins = state.openJoins.withoutOldLives(),
            verified = state.verified.withoutOldLives(),
            orderedMs = state.orderedMs.withoutOldLives(),
            stageRefusedMs = state.stageRefusedMs.withoutOldLives(),
            sentMs = state.sentMs.withoutOldOrders(),
            loadStartsMs = state.loadStartsMs.filter { it >= firstCountedMs }.toPersistentList(),
        )
    }

    private fun noteModel(engine: Announcement) {
        val place = engine.place ?: return
        val model = place.model ?: return
        if (place.state == GroupState.JOINING) return
        state = state.copy(lastModel = state.lastModel.put(engine.life, model))
    }

    /** Lives that have ended are removed in batches, so that most plans copy nothing. */
    private fun <V> PersistentMap<EngineLife, V>.withoutOldLives(): PersistentMap<EngineLife, V> {
        val old = keys.filter { current(it) == null }
        return if (old.size > MAX_OLD_LIVES) old.fold(this) { map, life -> map.remove(life) } else this
    }

    private fun PersistentMap<SentOrder, Long>.withoutOldOrders(): PersistentMap<SentOrder, Long> =
        if (size > MAX_SENT_ORDERS) filterValues { input.nowMs - it < STAGE_REPEAT_MS }.toPersistentMap() else this

    /** Orders the engines of a group to leave it one by one, since its head cannot be ordered. */
    fun leaveAll(id: GroupId, members: List<EngineLife>) =
        members.filter { !hasLeft(it, id) && !isUnreachable(it) }.forEach { order(it, EngineCommand.Leave(id)) }

    fun hasLeft(life: EngineLife, id: GroupId): Boolean = state.left[id]?.contains(life) == true

    fun end(id: GroupId) {
        state = state.copy(
            groups = state.groups.remove(id),
            endedGroups = state.endedGroups.add(id),
            left = state.left.remove(id),
        )
    }

    fun shape(service: String, model: String): ModelShape? =
        input.document.services[service]?.models?.firstOrNull { it.name == model }

    fun placeIs(life: EngineLife, id: GroupId, wanted: GroupState): Boolean {
        val place = current(life)?.place ?: return false
        return place.id == id && place.state == wanted
    }

    fun enter(group: PlannedGroup, phase: GroupPhase): PlannedGroup {
        val next = group.copy(phase = phase, sinceMs = input.nowMs)
        state = state.copy(groups = state.groups.put(group.id, next))
        return next
    }

    /** Engines of [service] that are in no group and answer control. */
    fun freeEngines(service: String): List<Announcement> {
        val taken = state.groups.values.flatMap { group -> group.members.filter { mayBeIn(it, group) } }.toSet()
        return input.engines.values
            .filter { it.announcement.service == service && it.announcement.state == BackendState.READY }
            .map { it.announcement }
            .filter { !isUnreachable(it.life, failures = 1) }
            .filter { it.life !in taken && state.absent[it.id] != it.bornMs }
            .filter { it.place == null || hasLeft(it.life, it.place!!.id) || headHasLeft(it) }
    }

    /** Whether a member of the group may still be in it, as far as its announcements and orders tell. */
    fun mayBeIn(life: EngineLife, group: PlannedGroup): Boolean {
        if (hasLeft(life, group.id)) return false
        val told = group.phase == GroupPhase.RELEASING && input.nowMs - group.sinceMs > UNREACHABLE_MS
        val named = current(life)?.place?.id == group.id || state.openJoins[life]?.group == group.id
        return !told || named
    }

    /** Whether the head of the group that [member] still names has left it. */
    fun headHasLeft(member: Announcement): Boolean {
        val id = member.place!!.id
        return id !in state.groups && id in state.endedGroups
    }

    fun noteEngines() {
        val added = input.engines.keys.filter { it !in state.firstSeenMs }
        state = state.copy(firstSeenMs = added.fold(state.firstSeenMs) { map, id -> map.put(id, input.nowMs) })
    }

    fun groupsOf(service: DocumentService, model: ModelShape): List<PlannedGroup> = state.groups.values.filter {
        it.service == service.name && it.model == model.name &&
            (it.phase == GroupPhase.FORMING || it.phase == GroupPhase.SERVING)
    }

    /** Sends [command] unless the same one was sent a short time ago. */
    fun order(life: EngineLife, command: EngineCommand) {
        val known = current(life) ?: return
        val sent = SentOrder(life, command)
        val lastMs = state.sentMs[sent]
        val repeatMs = when {
            isUnreachable(life) -> UNREACHABLE_REPEAT_MS
            command is EngineCommand.Join -> JOIN_REPEAT_MS
            else -> REPEAT_MS
        }
        if (lastMs != null && input.nowMs - lastMs < repeatMs) return
        val verified = state.verified[life]
        val expected = if (command is EngineCommand.Join) verified?.orders else null
        state = state.copy(
            sentMs = state.sentMs.put(sent, input.nowMs),
            orderedMs = state.orderedMs.put(life, input.nowMs),
        )
        if (command is EngineCommand.Join && expected != null) {
            state = state.copy(openJoins = state.openJoins.put(life, OpenJoin(command.group, expected)))
        }
        if (verified != null) {
            val next = verified.copy(inFlight = verified.inFlight + 1)
            state = state.copy(verified = state.verified.put(life, next))
        }
        orders += EngineOrder(life.id, known.address, input.term, command, expected)
    }
}

/** An order without an answer is repeated; an engine answers within some ms, also from another data centre. */
private const val REPEAT_MS = 600L

/** A join that was refused is repeated once the engine's report includes the orders before it. */
internal const val JOIN_REPEAT_MS = 350L

/** Two announcements in a row are missing. */
private const val UNREACHABLE_MS = 2_700L

/** An engine that does not answer gets an order only in case it comes back. */
private const val UNREACHABLE_REPEAT_MS = 3_000L

/** A question is answered within some ms; two that are not, on connections of their own, are no accident. */
internal const val PROBE_FAILURES = 2
internal const val PROBE_GAP_MS = 250L

/** What an entry saw this long ago says nothing about now. */
private const val EVIDENCE_MS = 2_000L

/** Another entry's last answer from a head can be this much older than its report of it. */
private const val REPORT_AGE_MS = 300L
internal const val LOAD_WINDOW_MS = 5_000L

/** Orders that are too old to matter are forgotten in batches. */
private const val MAX_SENT_ORDERS = 2_000

/** Lives whose engine is gone are forgotten in batches. */
internal const val MAX_OLD_LIVES = 100
