/*
 * Forms, repairs and releases the groups of engines. A pure function of the announcements, what entries saw and the
 * leader's own earlier orders; runs at each announcement and at short intervals.
 *
 * An engine is given to another group only when it has left its former one, or the head of that group has: its
 * announcement says so, it answered a leave order, or it started anew. A head that nobody reaches may still be open, so
 * the members of its group are ordered to leave; without them it serves nothing. Epochs grow with every formation, over
 * all leaders, and a join names the number of orders that the engine has begun, so an order that is carried out late is
 * refused.
 */
package org.bramleyspur.control.group

/** Decides the next orders. */
fun planGroups(state: PlannerState, input: PlannerInput): PlanStep {
    val planning = Planning(state, input)
    planning.noteEngines()
    planning.forgetOldLives()
    planning.probeDoubtful()
    planning.adoptGroups()
    planning.advanceGroups()
    input.document.services.values.filter { it.costs != null && it.models.isNotEmpty() }.forEach {
        planning.formGroups(it)
    }
    return PlanStep(planning.state, planning.orders, planning.probes)
}
