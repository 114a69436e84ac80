/*
 * Assignment of free engines to groups. Only engines that need no weight load are used.
 */
package org.bramleyspur.control.group

import kotlinx.collections.immutable.toImmutableList
import org.bramleyspur.core.backend.Announcement
import org.bramleyspur.core.backend.BackendState
import org.bramleyspur.core.backend.GroupId
import org.bramleyspur.core.document.DocumentService
import org.bramleyspur.core.document.ModelSpec

/**
 * Whether the first engines of a service are still announcing themselves. Forming groups too early would leave engines
 * that fit no group in their domain.
 */
private fun Planning.isStartingUp(service: DocumentService): Boolean {
    if (input.trafficStarted) return false
    val firstSeenMs = input.engines.values.filter { it.announcement.service == service.name }
        .mapNotNull { state.firstSeenMs[it.announcement.id] }
    return firstSeenMs.isEmpty() ||
        input.nowMs - firstSeenMs.max() < STARTUP_STABLE_MS && input.nowMs - firstSeenMs.min() < STARTUP_LIMIT_MS
}

/** Forms missing groups from engines that need no load, and stages weights for groups that are still missing. */
internal fun Planning.formGroups(service: DocumentService) {
    if (isStartingUp(service)) return
    val wanted = targetsOf(service)
    formGroups(service, wanted.ofPart(EnginePart.OPEN))
    if (input.evacuated.isEmpty()) return
    part = EnginePart.EVACUATED
    formGroups(service, wanted.ofPart(EnginePart.EVACUATED))
    part = EnginePart.OPEN
}

private fun Planning.formGroups(service: DocumentService, wanted: DomainTargets) {
    val totals = service.models.associate { m -> m.name to wanted.values.sumOf { it[m.name] ?: 0 } }
    for (model in service.models) {
        var missing = totals.getValue(model.name) - activeGroups(service, model).count { !spansDomains(it) }
        while (missing > 0 && formWithinDomain(service, model, wanted)) missing--
        if (input.trafficStarted) adjustCrossDomainGroups(service, model, totals.getValue(model.name))
    }
    formFromSurplus(service, wanted)
    stageWeights(service, wanted)
    val missing = groupGaps(service, wanted)
    if (missing.isEmpty()) stageSecondModels(service, wanted)
    moveGroups(service, wanted)
    replaceSlowMembers(service)
    warmSpares(service)
    if (input.trafficStarted && part == EnginePart.OPEN) gaps += missing
}

/**
 * Forms groups across domains in place of missing ones of the [wanted], and closes them for groups within a domain. One
 * that can be replaced is replaced before another one takes the engines for that.
 */
private fun Planning.adjustCrossDomainGroups(service: DocumentService, model: ModelSpec, wanted: Int) {
    val (crossDomain, singleDomain) = activeGroups(service, model).partition { spansDomains(it) }
    val serving = singleDomain.count { it.phase == GroupPhase.SERVING }
    val crossDomainServing = crossDomain.filter { it.phase == GroupPhase.SERVING }
    val replaceable = crossDomainServing.filter { fitsInOneDomain(service, model, it) }
    val cutOff = crossDomainServing.filter { isCutOff(it) }
    when {
        cutOff.isNotEmpty() -> closeCrossDomainGroup(cutOff)
        serving >= maxOf(wanted, 1) -> closeCrossDomainGroup(crossDomainServing)
        isReplacementPending(service, model) -> Unit
        // Another group serves the model until the members have formed the new one.
        serving + crossDomainServing.size > 1 && replaceable.isNotEmpty() -> closeCrossDomainGroup(replaceable)
        wanted - singleDomain.size > crossDomain.size && !isReleasePending(service) ->
            formAcrossDomains(service, model)
    }
}

/** Whether a group of the model closes for one within a domain. */
private fun Planning.isReplacementPending(service: DocumentService, model: ModelSpec): Boolean =
    state.groups.values.any {
        it.service == service.name && it.model == model.name && it.phase == GroupPhase.CLOSING &&
            it.reason.cause == PhaseCause.REPLACED
    }

private fun Planning.targetsOf(service: DocumentService): DomainTargets {
    val engines = usableEnginesByDomain(service)
    val last = state.targets[service.name]
    if (last != null && last.engines == engines && last.models == service.models) return last.wanted
    val wanted = wantedByPart(engines) { wantedGroups(it, service.models) }
    val targets = ServiceTargets(engines, service.models, wanted)
    state = state.copy(targets = state.targets.put(service.name, targets))
    return wanted
}

/**
 * Forms groups beyond the wanted number wherever a domain has enough free engines with the weights of a model. As
 * spares these engines would serve no requests, and after a loss the domain would have no more groups than with them.
 */
private fun Planning.formFromSurplus(service: DocumentService, wanted: DomainTargets) {
    do {
        val byWorkPerEngine = service.models.sortedByDescending { workPerEngine(service, it) }
        val formed = byWorkPerEngine.firstOrNull { formSurplusGroup(service, it, wanted) }
    } while (formed != null)
}

/** The model's share of the work divided by the number of engines in its groups. */
private fun Planning.workPerEngine(service: DocumentService, model: ModelSpec): Double =
    model.workShare / (activeGroups(service, model).size * model.groupSize).coerceAtLeast(1)

private fun Planning.formSurplusGroup(service: DocumentService, model: ModelSpec, wanted: DomainTargets): Boolean {
    val free = freeEngines(service.name)
    val members = fastJoiningAmong(service, free, model).groupBy { domainOf(it) }
        .filter { (domain, engines) ->
            engines.size - reserved(service, model, domain, wanted, free) >= model.groupSize
        }
        .values.maxByOrNull { it.size }?.take(model.groupSize) ?: return false
    return formGroup(service, model, members)
}

/**
 * Number of free engines in the domain that are reserved for other models. Once traffic has started, an engine serves
 * no requests for many seconds while it loads, so engines are then reserved only for models with more work per engine.
 */
private fun Planning.reserved(
    service: DocumentService,
    model: ModelSpec,
    domain: String,
    wanted: DomainTargets,
    free: List<Announcement>,
): Int {
    val spares = free.filter { domainOf(it) == domain }
    val ownWork = workPerEngine(service, model)
    return service.models.filter { it.name != model.name }
        .filter { !input.trafficStarted || workPerEngine(service, it) > ownWork }
        .sumOf { other ->
            // Spares beyond the model's own number take the place of another model's, and are worth less than a group.
            val extraSpares = (wanted.spares(domain, other, service.models) - sparesOf(other)).coerceAtLeast(0)
            (-surplus(service, other, domain, wanted, spares) - extraSpares).coerceAtLeast(0)
        }
}

/** Whether members of a released group are about to become free, so that a group within one domain may be possible. */
private fun Planning.isReleasePending(service: DocumentService): Boolean = state.groups.values.any { group ->
    group.service == service.name && group.phase == GroupPhase.RELEASING &&
        input.nowMs - group.sinceMs < RELEASE_DURATION_MS &&
        group.members.any { mayBeIn(it, group) && !isUnreachable(it, failures = 1) }
}

private fun Planning.usableEnginesByDomain(service: DocumentService): Map<String, DomainEngines> {
    val groupModels = state.groups.values.filter { it.phase != GroupPhase.RELEASING }
        .flatMap { group -> group.members.map { it to group.model } }
        .toMap()
    return input.engines.values
        .map { it.announcement }
        .filter { it.service == service.name && it.state == BackendState.READY }
        .filter { isUsable(it.incarnation, inGroup = it.incarnation in groupModels) }
        .groupBy { domainOf(it) }
        .mapValues { (_, engines) ->
            val models = engines.mapNotNull { groupModels[it.incarnation] ?: heldModel(service, it) }
            DomainEngines(engines.size, models.groupingBy { it }.eachCount())
        }
}

/** A silent engine without a group is replaced at once; a member of a group may be sound and go on. */
private fun Planning.isUsable(incarnation: EngineIncarnation, inGroup: Boolean): Boolean =
    if (inGroup) lossOf(incarnation) == null else !isUnreachable(incarnation)

private fun Planning.spansDomains(group: PlannedGroup): Boolean =
    group.members.mapNotNull { member -> announcement(member.id)?.let { domainOf(it) } }.distinct().size > 1

/** Forms a group in a domain that has fewer groups of the model than wanted, preferring the fastest joins. */
private fun Planning.formWithinDomain(service: DocumentService, model: ModelSpec, wanted: DomainTargets): Boolean {
    val best = fastJoiningEngines(service, model).groupBy { domainOf(it) }
        .filter { it.value.size >= model.groupSize }
        .filter { (domain, _) -> groupCountIn(service, model, domain) < wanted.groups(domain, model) }
        .map { (domain, engines) -> domain to engines.take(model.groupSize) }
        .minWithOrNull(
            compareBy(
                { (_, members) -> members.maxOf { joinTimeMs(it, model) } },
                { (domain, _) -> groupCountIn(service, model, domain) - wanted.groups(domain, model) },
                { (_, members) -> members.sumOf { joinTimeMs(it, model) } },
            ),
        )?.second ?: return false
    return formGroup(service, model, best)
}

/** Forms a group across domains: it is slow, but serves while the engines of a single domain load weights. */
private fun Planning.formAcrossDomains(service: DocumentService, model: ModelSpec) {
    val engines = fastJoiningEngines(service, model)
    if (engines.size < model.groupSize) return
    val perDomain = engines.groupingBy { domainOf(it) }.eachCount()
    formGroup(service, model, engines.sortedByDescending { perDomain.getValue(domainOf(it)) }.take(model.groupSize))
}

/** Whether the members of a cross-domain group and the free engines could form a group within one domain. */
private fun Planning.fitsInOneDomain(service: DocumentService, model: ModelSpec, crossDomain: PlannedGroup): Boolean {
    val members = crossDomain.members.mapNotNull { announcementOf(it) }.filter { isInPart(it) }
    val domains = (fastJoiningEngines(service, model) + members).groupingBy { domainOf(it) }.eachCount()
    return domains.values.any { it >= model.groupSize }
}

private fun Planning.closeCrossDomainGroup(candidates: List<PlannedGroup>) {
    val group = candidates.firstOrNull() ?: return
    order(group.members.first(), EngineCommand.Close(group.id))
    enterPhase(group, GroupPhase.CLOSING, PhaseReason(PhaseCause.REPLACED))
}

/** Free engines that can join a group of the model without loading weights, the fastest first. */
internal fun Planning.fastJoiningEngines(service: DocumentService, model: ModelSpec): List<Announcement> =
    fastJoiningAmong(service, freeEngines(service.name), model)

/** Engines that load weights of another model come last: by joining they would lose what they load. */
private fun Planning.fastJoiningAmong(
    service: DocumentService,
    free: List<Announcement>,
    model: ModelSpec,
): List<Announcement> = free.filter { joinTimeMs(it, model) < model.loadMs }
    .sortedWith(
        compareBy(
            { if (pendingLoad(service, it) in setOf(null, model.name)) 0 else 1 },
            { slowFactor(it) },
            { joinTimeMs(it, model) },
        ),
    )

/** Number of groups of the model within the domain; a group across domains takes the place of none of them. */
internal fun Planning.groupCountIn(service: DocumentService, model: ModelSpec, domain: String): Int =
    activeGroups(service, model).count { group ->
        !spansDomains(group) && group.members.any { member -> announcement(member.id)?.let { domainOf(it) } == domain }
    }

/** Time until the engine is ready in a group of the model. */
internal fun Planning.joinTimeMs(engine: Announcement, model: ModelSpec): Long = when {
    state.lastModel[engine.incarnation] == model.name -> REJOIN_MS
    model.name in engine.stagedModels -> model.stagedLoadMs
    else -> model.loadMs
}

/** Orders the engines to join; false if one of them has to be probed for its state first. */
private fun Planning.formGroup(service: DocumentService, model: ModelSpec, engines: List<Announcement>): Boolean {
    // Counting instead of stopping at the first one probes all engines at once.
    if (engines.count { !verifyOrders(it.incarnation) } > 0) return false
    createGroup(service, model, engines, GroupPhase.FORMING)
    return true
}

private fun Planning.createGroup(
    service: DocumentService,
    model: ModelSpec,
    engines: List<Announcement>,
    phase: GroupPhase,
) {
    val epoch = input.term * EPOCHS_PER_TERM + state.issuedEpochs + 1
    val id = GroupId("g$epoch", epoch)
    val members = engines.map { it.incarnation }.toImmutableList()
    val group = PlannedGroup(id, service.name, model.name, members, phase, input.nowMs, PhaseReason(PhaseCause.WANTED))
    state = state.copy(groups = state.groups.put(id, group), issuedEpochs = state.issuedEpochs + 1)
    val ids = members.map { it.id }.toImmutableList()
    members.forEach { order(it, EngineCommand.Join(id, model.name, ids)) }
}

/**
 * Lets each free engine with staged weights join a single-engine group once. An engine rejoins a group of its last
 * model within [REJOIN_MS], so it then replaces a lost member sooner.
 */
private fun Planning.warmSpares(service: DocumentService) {
    for (spare in freeEngines(service.name)) {
        val model = service.models.firstOrNull { it.name in spare.stagedModels } ?: continue
        val isCold = joinTimeMs(spare, model) == model.stagedLoadMs && heldModel(service, spare) == model.name
        if (isCold && verifyOrders(spare.incarnation)) createGroup(service, model, listOf(spare), GroupPhase.WARMING)
    }
}

/** Allows a million groups per term; terms stay far below the remaining 43 bits of an epoch. */
private const val EPOCHS_PER_TERM = 1L shl 20
private const val REJOIN_MS = 200L

/**
 * Time without a new engine after which startup is complete; engines that start together announce themselves within
 * about an announcement interval.
 */
private const val STARTUP_STABLE_MS = 700L

/**
 * Longest duration of the startup. The first announcements can arrive over 3.4 s; planning with only some engines
 * staged the wrong weights.
 */
private const val STARTUP_LIMIT_MS = 4_500L

/** Time for three probes and a leave order. */
private const val RELEASE_DURATION_MS = 700L
