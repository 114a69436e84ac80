package org.bramleyspur.control.member

import org.bramleyspur.log.consensus.MembershipChange

/** Answer to an instance that asks for admission. */
sealed interface Admission {
    /** The instance is a member. */
    data object Member : Admission

    /** The membership has to change first; the instance asks again. */
    data class Change(val change: MembershipChange) : Admission
}
