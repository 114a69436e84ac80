package org.bramleyspur.control.demand

import org.bramleyspur.control.group.DemandTargets
import org.bramleyspur.control.group.GroupPhase
import org.bramleyspur.control.group.PlannerState
import org.bramleyspur.core.document.Document
import org.bramleyspur.core.document.DocumentService

/**
 * The shares in use of all services whose groups are planned, held by the leader of [term].
 *
 * @property services state of the decision by service
 */
data class DemandState(val term: Long? = null, val services: Map<String, ShareState> = emptyMap()) {
    /** What the measured demand asks of the planner, by service. */
    val targets: Map<String, DemandTargets> =
        services.mapValues { (_, state) -> DemandTargets(state.shares, state.move) }
}

/** The next state, and the changes of shares in use by service. */
class DemandStep(val state: DemandState, val changes: Map<String, ShareChange>)

/** Decides on the shares of all services of [document] as the leader of [term], whose groups are those of [planner]. */
fun decideDemand(
    before: DemandState,
    term: Long,
    document: Document,
    planner: PlannerState,
    meter: DemandMeter,
    nowMs: Long,
): DemandStep {
    val known = if (before.term == term) before.services else emptyMap()
    val steps = document.services.values.mapNotNull { service ->
        inputOf(service, planner, meter, nowMs)?.let { service.name to decideShares(known[service.name], it) }
    }.toMap()
    val changes = steps.mapNotNull { (service, step) -> step.change?.let { service to it } }.toMap()
    return DemandStep(DemandState(term, steps.mapValues { it.value.state }), changes)
}

/** Null for a service that is not planned, or not yet. */
private fun inputOf(service: DocumentService, planner: PlannerState, meter: DemandMeter, nowMs: Long): ShareInput? {
    val costs = service.costs ?: return null
    val engines = planner.targets[service.name]?.engines ?: return null
    if (service.models.isEmpty()) return null
    val groups = planner.groups.values
        .filter { it.service == service.name && (it.phase == GroupPhase.SERVING || it.phase == GroupPhase.FORMING) }
        .groupingBy { it.model }
        .eachCount()
    return ShareInput(nowMs, service, costs, engines, groups, measuredWork(meter, service, costs, nowMs))
}
