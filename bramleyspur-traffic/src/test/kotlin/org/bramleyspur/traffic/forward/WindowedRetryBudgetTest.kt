package org.bramleyspur.traffic.forward

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue

/** Guards against more retries of all entries in a window than the ratio and the extra retries allow. */
class WindowedRetryBudgetTest {
    private fun retriesUntilRefused(budget: WindowedRetryBudget, nowMs: Long): Int {
        var count = 0
        while (budget.allows(nowMs)) {
            budget.onRetry(nowMs)
            count++
        }
        return count
    }

    @Test
    fun `four entries together stay below the limit`() {
        val total = (1..4).sumOf {
            val budget = WindowedRetryBudget(0.2, 196.0, 10_000) { 4 }
            repeat(100) { budget.onRequest(0) }
            retriesUntilRefused(budget, 0)
        }
        expectThat(total <= 0.2 * 400 + 196).isTrue()
    }

    @Test
    fun `the window slides`() {
        val budget = WindowedRetryBudget(0.2, 100.0, 10_000) { 4 }
        val first = retriesUntilRefused(budget, 0)
        expectThat(retriesUntilRefused(budget, 9_999)).isEqualTo(0)
        expectThat(retriesUntilRefused(budget, 10_000)).isEqualTo(first)
    }
}
