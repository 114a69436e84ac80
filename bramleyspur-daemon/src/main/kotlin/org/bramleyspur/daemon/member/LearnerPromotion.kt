package org.bramleyspur.daemon.member

import org.bramleyspur.log.LogStatus
import org.bramleyspur.log.consensus.MembershipChange

/**
 * Gives a vote to each admitted member that has caught up, while this member leads. The log itself exchanges a member
 * that replaces another one as soon as it has caught up, so a learner that stays caught up for several checks has none
 * to replace.
 */
class LearnerPromotion {
    private var caughtUpChecks: Map<String, Int> = emptyMap()

    /** Looks at the members once; called in equal intervals while this member leads. Returns the change that is due. */
    fun check(status: LogStatus): MembershipChange.Promote? {
        val near = status.members.filter { !it.voter && (it.lag ?: Long.MAX_VALUE) <= CAUGHT_UP_ENTRIES }
        caughtUpChecks = near.associate { it.id to (caughtUpChecks[it.id] ?: 0) + 1 }
        return caughtUpChecks.entries.firstOrNull { it.value >= CHECKS }?.let { MembershipChange.Promote(it.key) }
    }

    private companion object {
        /** Half of the lag at which the log accepts a promotion, so that the promotion is not refused at once. */
        const val CAUGHT_UP_ENTRIES = 50L
        const val CHECKS = 4
    }
}
