/*
 * Which free engines form which groups. Groups form only of engines that need no load.
 */
package org.bramleyspur.control.group

import kotlinx.collections.immutable.toImmutableList
import org.bramleyspur.core.backend.Announcement
import org.bramleyspur.core.backend.BackendState
import org.bramleyspur.core.backend.GroupId
import org.bramleyspur.core.document.DocumentService
import org.bramleyspur.core.document.ModelShape

/**
 * Whether the first engines of a service are still announcing themselves. Groups that were formed of the first ones
 * would leave engines over that fit no group in their domain.
 */
private fun Planning.isGathering(service: DocumentService): Boolean {
    if (input.trafficStarted) return false
    val births = input.engines.values.filter { it.announcement.service == service.name }
        .mapNotNull { state.firstSeenMs[it.announcement.id] }
    return births.isEmpty() ||
        input.nowMs - births.max() < GATHER_MS && input.nowMs - births.min() < GATHER_LIMIT_MS
}

/** Forms missing groups, from engines that need no load, and stages weights for the ones that still miss. */
internal fun Planning.formGroups(service: DocumentService) {
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
    formFromSurplus(service, wanted)
    stageWeights(service, wanted)
    warmSpares(service)
}

/**
 * Forms groups beyond the wanted ones wherever a domain has enough free engines with the weights of a model. As
 * spares they would serve nobody, and after a loss the domain would have no more groups than it has with them.
 */
private fun Planning.formFromSurplus(service: DocumentService, wanted: DomainTargets) {
    do {
        val neediest = service.models.sortedByDescending { workPerEngine(service, it) }
        val formed = neediest.firstOrNull { formSurplusGroup(service, it, wanted) }
    } while (formed != null)
}

/** The model's share of the work for each engine in its groups. */
private fun Planning.workPerEngine(service: DocumentService, model: ModelShape): Double =
    model.workShare / (groupsOf(service, model).size * model.size).coerceAtLeast(1)

private fun Planning.formSurplusGroup(service: DocumentService, model: ModelShape, wanted: DomainTargets): Boolean {
    val free = freeEngines(service.name)
    val members = quickAmong(free, model).groupBy { it.domain }
        .filter { (domain, engines) -> engines.size - kept(service, model, domain, wanted, free) >= model.size }
        .values.maxByOrNull { it.size }?.take(model.size) ?: return false
    return form(service, model, members)
}

/**
 * Engines of the domain that are given the weights of other models instead. Once there is traffic they serve nobody for
 * many seconds meanwhile, so that is done only for models whose groups have more work.
 */
private fun Planning.kept(
    service: DocumentService,
    model: ModelShape,
    domain: String,
    wanted: DomainTargets,
    free: List<Announcement>,
): Int {
    val spares = free.filter { it.domain == domain }
    val ownWork = workPerEngine(service, model)
    return service.models.filter { it.name != model.name }
        .filter { !input.trafficStarted || workPerEngine(service, it) > ownWork }
        .sumOf { (-surplus(service, it, domain, wanted, spares)).coerceAtLeast(0) }
}

/** Whether members of a group that has just ended will be free within some ms, for a group within their domain. */
private fun Planning.isSettling(service: DocumentService): Boolean = state.groups.values.any { group ->
    group.service == service.name && group.phase == GroupPhase.RELEASING &&
        input.nowMs - group.sinceMs < SETTLE_MS &&
        group.members.any { mayBeIn(it, group) && !isUnreachable(it, failures = 1) }
}

private fun Planning.usableByDomain(service: DocumentService): Map<String, Int> = input.engines.values
    .filter { it.announcement.service == service.name && it.announcement.state == BackendState.READY }
    .filter { !isUnreachable(it.announcement.life) }
    .groupingBy { it.announcement.domain }
    .eachCount()

private fun Planning.spansDomains(group: PlannedGroup): Boolean =
    group.members.mapNotNull { announcement(it.id)?.domain }.distinct().size > 1

/** Forms a wanted group; a domain that has its own ones gets more only from what others do not need there. */
private fun Planning.formWithinDomain(service: DocumentService, model: ModelShape, wanted: DomainTargets): Boolean {
    val best = quickEngines(service, model).groupBy { it.domain }
        .filter { it.value.size >= model.size }
        .filter { (domain, _) -> inDomain(service, model, domain) < wanted.groups(domain, model) }
        .map { (domain, engines) -> domain to engines.take(model.size) }
        .minWithOrNull(
            compareBy(
                { (_, members) -> members.maxOf { joinCost(it, model) } },
                { (domain, _) -> inDomain(service, model, domain) - wanted.groups(domain, model) },
                { (_, members) -> members.sumOf { joinCost(it, model) } },
            ),
        )?.second ?: return false
    return form(service, model, best)
}

/** A group over several domains is slow, but serves while the engines of one domain load. */
private fun Planning.formAcrossDomains(service: DocumentService, model: ModelShape) {
    val engines = quickEngines(service, model)
    if (engines.size < model.size) return
    val perDomain = engines.groupingBy { it.domain }.eachCount()
    form(service, model, engines.sortedByDescending { perDomain.getValue(it.domain) }.take(model.size))
}

/** Whether the members of a spread group and the free engines would make a group within one domain. */
private fun Planning.canBeCompact(service: DocumentService, model: ModelShape, spread: PlannedGroup): Boolean {
    val members = spread.members.mapNotNull { current(it) }
    val domains = (quickEngines(service, model) + members).groupingBy { it.domain }.eachCount()
    return domains.values.any { it >= model.size }
}

private fun Planning.closeSpread(spread: List<PlannedGroup>) {
    val group = spread.firstOrNull { it.phase == GroupPhase.SERVING } ?: return
    order(group.members.first(), EngineCommand.Close(group.id))
    enter(group, GroupPhase.CLOSING)
}

/** Free engines that join a group of the model without a load, the fastest first. */
private fun Planning.quickEngines(service: DocumentService, model: ModelShape): List<Announcement> =
    quickAmong(freeEngines(service.name), model)

private fun Planning.quickAmong(free: List<Announcement>, model: ModelShape): List<Announcement> =
    free.filter { joinCost(it, model) < model.loadMs }.sortedBy { joinCost(it, model) }

private fun Planning.inDomain(service: DocumentService, model: ModelShape, domain: String): Int =
    groupsOf(service, model).count { group -> group.members.any { announcement(it.id)?.domain == domain } }

/** Time in milliseconds until the engine is ready in a group of the model. */
private fun Planning.joinCost(engine: Announcement, model: ModelShape): Long = when {
    state.lastModel[engine.life] == model.name -> REJOIN_MS
    model.name in engine.staged -> model.warmMs
    else -> model.loadMs
}

/** Orders the engines to join; false when one of them has to be asked for its state first. */
private fun Planning.form(service: DocumentService, model: ModelShape, engines: List<Announcement>): Boolean {
    // All engines are asked at once, so this counts them instead of stopping at the first.
    if (engines.count { !isVerified(it.life) } > 0) return false
    join(service, model, engines, GroupPhase.FORMING)
    return true
}

private fun Planning.join(service: DocumentService, model: ModelShape, engines: List<Announcement>, phase: GroupPhase) {
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
private fun Planning.warmSpares(service: DocumentService) {
    for (spare in freeEngines(service.name)) {
        val model = service.models.firstOrNull { it.name in spare.staged } ?: continue
        val waiting = joinCost(spare, model) == model.warmMs && stagedModel(service, spare) == model.name
        if (waiting && isVerified(spare.life)) join(service, model, listOf(spare), GroupPhase.WARMING)
    }
}

/** Room for a million formations in a term; terms are far below the 43 bits that are left. */
private const val EPOCHS_PER_TERM = 1L shl 20
private const val REJOIN_MS = 200L

/** Engines that start together announce themselves within about an announcement interval. */
private const val GATHER_MS = 700L

/** Engines of a start came in over 3.4 s; decisions on a part of them gave domains the wrong weights. */
private const val GATHER_LIMIT_MS = 4_500L

/** Three probes and a leave order. */
private const val SETTLE_MS = 700L
