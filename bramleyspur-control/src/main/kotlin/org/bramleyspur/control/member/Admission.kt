package org.bramleyspur.control.member

import org.bramleyspur.log.consensus.MembershipChange

/** Decision on an instance that requests admission to the control log. */
sealed interface Admission {
    /** The instance is already a member. */
    data object Member : Admission

    /** The membership has to change first; the instance repeats its request afterwards. */
    data class Change(val change: MembershipChange) : Admission
}
