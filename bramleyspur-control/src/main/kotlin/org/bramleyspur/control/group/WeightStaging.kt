/*
 * Staging of weights on the hosts of free engines, so that groups are formed and lost members replaced without a load.
 * Which weights are replaced by those of another model is decided in WeightReplacement.kt.
 */
package org.bramleyspur.control.group

import org.bramleyspur.core.backend.Announcement
import org.bramleyspur.core.document.DocumentService
import org.bramleyspur.core.document.ModelSpec

/**
 * Loads weights onto the hosts of free engines in proportion to the models' shares of the work, and replaces weights
 * where another model needs the engine more.
 */
internal fun Planning.stageWeights(service: DocumentService, wanted: DomainTargets) {
    val free = freeEngines(service.name)
    val engineCounts = service.models.associate { it.name to enginesOf(service, it, free) }.toMutableMap()
    val countsBefore = engineCounts.toMap()
    recordShortages(service, wanted, free)
    for ((domain, spares) in free.groupBy { domainOf(it) }) {
        val surplus = service.models.associate { it.name to surplus(service, it, domain, wanted, spares) }
            .toMutableMap()
        val wantedSpares = service.models.associate { it.name to wanted.spares(domain, it, service.models) }
        for (spare in spares.filterNot { hasRecentlyRefusedStage(it.incarnation) }.sortedBy { it.id }) {
            val held = heldModel(service, spare)
            val model = if (held == null) {
                modelToStage(service, domain, wanted, surplus, engineCounts)
            } else {
                modelToRestage(service, domain, spare, held, surplus, wantedSpares, countsBefore)
            }
            if (model == null) continue
            if (!reserveLoad(service)) return
            order(spare.incarnation, EngineCommand.Stage(model.name))
            surplus.merge(model.name, 1, Int::plus)
            engineCounts.merge(model.name, 1, Int::plus)
            held?.let {
                state = state.copy(reassigned = state.reassigned.put(spare.incarnation, model.name))
                surplus.merge(it, -1, Int::plus)
                engineCounts.merge(it, -1, Int::plus)
            }
        }
    }
}

/**
 * The model whose weights a free engine of [domain] should load: the one with the fewest engines for its work, then one
 * whose groups there lack engines, else the one with the fewest spares in the domain.
 */
private fun Planning.modelToStage(
    service: DocumentService,
    domain: String,
    wanted: DomainTargets,
    surplus: Map<String, Int>,
    engineCounts: Map<String, Int>,
): ModelSpec? {
    fun isUsed(model: ModelSpec) = assignedIn(service, model, domain) + wanted.groups(domain, model) > 0

    // Until the first request, loads are fast, so the groups that are wanted in the domain come first.
    fun enginesIfLoadsAreSlow(model: ModelSpec) = if (input.trafficStarted) enginesPerWork(model, engineCounts) else 0.0
    return service.models.minWithOrNull(
        compareBy(
            { enginesIfLoadsAreSlow(it) },
            { minOf(surplus.getValue(it.name), 0) },
            { if (isUsed(it)) 0 else 1 },
            { surplus.getValue(it.name) % it.groupSize },
            { enginesPerWork(it, engineCounts) },
        ),
    )
}

/** Number of engines that the wanted groups of a domain need, including spares. */
private fun wantedEngines(service: DocumentService, model: ModelSpec, domain: String, wanted: DomainTargets): Int =
    wanted.groups(domain, model) * model.groupSize + wanted.spares(domain, model, service.models)

private fun Planning.assignedIn(service: DocumentService, model: ModelSpec, domain: String): Int =
    assignedByDomain(service.name, model.name)[domain]?.size ?: 0

/** Number of engines that are in groups of the model or held for it. */
private fun Planning.enginesOf(service: DocumentService, model: ModelSpec, free: List<Announcement>): Int =
    assignedByDomain(service.name, model.name).filterKeys { isOfPart(it, part) }.values.sumOf { it.size } +
        free.count { heldModel(service, it) == model.name }

internal fun Planning.enginesPerWork(model: ModelSpec, engineCounts: Map<String, Int>): Double =
    engineCounts.getValue(model.name) / model.workShare.coerceAtLeast(MIN_WORK_SHARE)

/** Number of engines of the domain in groups of the model or held for it, minus the number that its groups need. */
internal fun Planning.surplus(
    service: DocumentService,
    model: ModelSpec,
    domain: String,
    wanted: DomainTargets,
    spares: List<Announcement>,
): Int {
    val members = assignedIn(service, model, domain)
    val held = spares.count { heldModel(service, it) == model.name }
    return members + held - wantedEngines(service, model, domain, wanted)
}

/**
 * The model whose groups count on the engine: the one for which its weights were replaced, else its last one, else the
 * one that its host holds or loads; null for none.
 */
internal fun Planning.heldModel(service: DocumentService, engine: Announcement): String? {
    val models = service.models.map { it.name }
    val known = listOf(
        state.reassigned[engine.incarnation],
        state.lastModel[engine.incarnation],
        orderedLoad(service, engine),
    )
    return known.firstOrNull { it in models } ?: models.firstOrNull { it in engine.stagedModels }
}

/** The model whose weights the engine's host has been ordered to load and has not announced; null for none. */
internal fun Planning.pendingLoad(service: DocumentService, engine: Announcement): String? =
    orderedLoad(service, engine)?.takeIf { it !in engine.stagedModels }

/** The model whose weights the engine's host was last ordered to load, unless that has failed. */
private fun Planning.orderedLoad(service: DocumentService, engine: Announcement): String? =
    service.models.mapNotNull { model ->
        state.sentMs[SentOrder(engine.incarnation, EngineCommand.Stage(model.name))]?.let { model.name to it }
    }.filter { (_, sentMs) -> input.nowMs - sentMs < STAGE_REPEAT_MS }.maxByOrNull { (_, sentMs) -> sentMs }?.first

/** Whether the host has recently refused to stage, as it does while it loads other weights. */
internal fun Planning.hasRecentlyRefusedStage(incarnation: EngineIncarnation): Boolean =
    state.stageRefusedMs[incarnation]?.let { input.nowMs - it < STAGE_RETRY_MS } == true

/** Reserves a load from the weight store; false if the rate would exceed the service's declared limit. */
internal fun Planning.reserveLoad(service: DocumentService): Boolean {
    if (!input.trafficStarted) return true
    val perSecond = service.costs?.loadsPerSecond ?: return true
    val limit = perSecond * LOAD_WINDOW_MS / MS_PER_SECOND * LOAD_RATE_MARGIN
    if (state.loadStartsMs.size + 1 > limit) return false
    state = state.copy(loadStartsMs = state.loadStartsMs.add(input.nowMs))
    return true
}

/** Retry interval for a host that refuses to stage, which it does for up to 16 s while it loads other weights. */
private const val STAGE_RETRY_MS = 5_000L

/** Fraction of the declared load rate that the planner uses. */
private const val LOAD_RATE_MARGIN = 0.9

/** Prevents division by a share of 0. */
private const val MIN_WORK_SHARE = 0.01
private const val MS_PER_SECOND = 1_000.0
