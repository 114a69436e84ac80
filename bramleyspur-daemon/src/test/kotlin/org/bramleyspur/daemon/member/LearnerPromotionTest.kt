package org.bramleyspur.daemon.member

import org.bramleyspur.log.LogStatus
import org.bramleyspur.log.MemberRole
import org.bramleyspur.log.MemberStatus
import org.bramleyspur.log.consensus.MembershipChange
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty

/** Guards against the promotion of a learner that is behind, and against an admitted member that never gets a vote. */
class LearnerPromotionTest {
    private val promoted = mutableListOf<MembershipChange.Promote>()
    private val promotion = LearnerPromotion()

    private fun check(lag: Long?, times: Int = 1, voter: Boolean = false) = repeat(times) {
        val members = listOf(MemberStatus("c4", "127.0.0.1:4", voter, lag))
        val status = LogStatus("c1", 1, MemberRole.LEADER, null, 9, 9, 9, 0, members)
        promotion.check(status)?.let { promoted += it }
    }

    @Test
    fun `a learner that stays caught up is promoted`() {
        check(lag = 3, times = 3)
        expectThat(promoted).isEmpty()
        check(lag = 3)
        expectThat(promoted).containsExactly(MembershipChange.Promote("c4"))
    }

    @Test
    fun `a learner that falls behind between checks is not promoted`() {
        check(lag = 3, times = 3)
        check(lag = 51)
        check(lag = 3, times = 3)
        expectThat(promoted).isEmpty()
    }

    @Test
    fun `a voter and a learner of unknown lag are not promoted`() {
        check(lag = 0, times = 5, voter = true)
        check(lag = null, times = 5)
        expectThat(promoted).isEmpty()
    }
}
