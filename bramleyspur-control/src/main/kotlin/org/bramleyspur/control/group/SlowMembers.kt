/*
 * Replaces slow members of groups by spares. The group closes, and its sound members form one with the spares.
 */
package org.bramleyspur.control.group

import org.bramleyspur.control.demand.responseMs
import org.bramleyspur.core.backend.Announcement
import org.bramleyspur.core.document.DocumentService
import org.bramleyspur.core.document.ModelSpec

/** Closes the group of [service] that gains most from spares in place of its slow members. */
internal fun Planning.replaceSlowMembers(service: DocumentService) {
    if (!input.replacesSlowMembers || !input.trafficStarted || part != EnginePart.OPEN) return
    if (isReforming(service)) return
    val (group, replacement) = service.models.flatMap { model -> replacementsOf(service, model) }
        .maxByOrNull { (_, replacement) -> replacement.gainMs } ?: return
    order(group.members.first(), EngineCommand.Close(group.id))
    val reason = PhaseReason(PhaseCause.MEMBER_SLOW, replacement.slowest.id, replacement.slowForMs)
    enterPhase(group, GroupPhase.CLOSING, reason)
}

/** Another group serves the model while one is formed again. */
private fun Planning.replacementsOf(
    service: DocumentService,
    model: ModelSpec,
): List<Pair<PlannedGroup, MemberReplacement>> {
    val costs = service.costs ?: return emptyList()
    val serving = activeGroups(service, model).filter { it.phase == GroupPhase.SERVING }
    if (serving.size < 2) return emptyList()
    val spares = fastJoiningEngines(service, model).filter { heldModel(service, it) == model.name }
    return serving.mapNotNull { group ->
        val members = group.members.mapNotNull { announcementOf(it) }
        val domain = members.map { domainOf(it) }.distinct().singleOrNull()
        val candidates = spares.filter { domainOf(it) == domain }
        val joinMs = candidates.maxOfOrNull { joinTimeMs(it, model) } ?: return@mapNotNull null
        val reformMs = responseMs(model, costs) + joinMs + REFORM_MS
        bestReplacement(members.map { speedOf(it) }, candidates.map { speedOf(it) }, reformMs)?.let { group to it }
    }
}

/** The speed of an engine; without a recent report it counts as the median of those in its domain. */
private fun Planning.speedOf(engine: Announcement): EngineSpeed {
    val pace = recentPace(engine) ?: return EngineSpeed(engine.incarnation, medianFactorNear(engine))
    return EngineSpeed(engine.incarnation, pace.factor, pace.slowForMs)
}

private fun Planning.recentPace(engine: Announcement): EnginePace? =
    state.paces[engine.incarnation]?.takeIf { it.isRecent(input.nowMs) }

private fun Planning.medianFactorNear(engine: Announcement): Double {
    val factors = input.engines.values.map { it.announcement }
        .filter { it.service == engine.service && domainOf(it) == domainOf(engine) }
        .mapNotNull { recentPace(it)?.factor }
        .sorted()
    return if (factors.isEmpty()) 1.0 else factors[factors.size / 2]
}

/** The factor of a free engine that is known to be slow; 1 for any other. */
internal fun Planning.slowFactor(engine: Announcement): Double =
    if (input.replacesSlowMembers) recentPace(engine)?.takeIf { it.slowSinceMs != null }?.factor ?: 1.0 else 1.0

/** Orders, announcements and the first requests of a group that is formed again. */
private const val REFORM_MS = 1_000.0
