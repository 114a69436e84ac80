package org.bramleyspur.traffic.forward

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue

/** Guards against more second sends in a window, over all entries, than the ratio and the slack allow. */
class SecondSendBudgetTest {
    private fun spend(budget: SecondSendBudget, nowMs: Long): Int {
        var sends = 0
        while (budget.allows(nowMs)) {
            budget.onSecondSend(nowMs)
            sends++
        }
        return sends
    }

    @Test
    fun `four entries together stay below the limit`() {
        val total = (1..4).sumOf {
            val budget = SecondSendBudget(0.2, 196.0, 10_000) { 4 }
            repeat(100) { budget.onRequest(0) }
            spend(budget, 0)
        }
        expectThat(total <= 0.2 * 400 + 196).isTrue()
    }

    @Test
    fun `the window slides`() {
        val budget = SecondSendBudget(0.2, 100.0, 10_000) { 4 }
        val first = spend(budget, 0)
        expectThat(spend(budget, 9_999)).isEqualTo(0)
        expectThat(spend(budget, 10_000)).isEqualTo(first)
    }
}
