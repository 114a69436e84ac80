/*
 * Weights on the hosts of spares. An engine rejoins a group of its last model without staged weights, so the host of a
 * spare may hold those of another model: the spare then replaces a lost member of either model without a load.
 */
package org.bramleyspur.control.group

import org.bramleyspur.core.backend.Announcement
import org.bramleyspur.core.document.DocumentService
import org.bramleyspur.core.document.ModelSpec

/**
 * Orders spares that rejoin their last model at once to load the weights of another model of their domain. Not for use
 * while a group is missing: free engines may be its members then, whose hosts keep the weights for a restart.
 */
internal fun Planning.stageSecondModels(service: DocumentService, wanted: DomainTargets) {
    for (spare in freeEngines(service.name).sortedBy { it.id }) {
        val model = secondModelFor(service, spare, wanted) ?: continue
        if (!reserveLoad(service)) return
        order(spare.incarnation, EngineCommand.Stage(model.name))
    }
}

/** The model whose weights the host should hold beside those that the engine itself has; null for no change. */
private fun Planning.secondModelFor(service: DocumentService, spare: Announcement, wanted: DomainTargets): ModelSpec? {
    val own = state.lastModel[spare.incarnation] ?: return null
    if (own !in spare.stagedModels || pendingLoad(service, spare) != null ||
        hasRecentlyRefusedStage(spare.incarnation)
    ) {
        return null
    }
    val domain = domainOf(spare)
    val ownCost = service.models.firstOrNull { it.name == own }?.let { wanted.costOfLosses(domain, it) } ?: return null
    return service.models.filter { wanted.groups(domain, it) > 0 && wanted.costOfLosses(domain, it) > ownCost }
        .maxByOrNull { wanted.costOfLosses(domain, it) }
}
