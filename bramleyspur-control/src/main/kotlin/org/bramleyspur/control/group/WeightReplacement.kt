/*
 * Decides when a free engine loads the weights of another model than those that its host holds. The engine serves no
 * requests for as long as the load takes, so the reason has to last.
 */
package org.bramleyspur.control.group

import kotlinx.collections.immutable.toPersistentMap
import org.bramleyspur.core.backend.Announcement
import org.bramleyspur.core.document.DocumentService
import org.bramleyspur.core.document.ModelSpec

/**
 * A model whose groups in the domain have lacked engines for some time, even without spares, if it has fewer engines
 * for its work than [held], the groups of [held] in the domain can spare one, and the engine cannot join it yet;
 * else null. A missing spare is not enough: an engine serves no requests while it loads, and targets change with every
 * loss.
 */
internal fun Planning.modelToRestage(
    service: DocumentService,
    domain: String,
    engine: Announcement,
    held: String,
    surplus: Map<String, Int>,
    wantedSpares: Map<String, Int>,
    engineCounts: Map<String, Int>,
): ModelSpec? {
    val current = service.models.firstOrNull { it.name == held } ?: return null
    if (surplus.getValue(held) + wantedSpares.getValue(held) <= 0 ||
        isLoading(service, engine.incarnation)
    ) {
        return null
    }
    return service.models
        .filter { it.name != held && isShort(it, surplus, wantedSpares) && isShortageLasting(service, it, domain) }
        .filter { joinTimeMs(engine, it) >= it.loadMs }
        .filter { enginesPerWork(it, engineCounts) < enginesPerWork(current, engineCounts) }
        .minByOrNull { surplus.getValue(it.name) }
}

/** Whether the groups that are wanted in a domain lack engines of the model, spares apart. */
private fun isShort(model: ModelSpec, surplus: Map<String, Int>, wantedSpares: Map<String, Int>): Boolean =
    surplus.getValue(model.name) + wantedSpares.getValue(model.name) < 0

/** Records since when each model has lacked engines in each domain, [free] being the free engines of all domains. */
internal fun Planning.recordShortages(service: DocumentService, wanted: DomainTargets, free: List<Announcement>) {
    val freeByDomain = free.groupBy { domainOf(it) }
    val before = state.shortageSinceMs
    var shortages = before.filterKeys { it.service != service.name || !isOfPart(it.domain, part) }.toPersistentMap()
    for (domain in wanted.keys + freeByDomain.keys) {
        val spares = freeByDomain[domain].orEmpty()
        val surplus = service.models.associate { it.name to surplus(service, it, domain, wanted, spares) }
        val wantedSpares = service.models.associate { it.name to wanted.spares(domain, it, service.models) }
        for (model in service.models.filter { isShort(it, surplus, wantedSpares) }) {
            val key = ModelInDomain(service.name, model.name, domain)
            shortages = shortages.put(key, before[key] ?: input.nowMs)
        }
    }
    state = state.copy(shortageSinceMs = shortages)
}

/**
 * Whether the shortage has outlasted the time in which the members of a lost group are free, or in which a new leader
 * receives the announcements of all engines.
 */
internal fun Planning.isShortageLasting(service: DocumentService, model: ModelSpec, domain: String): Boolean {
    val sinceMs = state.shortageSinceMs[ModelInDomain(service.name, model.name, domain)] ?: return false
    return input.nowMs - sinceMs >= SHORTAGE_CONFIRMATION_MS
}

/** Whether the engine is probably loading weights, during which it refuses others. */
private fun Planning.isLoading(service: DocumentService, incarnation: EngineIncarnation): Boolean =
    service.models.any { model ->
        state.sentMs[SentOrder(incarnation, EngineCommand.Stage(model.name))]
            ?.let { input.trafficStarted && input.nowMs - it < model.loadMs } == true
    }

/** Longer than the members of a lost group take to join another one, or all engines to announce themselves. */
private const val SHORTAGE_CONFIRMATION_MS = 2_500L
