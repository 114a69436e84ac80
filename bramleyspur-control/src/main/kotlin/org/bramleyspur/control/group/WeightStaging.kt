/*
 * Which weights the hosts of free engines hold, so that groups can be formed and lost members replaced without a load.
 */
package org.bramleyspur.control.group

import org.bramleyspur.core.backend.Announcement
import org.bramleyspur.core.document.DocumentService
import org.bramleyspur.core.document.ModelShape

/**
 * Loads weights onto the hosts of free engines: first what the groups of their domain miss, then so that the models
 * have engines by their share of the work. A model with large groups loses members more often, and so needs more.
 */
internal fun Planning.stageWeights(service: DocumentService, wanted: DomainTargets) {
    val free = freeEngines(service.name)
    val engines = service.models.associate { it.name to enginesOf(service, it, free) }.toMutableMap()
    for ((domain, spares) in free.groupBy { it.domain }) {
        val surplus = service.models.associate { it.name to surplus(service, it, domain, wanted, spares) }
            .toMutableMap()
        for (spare in spares.filterNot { refusesStage(it.life) }.sortedBy { it.id }) {
            val staged = stagedModel(service, spare)
            val model = if (staged == null) {
                modelToStage(service, domain, spares, wanted, surplus, engines)
            } else {
                modelToRestage(service, spare, staged, surplus)
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

/**
 * The model whose weights a free engine of [domain] is given: one whose groups there miss engines, then one for which
 * several engines wait for the last member of a group, else the one of which the domain has the fewest spares.
 */
private fun Planning.modelToStage(
    service: DocumentService,
    domain: String,
    spares: List<Announcement>,
    wanted: DomainTargets,
    surplus: Map<String, Int>,
    engines: Map<String, Int>,
): ModelShape? {
    fun waiting(model: ModelShape) = spares.count { stagedModel(service, it) == model.name } % model.size
    fun serves(model: ModelShape) = holdersIn(service, model, domain) + wanted.groups(domain, model) > 0
    return service.models.minWithOrNull(
        compareBy(
            { minOf(surplus.getValue(it.name), 0) },
            { if (waiting(it) == it.size - 1 && waiting(it) > 1) 0 else 1 },
            { if (serves(it)) 0 else 1 },
            { surplus.getValue(it.name) % it.size },
            { perWork(it, engines) },
        ),
    )
}

/** Engines that the wanted groups of a domain need, with their spares. */
private fun Planning.wantedEngines(model: ModelShape, domain: String, wanted: DomainTargets): Int {
    val groups = wanted.groups(domain, model)
    return if (groups == 0) 0 else groups * model.size + sparesOf(model)
}

private fun Planning.holdersIn(service: DocumentService, model: ModelShape, domain: String): Int =
    holdersOf(service, model).count { announcement(it.id)?.domain == domain }

/** Engines that are in groups of the model or staged for it. */
private fun Planning.enginesOf(service: DocumentService, model: ModelShape, free: List<Announcement>): Int =
    holdersOf(service, model).size + free.count { stagedModel(service, it) == model.name }

/** Engines that are in groups of the model, or join one alone to be ready for others. */
private fun Planning.holdersOf(service: DocumentService, model: ModelShape): List<EngineLife> = state.groups.values
    .filter { it.service == service.name && it.model == model.name && it.phase in HOLDING_PHASES }
    .flatMap { it.members }

private fun Planning.perWork(model: ModelShape, engines: Map<String, Int>): Double =
    engines.getValue(model.name) / model.workShare.coerceAtLeast(MIN_SHARE)

/** Engines of the domain that are in groups of the model or staged for it, beyond those that its groups need. */
internal fun Planning.surplus(
    service: DocumentService,
    model: ModelShape,
    domain: String,
    wanted: DomainTargets,
    spares: List<Announcement>,
): Int {
    val members = holdersIn(service, model, domain)
    val staged = spares.count { stagedModel(service, it) == model.name }
    return members + staged - wantedEngines(model, domain, wanted)
}

/** The model that is on the engine's host or on its way there; null for none. */
internal fun Planning.stagedModel(service: DocumentService, engine: Announcement): String? {
    val pending = service.models.mapNotNull { model ->
        state.sentMs[SentOrder(engine.life, EngineCommand.Stage(model.name))]?.let { model to it }
    }.filter { (_, sentMs) -> input.nowMs - sentMs < STAGE_REPEAT_MS }.maxByOrNull { (_, sentMs) -> sentMs }?.first
    return (pending ?: service.models.firstOrNull { it.name in engine.staged })?.name
}

/** Whether the host has lately refused to stage: it is busy with other weights. */
private fun Planning.refusesStage(life: EngineLife): Boolean =
    state.stageRefusedMs[life]?.let { input.nowMs - it < STAGE_RETRY_MS } == true

/**
 * Another model than [staged], of whose engines the domain has enough, for which a whole group misses engines. A
 * missing spare is no reason: an engine serves nobody while it loads, and the targets change with every loss.
 */
private fun Planning.modelToRestage(
    service: DocumentService,
    engine: Announcement,
    staged: String,
    surplus: Map<String, Int>,
): ModelShape? {
    if (surplus.getValue(staged) <= 0 || isLoading(service, engine.life)) return null
    return service.models.filter { it.name != staged && surplus.getValue(it.name) + sparesOf(it) < 0 }
        .minByOrNull { surplus.getValue(it.name) }
}

/** Whether the engine was lately ordered to load weights; it refuses others meanwhile. */
private fun Planning.isLoading(service: DocumentService, life: EngineLife): Boolean = service.models.any { model ->
    state.sentMs[SentOrder(life, EngineCommand.Stage(model.name))]
        ?.let { input.trafficStarted && input.nowMs - it < model.loadMs } == true
}

/** Counts a load from the weight store if their rate stays within what the service declares. */
private fun Planning.allowLoad(service: DocumentService): Boolean {
    if (!input.trafficStarted) return true
    val perSecond = service.costs?.loadsPerSecond ?: return true
    val limit = perSecond * LOAD_WINDOW_MS / MS_PER_SECOND * LOAD_SAFETY
    if (state.loadStartsMs.size + 1 > limit) return false
    state = state.copy(loadStartsMs = state.loadStartsMs.add(input.nowMs))
    return true
}

/** A host that loads other weights refuses for up to 16 s; it is asked again after this time. */
private const val STAGE_RETRY_MS = 5_000L
private val HOLDING_PHASES = setOf(GroupPhase.WARMING, GroupPhase.FORMING, GroupPhase.SERVING)
private const val LOAD_SAFETY = 0.9
private const val MIN_SHARE = 0.01
private const val MS_PER_SECOND = 1_000.0
