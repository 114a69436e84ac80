/*
 * Moves of groups from one model to another that the measured demand asks for. The members load the weights of the
 * other model while their group still serves; then it closes, and its engines form a group of the other model.
 */
package org.bramleyspur.control.group

import kotlinx.collections.immutable.toImmutableList
import org.bramleyspur.core.document.DocumentService
import org.bramleyspur.core.document.ModelSpec

/**
 * A move of groups that is allowed.
 *
 * @property from models that give up groups
 * @property to models that get groups
 * @property untilMs when the permission ends
 */
data class GroupMove(val from: Set<String>, val to: Set<String>, val untilMs: Long)

/**
 * What the measured demand asks of the targets of a service.
 *
 * @property shares shares of the work by model, in place of the configured ones
 */
data class DemandTargets(val shares: Map<String, Double>, val move: GroupMove? = null)

/** This service with the shares of the work that [demand] names. */
internal fun DocumentService.withDemand(demand: DemandTargets?): DocumentService = if (demand == null) {
    this
} else {
    copy(models = models.map { it.copy(workShare = demand.shares[it.name] ?: it.workShare) }.toImmutableList())
}

/** Carries an allowed move on, one new group at a time; no model gives up its last group. */
internal fun Planning.moveGroups(service: DocumentService, wanted: DomainTargets) {
    val move = input.demand[service.name]?.move?.takeIf { input.nowMs < it.untilMs } ?: return
    if (!input.trafficStarted || isReforming(service)) return
    val step = service.models.filter { it.name in move.to }
        .firstNotNullOfOrNull { model -> donorsFor(service, model, move, wanted)?.let { model to it } } ?: return
    val (model, donors) = step
    val lacking = donors.flatMap {
        it.members
    }.filter { announcementOf(it)?.stagedModels?.contains(model.name) != true }
    if (lacking.isEmpty()) {
        donors.forEach { closeForMove(it) }
    } else {
        lacking.filterNot { isStaging(it, model) || hasRecentlyRefusedStage(it) }
            .forEach { if (reserveLoad(service)) order(it, EngineCommand.Stage(model.name)) }
    }
}

private fun Planning.closeForMove(group: PlannedGroup) {
    order(group.members.first(), EngineCommand.Close(group.id))
    enterPhase(group, GroupPhase.CLOSING, PhaseReason(PhaseCause.DEMAND_MOVED))
}

/** Whether a group of the service forms, closes or is released; the next move waits for its result. */
internal fun Planning.isReforming(service: DocumentService): Boolean = state.groups.values.any {
    it.service == service.name && it.phase != GroupPhase.SERVING && it.phase != GroupPhase.WARMING
}

/**
 * Groups of one domain whose engines, with the free ones there, form a group of [model]; null if there are none. Those
 * whose members have most of the weights come first, so that a plan goes on with what the last one began.
 */
private fun Planning.donorsFor(
    service: DocumentService,
    model: ModelSpec,
    move: GroupMove,
    wanted: DomainTargets,
): List<PlannedGroup>? {
    val active = service.models.associateWith { activeGroups(service, it) }
    if (active.getValue(model).size >= wanted.values.sumOf { it[model.name] ?: 0 }) return null
    return wanted.keys
        .filter { groupCountIn(service, model, it) < wanted.groups(it, model) && !sparesSuffice(service, model, it) }
        .mapNotNull { domain ->
            val donors = service.models.filter { it.name in move.from }.flatMap { donor ->
                val inDomain = active.getValue(donor).filter { domainOf(it) == domain }
                val excess = inDomain.size - wanted.groups(domain, donor)
                inDomain.sortedWith(compareBy({ -loaded(it, model) }, { it.id.epoch }))
                    .take(minOf(excess, active.getValue(donor).size - 1).coerceAtLeast(0))
            }
            enough(donors, model)
        }
        .maxByOrNull { donors -> donors.sumOf { loaded(it, model) } }
}

/** Whether free engines form the group, or may still be ordered to load its weights. */
private fun Planning.sparesSuffice(service: DocumentService, model: ModelSpec, domain: String): Boolean =
    !isShortageLasting(service, model, domain) ||
        freeEngines(service.name).count { it.fabricDomain == domain && heldModel(service, it) == model.name } >=
        model.groupSize

/** As many of [donors] as a group of [model] needs; null if they are too few. */
private fun enough(donors: List<PlannedGroup>, model: ModelSpec): List<PlannedGroup>? {
    var engines = 0
    val taken = donors.takeWhile { donor -> (engines < model.groupSize).also { engines += donor.members.size } }
    return taken.takeIf { it.sumOf { group -> group.members.size } >= model.groupSize }
}

/** Number of members that have loaded or are loading the weights of [model]. */
private fun Planning.loaded(group: PlannedGroup, model: ModelSpec): Int = group.members.count {
    announcementOf(it)?.stagedModels?.contains(model.name) == true || isStaging(it, model)
}

/** Whether the weights of [model] are probably being loaded. */
private fun Planning.isStaging(incarnation: EngineIncarnation, model: ModelSpec): Boolean =
    state.sentMs[SentOrder(incarnation, EngineCommand.Stage(model.name))]
        ?.let { input.nowMs - it < STAGE_REPEAT_MS } == true

/** The domain of a group; null if it spans several. */
private fun Planning.domainOf(group: PlannedGroup): String? =
    group.members.map { announcement(it.id)?.fabricDomain }.distinct().singleOrNull()
