package org.bramleyspur.control.group

/**
 * The planner state of a term; [term] is null before the first one.
 *
 * The state lasts as long as the term. A leader whose lease lapses and is renewed in the same term must not issue a
 * group epoch again: the members of two groups with one epoch would pass for those of one, and be free as soon as the
 * head of either has left.
 */
data class TermState(val term: Long? = null, val planner: PlannerState = PlannerState()) {
    /** The state with which a plan begins; [leadingTerm] is null while this control instance does not lead. */
    fun beginPlan(leadingTerm: Long?): TermState =
        if (leadingTerm == null || leadingTerm == term) this else TermState(leadingTerm)
}
