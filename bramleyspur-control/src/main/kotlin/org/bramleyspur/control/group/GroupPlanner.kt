/*
 * Forms, repairs and releases the groups of engines. A pure function of the announcements, what entries saw and the
 * leader's own earlier orders; runs at each announcement and at short intervals.
 *
 * An engine is given to another group only when it has left its former one, or the head of that group has: its
 * announcement says so, it answered a leave order, or it started anew. A head that nobody reaches may still be open, so
 * the members of its group are ordered to leave; without them it serves nothing. Epochs grow with every formation, over
 * all leaders, and a join names the number of orders that the engine has begun, so an order that is carried out late is
 * refused.
 */
package org.bramleyspur.control.group

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import org.bramleyspur.core.backend.Announcement
import org.bramleyspur.core.backend.BackendState
import org.bramleyspur.core.backend.GroupId
import org.bramleyspur.core.backend.GroupState
import org.bramleyspur.core.backend.KnownBackend
import org.bramleyspur.core.document.DocumentService
import org.bramleyspur.core.document.ModelShape

/** Decides the next orders. */
fun planGroups(state: PlannerState, input: PlannerInput): PlanStep {
    val planning = Planning(state, input)
    planning.noteEngines()
    planning.forgetOldLives()
    planning.probeDoubtful()
    planning.adoptGroups()
    planning.advanceGroups()
    input.document.services.values.filter { it.costs != null && it.models.isNotEmpty() }.forEach {
        planning.formGroups(it)
    }
    return PlanStep(planning.state, planning.orders, planning.probes)
}

/** Work on one plan. */
private class Planning(var state: PlannerState, val input: PlannerInput) {
    val orders = ArrayList<EngineOrder>()
    val probes = ArrayList<EngineProbe>()

    private fun announcement(id: String): Announcement? = input.engines[id]?.announcement

    /** The announcement of exactly this life, unless the engine has started anew. */
    private fun current(life: EngineLife): Announcement? = announcement(life.id)?.takeIf { it.bornMs == life.bornMs }

    /**
     * Whether this life has ended. A backend server that has withdrawn may serve on for some seconds, so that alone is
     * no proof.
     */
    private fun isGone(life: EngineLife): Boolean = current(life) == null || state.absent[life.id] == life.bornMs

    private fun heardMs(life: EngineLife): Long =
        maxOf(input.engines[life.id]?.heardMs ?: 0L, state.probes[life]?.answeredMs ?: 0L)

    private fun silenceMs(life: EngineLife): Long = input.nowMs - heardMs(life)

    /**
     * Whether control gets no sign of the engine: [failures] questions in a row, or several announcements, are missing.
     */
    private fun isUnreachable(life: EngineLife, failures: Int = PROBE_FAILURES): Boolean {
        val probe = state.probes[life]
        return silenceMs(life) > UNREACHABLE_MS || probe != null && probe.failures >= failures
    }

    /** Asks engines whose announcement is overdue, and the members of a group that entries see stalled. */
    fun probeDoubtful() {
        val members = state.groups.values.flatMap { it.members }.toSet()
        val stalled = state.groups.values
            .filter { it.phase == GroupPhase.SERVING && isSilentForEntries(it.members.first()) }
            .flatMap { it.members }
            .toSet()
        for (known in input.engines.values) {
            val life = known.announcement.life
            val ended = known.announcement.state == BackendState.GONE && life !in members
            val isEngine = input.document.services[known.announcement.service]?.costs != null
            if (isEngine && !ended) probeIfDoubtful(life, known, life in stalled)
        }
    }

    private fun probeIfDoubtful(life: EngineLife, known: KnownBackend, stalled: Boolean) {
        val last = state.probes[life]
        val heardSince = last != null && last.failures > 0 && known.heardMs > last.sentMs
        if (heardSince && !stalled) state = state.copy(probes = state.probes.remove(life))
        val due = last == null || isUnconfirmed(last, stalled) || input.nowMs - last.sentMs >= probeGapMs(last)
        val doubtful = stalled || input.nowMs - known.heardMs > OVERDUE_MS
        if (doubtful && due) probe(life, known.announcement.address)
    }

    private fun probe(life: EngineLife, address: String) {
        val record = state.probes[life] ?: ProbeRecord(input.nowMs)
        val asked = record.copy(sentMs = input.nowMs, waiting = true)
        state = state.copy(probes = state.probes.put(life, asked))
        probes += EngineProbe(life, address)
    }

    /**
     * Whether the orders that the engine has begun are known, so that a join can name their number. An engine for which
     * they are not known is asked, and the decision waits for its answer.
     */
    private fun isVerified(life: EngineLife): Boolean {
        val known = current(life) ?: return false
        val verified = state.verified[life]
        if (verified != null && !verified.mismatch) return verified.inFlight == 0
        val last = state.probes[life]
        if (last == null || input.nowMs - last.sentMs >= PROBE_GAP_MS) probe(life, known.address)
        return false
    }

    /**
     * Whether a member of a stalled group has missed too few questions for a verdict. It is asked again at once, since
     * the group serves nobody until the verdict.
     */
    private fun isUnconfirmed(last: ProbeRecord, stalled: Boolean): Boolean =
        stalled && !last.waiting && last.failures in 1 until PROBE_FAILURES

    private fun probeGapMs(record: ProbeRecord): Long =
        if (record.failures <= PROBE_FAILURES) PROBE_GAP_MS else DEAD_PROBE_GAP_MS

    /**
     * Whether an entry got a piece of an answer from the engine after [sinceMs] and none has called it silent since.
     */
    private fun answersSince(life: EngineLife, sinceMs: Long): Boolean {
        val evidence = input.evidence[life.id] ?: return false
        val answered = evidence.answeredMs ?: return false
        return answered >= sinceMs && answered >= (evidence.silentMs ?: 0L)
    }

    private fun isSilentForEntries(life: EngineLife): Boolean {
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

    /** Takes over groups that an earlier leader formed. */
    fun adoptGroups() {
        val places = input.engines.values.map { it.announcement }.filter { it.place != null }.groupBy { it.place!!.id }
        noteHeadless(places)
        for ((id, members) in places) {
            val head = members.firstOrNull { it.place!!.rank == 0 }
            if (id !in state.groups && id !in state.endedGroups && head != null) adopt(id, head, members)
        }
    }

    /**
     * Notes groups of which only members have announced themselves. After a restart of control the head may be serving
     * and not have been heard yet, so the members are ordered to leave only some time later.
     */
    private fun noteHeadless(places: Map<GroupId, List<Announcement>>) {
        val headless = places.filter { (_, members) -> members.none { it.place!!.rank == 0 } }.keys
        val known = state.headlessSinceMs
        state = state.copy(
            headlessSinceMs = headless.associateWith { known[it] ?: input.nowMs }.toPersistentMap(),
            endedGroups = if (state.endedGroups.size > MAX_OLD_LIVES) {
                state.endedGroups.filter { it in places }.toPersistentSet()
            } else {
                state.endedGroups
            },
        )
        for (id in headless.filter { input.nowMs - state.headlessSinceMs.getValue(it) > HEADLESS_MS }) {
            if (id !in state.groups && id !in state.endedGroups) leaveAll(id, places.getValue(id).map { it.life })
        }
    }

    /** Orders the engines of a group to leave it one by one, since its head cannot be ordered. */
    private fun leaveAll(id: GroupId, members: List<EngineLife>) =
        members.filter { !hasLeft(it, id) && !isUnreachable(it) }.forEach { order(it, EngineCommand.Leave(id)) }

    private fun hasLeft(life: EngineLife, id: GroupId): Boolean = state.left[id]?.contains(life) == true

    private fun adopt(id: GroupId, head: Announcement, members: List<Announcement>) {
        val life = head.life
        if (isGone(life)) return end(id)
        val model = members.firstNotNullOfOrNull { it.place!!.model } ?: return
        val shape = shape(head.service, model)
        val ranks = members.map { it.place!!.rank }.toSet()
        val whole = shape != null && (0 until shape.size).all { it in ranks }
        val lives = members.sortedBy { it.place!!.rank }.map { it.life }.toImmutableList()
        val phase = when {
            !whole -> GroupPhase.RELEASING
            head.place!!.state == GroupState.OPEN -> GroupPhase.SERVING
            head.place!!.state == GroupState.CLOSING -> GroupPhase.CLOSING
            head.place!!.state == GroupState.BROKEN -> GroupPhase.RELEASING
            else -> GroupPhase.FORMING
        }
        val group = PlannedGroup(id, head.service, model, lives, phase, input.nowMs)
        state = state.copy(groups = state.groups.put(id, group))
    }

    private fun end(id: GroupId) {
        state = state.copy(
            groups = state.groups.remove(id),
            endedGroups = state.endedGroups.add(id),
            left = state.left.remove(id),
        )
    }

    private fun shape(service: String, model: String): ModelShape? =
        input.document.services[service]?.models?.firstOrNull { it.name == model }

    fun advanceGroups() {
        for (group in state.groups.values.toList()) {
            when (group.phase) {
                GroupPhase.WARMING -> advanceWarming(group)
                GroupPhase.FORMING -> advanceForming(group)
                GroupPhase.SERVING -> advanceServing(group)
                GroupPhase.CLOSING -> advanceClosing(group)
                GroupPhase.RELEASING -> advanceReleasing(group)
            }
        }
    }

    private fun advanceWarming(group: PlannedGroup) {
        val engine = group.members.single()
        val lost = isGone(engine) || isUnreachable(engine)
        val overdue = input.nowMs - group.sinceMs > WARMING_LIMIT_MS
        if (lost || overdue || placeIs(engine, group.id, GroupState.READY)) release(group)
    }

    private fun advanceForming(group: PlannedGroup) {
        val head = group.members.first()
        val shape = shape(group.service, group.model)
        val lost = group.members.any {
            isGone(it) || isUnreachable(it) || current(it)?.state != BackendState.READY || isElsewhere(it, group)
        }
        val longestMs = formingLimitMs(shape)
        val headPlace = current(head)?.place
        when {
            shape == null || lost || input.nowMs - group.sinceMs > longestMs -> release(group)
            headPlace?.id == group.id && headPlace.state == GroupState.OPEN -> enter(group, GroupPhase.SERVING)
            group.members.any { mayJoinAnother(it, group) } -> release(group)
            group.members.all { placeIs(it, group.id, GroupState.READY) } -> order(head, EngineCommand.Open(group.id))
            else -> group.members.filter { current(it)?.place?.id != group.id }.forEach { joinAgain(it, group) }
        }
    }

    /** Whether the engine is in another group whose head may serve: an order of an earlier leader has acted late. */
    private fun isElsewhere(life: EngineLife, group: PlannedGroup): Boolean {
        val known = current(life) ?: return true
        val place = known.place ?: return false
        return place.id != group.id && !headHasLeft(known) && !hasLeft(life, place.id)
    }

    /**
     * Whether a join of the engine to another group has no result. It would take the engine out of this one, so the
     * engines form a new group, whose joins make that one void.
     */
    private fun mayJoinAnother(life: EngineLife, group: PlannedGroup): Boolean {
        val join = state.openJoins[life] ?: return false
        val orders = state.verified[life]?.orders ?: join.expectedOrders
        return join.group != group.id && orders <= join.expectedOrders
    }

    /** Repeats a join that got no answer, unless the engine has joined and its announcement is on the way. */
    private fun joinAgain(life: EngineLife, group: PlannedGroup) {
        if (state.orderedMs[life]?.let { input.nowMs - it < JOIN_REPEAT_MS } == true) return
        if (!isVerified(life)) return
        order(life, EngineCommand.Join(group.id, group.model, group.members.map { it.id }.toImmutableList()))
    }

    private fun placeIs(life: EngineLife, id: GroupId, wanted: GroupState): Boolean {
        val place = current(life)?.place ?: return false
        return place.id == id && place.state == wanted
    }

    private fun formingLimitMs(shape: ModelShape?): Long =
        if (shape == null) 0 else FORMING_MARGIN_MS + shape.loadMs * LOAD_SLOWDOWN

    private fun advanceServing(group: PlannedGroup) {
        val head = group.members.first()
        val place = current(head)?.place
        when {
            hasLostMember(group) || place?.state == GroupState.BROKEN || isStalled(group) -> release(group)
            group.members.any { current(it)?.state != BackendState.READY } -> {
                order(head, EngineCommand.Close(group.id))
                enter(group, GroupPhase.CLOSING)
            }
            place?.state == GroupState.READY && input.nowMs - group.sinceMs > OPEN_AGAIN_MS ->
                order(head, EngineCommand.Open(group.id))
        }
    }

    /** Whether a member has ended, or says that it is not in the group. */
    private fun hasLostMember(group: PlannedGroup): Boolean =
        group.members.any { isGone(it) || current(it)?.place?.id != group.id }

    /**
     * Whether the head has stopped answering entries, or is not seen to answer, and a member does not answer control.
     * One unanswered question is not enough: a lost packet delays an answer as well as the events of a stream.
     */
    private fun isStalled(group: PlannedGroup): Boolean {
        val head = group.members.first()
        val quiet = isSilentForEntries(head) || !answersSince(head, input.nowMs - UNSEEN_MS)
        return quiet && group.members.any { isUnreachable(it) }
    }

    private fun advanceClosing(group: PlannedGroup) {
        val head = group.members.first()
        val place = current(head)?.place
        val serves = place?.id == group.id && (place.state == GroupState.CLOSING || place.state == GroupState.OPEN)
        val overdue = input.nowMs - group.sinceMs > CLOSING_LIMIT_MS
        val lost = isGone(head) || isUnreachable(head)
        if (!serves || overdue || lost) {
            release(group)
        } else if (place.state == GroupState.OPEN) {
            order(head, EngineCommand.Close(group.id))
        }
    }

    private fun advanceReleasing(group: PlannedGroup) {
        val head = group.members.first()
        val known = current(head)
        if (isGone(head) || known?.place?.id != group.id || hasLeft(head, group.id)) return end(group.id)
        order(head, EngineCommand.Leave(group.id))
        // It may be cut off and open; without its members it serves nothing, so they are free once they have left.
        if (isUnreachable(head, failures = 1)) leaveAll(group.id, group.members.drop(1))
    }

    private fun release(group: PlannedGroup) {
        val released = enter(group, GroupPhase.RELEASING)
        advanceReleasing(released)
    }

    private fun enter(group: PlannedGroup, phase: GroupPhase): PlannedGroup {
        val next = group.copy(phase = phase, sinceMs = input.nowMs)
        state = state.copy(groups = state.groups.put(group.id, next))
        return next
    }

    /** Engines of [service] that are in no group and answer control. */
    private fun freeEngines(service: String): List<Announcement> {
        val taken = state.groups.values.flatMap { group -> group.members.filter { mayBeIn(it, group) } }.toSet()
        return input.engines.values
            .filter { it.announcement.service == service && it.announcement.state == BackendState.READY }
            .map { it.announcement }
            .filter { !isUnreachable(it.life, failures = 1) }
            .filter { it.life !in taken && state.absent[it.id] != it.bornMs }
            .filter { it.place == null || hasLeft(it.life, it.place!!.id) || headHasLeft(it) }
    }

    /** Whether a member of the group may still be in it, as far as its announcements and orders tell. */
    private fun mayBeIn(life: EngineLife, group: PlannedGroup): Boolean {
        if (hasLeft(life, group.id)) return false
        val told = group.phase == GroupPhase.RELEASING && input.nowMs - group.sinceMs > UNREACHABLE_MS
        val named = current(life)?.place?.id == group.id || state.openJoins[life]?.group == group.id
        return !told || named
    }

    /** Whether the head of the group that [member] still names has left it. */
    private fun headHasLeft(member: Announcement): Boolean {
        val id = member.place!!.id
        return id !in state.groups && id in state.endedGroups
    }

    /**
     * Whether the first engines of a service are still announcing themselves. Groups that were formed of the first ones
     * would leave engines over that fit no group in their domain.
     */
    private fun isGathering(service: DocumentService): Boolean {
        if (input.trafficStarted) return false
        val births = input.engines.values.filter { it.announcement.service == service.name }
            .mapNotNull { state.firstSeenMs[it.announcement.id] }
        return births.isEmpty() ||
            input.nowMs - births.max() < GATHER_MS && input.nowMs - births.min() < GATHER_LIMIT_MS
    }

    fun noteEngines() {
        val added = input.engines.keys.filter { it !in state.firstSeenMs }
        state = state.copy(firstSeenMs = added.fold(state.firstSeenMs) { map, id -> map.put(id, input.nowMs) })
    }

    /** Forms missing groups, from engines that need no load, and stages weights for the ones that still miss. */
    fun formGroups(service: DocumentService) {
        if (isGathering(service)) return
        val wanted = wantedGroups(usableByDomain(service), service.models)
        val totals = service.models.associate { m -> m.name to wanted.values.sumOf { it[m.name] ?: 0 } }
        for (model in service.models) {
            var missing = totals.getValue(model.name) - groupsOf(service, model).count { !spansDomains(it) }
            while (missing > 0 && formWithinDomain(service, model, wanted)) missing--
            val (spread, compact) = groupsOf(service, model).partition { spansDomains(it) }
            val serving = compact.count { it.phase == GroupPhase.SERVING }
            when {
                missing > spread.size && input.trafficStarted && !isSettling(service) ->
                    formAcrossDomains(service, model)
                totals.getValue(model.name) - serving < spread.size -> closeSpread(spread)
                serving > 0 -> closeSpread(spread.filter { canBeCompact(service, model, it) })
            }
        }
        stageWeights(service, wanted)
        warmSpares(service)
    }

    /** Whether members of a group that has just ended will be free within some ms, for a group within their domain. */
    private fun isSettling(service: DocumentService): Boolean = state.groups.values.any { group ->
        group.service == service.name && group.phase == GroupPhase.RELEASING &&
            input.nowMs - group.sinceMs < SETTLE_MS &&
            group.members.any { mayBeIn(it, group) && !isUnreachable(it, failures = 1) }
    }

    private fun usableByDomain(service: DocumentService): Map<String, Int> = input.engines.values
        .filter { it.announcement.service == service.name && it.announcement.state == BackendState.READY }
        .filter { !isUnreachable(it.announcement.life) }
        .groupingBy { it.announcement.domain }
        .eachCount()

    private fun groupsOf(service: DocumentService, model: ModelShape): List<PlannedGroup> = state.groups.values.filter {
        it.service == service.name && it.model == model.name &&
            (it.phase == GroupPhase.FORMING || it.phase == GroupPhase.SERVING)
    }

    private fun spansDomains(group: PlannedGroup): Boolean =
        group.members.mapNotNull { announcement(it.id)?.domain }.distinct().size > 1

    private fun formWithinDomain(service: DocumentService, model: ModelShape, wanted: DomainTargets): Boolean {
        val best = quickEngines(service, model).groupBy { it.domain }
            .filter { it.value.size >= model.size }
            .map { (domain, engines) -> domain to engines.take(model.size) }
            .minWithOrNull(
                compareBy(
                    { (_, members) -> members.maxOf { joinCost(it, model) } },
                    { (domain, _) -> inDomain(service, model, domain) - (wanted[domain]?.get(model.name) ?: 0) },
                    { (_, members) -> members.sumOf { joinCost(it, model) } },
                ),
            )?.second ?: return false
        return form(service, model, best)
    }

    /** A group over several domains is slow, but serves while the engines of one domain load. */
    private fun formAcrossDomains(service: DocumentService, model: ModelShape) {
        val engines = quickEngines(service, model)
        if (engines.size < model.size) return
        val perDomain = engines.groupingBy { it.domain }.eachCount()
        form(service, model, engines.sortedByDescending { perDomain.getValue(it.domain) }.take(model.size))
    }

    /** Whether the members of a spread group and the free engines would make a group within one domain. */
    private fun canBeCompact(service: DocumentService, model: ModelShape, spread: PlannedGroup): Boolean {
        val members = spread.members.mapNotNull { current(it) }
        val domains = (quickEngines(service, model) + members).groupingBy { it.domain }.eachCount()
        return domains.values.any { it >= model.size }
    }

    private fun closeSpread(spread: List<PlannedGroup>) {
        val group = spread.firstOrNull { it.phase == GroupPhase.SERVING } ?: return
        order(group.members.first(), EngineCommand.Close(group.id))
        enter(group, GroupPhase.CLOSING)
    }

    /** Free engines that join a group of the model without a load, the fastest first. */
    private fun quickEngines(service: DocumentService, model: ModelShape): List<Announcement> =
        freeEngines(service.name).filter { joinCost(it, model) < model.loadMs }.sortedBy { joinCost(it, model) }

    private fun inDomain(service: DocumentService, model: ModelShape, domain: String): Int =
        groupsOf(service, model).count { group -> group.members.any { announcement(it.id)?.domain == domain } }

    /** Time in milliseconds until the engine is ready in a group of the model. */
    private fun joinCost(engine: Announcement, model: ModelShape): Long = when {
        state.lastModel[engine.life] == model.name -> REJOIN_MS
        model.name in engine.staged -> model.warmMs
        else -> model.loadMs
    }

    /** Orders the engines to join; false when one of them has to be asked for its state first. */
    private fun form(service: DocumentService, model: ModelShape, engines: List<Announcement>): Boolean {
        // All engines are asked at once, so this counts them instead of stopping at the first.
        if (engines.count { !isVerified(it.life) } > 0) return false
        join(service, model, engines, GroupPhase.FORMING)
        return true
    }

    private fun join(service: DocumentService, model: ModelShape, engines: List<Announcement>, phase: GroupPhase) {
        val epoch = input.term * EPOCHS_PER_TERM + state.epochs + 1
        val id = GroupId("g$epoch", epoch)
        val members = engines.map { it.life }.toImmutableList()
        val group = PlannedGroup(id, service.name, model.name, members, phase, input.nowMs)
        state = state.copy(groups = state.groups.put(id, group), epochs = state.epochs + 1)
        val ids = members.map { it.id }.toImmutableList()
        members.forEach { order(it, EngineCommand.Join(id, model.name, ids)) }
    }

    /**
     * Lets each free engine with staged weights join a group of its own once. An engine joins a group of the model of
     * its last group within [REJOIN_MS], so it then replaces a lost member sooner.
     */
    private fun warmSpares(service: DocumentService) {
        for (spare in freeEngines(service.name)) {
            val model = service.models.firstOrNull { it.name in spare.staged } ?: continue
            val waiting = joinCost(spare, model) == model.warmMs && stagedModel(service, spare) == model.name
            if (waiting && isVerified(spare.life)) join(service, model, listOf(spare), GroupPhase.WARMING)
        }
    }

    /**
     * Loads weights onto the hosts of free engines: first what the groups of their domain miss, then so that the models
     * have engines by their share of the work. A model with large groups loses members more often, and so needs more.
     */
    private fun stageWeights(service: DocumentService, wanted: DomainTargets) {
        val free = freeEngines(service.name)
        val engines = service.models.associate { it.name to enginesOf(service, it, free) }.toMutableMap()
        for ((domain, spares) in free.groupBy { it.domain }) {
            val surplus = service.models.associate { it.name to surplus(service, it, domain, wanted, spares) }
                .toMutableMap()
            for (spare in spares.filterNot { refusesStage(it.life) }.sortedBy { it.id }) {
                val staged = stagedModel(service, spare)
                val model = if (staged == null) {
                    service.models.minByOrNull { minOf(surplus.getValue(it.name), 0) * URGENT + perWork(it, engines) }
                } else {
                    modelToRestage(service, surplus, staged)
                }
                if (model == null) continue
                if (!allowLoad(service)) return
                order(spare.life, EngineCommand.Stage(model.name))
                surplus.merge(model.name, 1, Int::plus)
                engines.merge(model.name, 1, Int::plus)
                staged?.let { surplus.merge(it, -1, Int::plus) }
            }
        }
    }

    /** Engines that are in groups of the model or staged for it. */
    private fun enginesOf(service: DocumentService, model: ModelShape, free: List<Announcement>): Int =
        holdersOf(service, model).size + free.count { stagedModel(service, it) == model.name }

    /** Engines that are in groups of the model, or join one alone to be ready for others. */
    private fun holdersOf(service: DocumentService, model: ModelShape): List<EngineLife> = state.groups.values
        .filter { it.service == service.name && it.model == model.name && it.phase in HOLDING_PHASES }
        .flatMap { it.members }

    private fun perWork(model: ModelShape, engines: Map<String, Int>): Double =
        engines.getValue(model.name) / model.workShare.coerceAtLeast(MIN_SHARE)

    /** Engines of the domain that are in groups of the model or staged for it, beyond those that its groups need. */
    private fun surplus(
        service: DocumentService,
        model: ModelShape,
        domain: String,
        wanted: DomainTargets,
        spares: List<Announcement>,
    ): Int {
        val members = holdersOf(service, model).count { announcement(it.id)?.domain == domain }
        val staged = spares.count { stagedModel(service, it) == model.name }
        return members + staged - (wanted[domain]?.get(model.name) ?: 0) * model.size
    }

    /** The model that is on the engine's host or on its way there; null for none. */
    private fun stagedModel(service: DocumentService, engine: Announcement): String? {
        val pending = service.models.mapNotNull { model ->
            state.sentMs[SentOrder(engine.life, EngineCommand.Stage(model.name))]?.let { model to it }
        }.filter { (_, sentMs) -> input.nowMs - sentMs < STAGE_REPEAT_MS }.maxByOrNull { (_, sentMs) -> sentMs }?.first
        return (pending ?: service.models.firstOrNull { it.name in engine.staged })?.name
    }

    /** Whether the host has lately refused to stage: it is busy with other weights. */
    private fun refusesStage(life: EngineLife): Boolean =
        state.stageRefusedMs[life]?.let { input.nowMs - it < STAGE_RETRY_MS } == true

    /** Another model than [staged], which has engines to spare, for which a group misses engines. */
    private fun modelToRestage(service: DocumentService, surplus: Map<String, Int>, staged: String): ModelShape? {
        if (surplus.getValue(staged) <= 0) return null
        return service.models.filter { it.name != staged && surplus.getValue(it.name) < 0 }
            .minByOrNull { surplus.getValue(it.name) }
    }

    /** Counts a load from the weight store if their rate stays within what the service declares. */
    private fun allowLoad(service: DocumentService): Boolean {
        if (!input.trafficStarted) return true
        val perSecond = service.costs?.loadsPerSecond ?: return true
        val limit = perSecond * LOAD_WINDOW_MS / MS_PER_SECOND * LOAD_SAFETY
        if (state.loadStartsMs.size + 1 > limit) return false
        state = state.copy(loadStartsMs = state.loadStartsMs.add(input.nowMs))
        return true
    }

    /** Sends [command] unless the same one was sent a short time ago. */
    private fun order(life: EngineLife, command: EngineCommand) {
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

    private companion object {
        /** Room for a million formations in a term; terms are far below the 43 bits that are left. */
        const val EPOCHS_PER_TERM = 1L shl 20

        /** An order without an answer is repeated; an engine answers within some ms, also from another data centre. */
        const val REPEAT_MS = 600L

        /** A join that was refused is repeated once the engine's report includes the orders before it. */
        const val JOIN_REPEAT_MS = 350L

        /** Two announcements in a row are missing. */
        const val UNREACHABLE_MS = 2_700L

        /** An engine that does not answer gets an order only in case it comes back. */
        const val UNREACHABLE_REPEAT_MS = 3_000L

        /** A quarter more than the interval of announcements. */
        const val OVERDUE_MS = 1_500L

        /** A question is answered within some ms; two that are not, on connections of their own, are no accident. */
        const val PROBE_FAILURES = 2
        const val PROBE_GAP_MS = 250L
        const val DEAD_PROBE_GAP_MS = 2_000L

        /** A head that served an entry within this time is up, though control may not reach it. */
        const val UNSEEN_MS = 1_000L

        /** What an entry saw this long ago says nothing about now. */
        const val EVIDENCE_MS = 2_000L

        /** Another entry's last answer from a head can be this much older than its report of it. */
        const val REPORT_AGE_MS = 300L
        const val REJOIN_MS = 200L

        /** Two announcements; entries also tell a restarted instance of the heads that they know. */
        const val HEADLESS_MS = 3_000L

        /** Engines that start together announce themselves within about an announcement interval. */
        const val GATHER_MS = 700L
        const val GATHER_LIMIT_MS = 2_500L
        const val OPEN_AGAIN_MS = 1_000L

        /** A host that loads other weights refuses for up to 16 s; it is asked again after this time. */
        const val STAGE_RETRY_MS = 5_000L
        val HOLDING_PHASES = setOf(GroupPhase.WARMING, GroupPhase.FORMING, GroupPhase.SERVING)

        /** A join of staged weights takes up to about 2 s. */
        const val WARMING_LIMIT_MS = 4_000L

        /** Three probes and a leave order. */
        const val SETTLE_MS = 700L

        /** Longest a head finishes its requests; a member that drains stays for at most 10 s. */
        const val CLOSING_LIMIT_MS = 8_000L

        /** Loads that run together beyond the store's limit take longer. */
        const val LOAD_SLOWDOWN = 3
        const val FORMING_MARGIN_MS = 5_000L
        const val LOAD_WINDOW_MS = 5_000L
        const val LOAD_SAFETY = 0.9

        /** Weighs an engine that a group misses above any balance of the spare ones. */
        const val URGENT = 1_000.0
        const val MIN_SHARE = 0.01
        const val MS_PER_SECOND = 1_000.0

        /** Orders that are too old to matter are forgotten in batches. */
        const val MAX_SENT_ORDERS = 2_000

        /** Lives whose engine is gone are forgotten in batches. */
        const val MAX_OLD_LIVES = 100
    }
}
