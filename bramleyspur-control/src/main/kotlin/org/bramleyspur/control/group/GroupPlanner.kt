/*
 * Forms, repairs and releases the groups of engines. A pure function of the announcements, the reports of entries and
 * the leader's own earlier orders; runs at each announcement and at short intervals.
 *
 * An engine is assigned to another group only after it or the head of its former group has left that group: its
 * announcement says so, it confirmed a leave order, or it restarted. A head that is unreachable or not known any more
 * may still be open, so the members of its group are ordered to leave; without them it cannot serve. Epochs increase
 * with every group, across all leaders, and a join names the number of orders that the engine has started, so the
 * engine refuses a delayed join.
 */
package org.bramleyspur.control.group

/** Computes the next planner state, and the orders and probes to send. */
fun planGroups(state: PlannerState, input: PlannerInput): PlanStep {
    val planning = Planning(state, input)
    planning.recordNewEngines()
    planning.pruneEndedIncarnations()
    planning.probeSuspects()
    planning.adoptGroups()
    planning.advanceGroups()
    input.document.services.values.filter { it.costs != null && it.models.isNotEmpty() }.forEach {
        planning.formGroups(it.withDemand(input.demand[it.name]))
    }
    return PlanStep(planning.state, planning.orders, planning.probes, planning.gaps)
}
