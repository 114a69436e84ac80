package org.bramleyspur.daemon.member

import org.bramleyspur.log.LogStatus
import org.bramleyspur.log.consensus.MembershipChange

/**
 * Promotes admitted learners to voters once they have caught up, while this member leads. The log itself swaps in a
 * learner that replaces another member as soon as it has caught up, so a learner that stays caught up for several
 * checks replaces none.
 */
class LearnerPromotion {
    private var caughtUpChecks: Map<String, Int> = emptyMap()

    /** Called at a fixed interval while this member leads; returns the promotion that is due, or null. */
    fun check(status: LogStatus): MembershipChange.Promote? {
        val caughtUp = status.members.filter { !it.voter && (it.lag ?: Long.MAX_VALUE) <= MAX_LAG_ENTRIES }
        caughtUpChecks = caughtUp.associate { it.id to (caughtUpChecks[it.id] ?: 0) + 1 }
        return caughtUpChecks.entries
            .firstOrNull { it.value >= REQUIRED_CHECKS }
            ?.let { MembershipChange.Promote(it.key) }
    }

    private companion object {
        /** Half of the lag at which the log accepts a promotion, so that the promotion is not refused at once. */
        const val MAX_LAG_ENTRIES = 50L
        const val REQUIRED_CHECKS = 4
    }
}
