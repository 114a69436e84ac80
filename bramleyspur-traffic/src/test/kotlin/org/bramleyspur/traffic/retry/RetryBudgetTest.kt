package org.bramleyspur.traffic.retry

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue

class RetryBudgetTest {
    /** Guards against a retry storm when every request to an overloaded service is retried three times. */
    @Test
    fun `allows a tenth of the requests and the reserve`() {
        val budget = RetryBudget(reserve = 10)
        val retries = (1..1000).sumOf { _ ->
            budget.onRequest()
            (1..3).count { budget.tryTake() }
        }
        expectThat(retries).isEqualTo(109)
    }

    /** Guards against one account, or many refusals, using up the retries of other accounts or of failed attempts. */
    @Test
    fun `separates accounts and causes`() {
        val budgets = RetryBudgets(refusedReserve = 1, failedReserve = 1)
        expectThat(List(2) { budgets.tryTake(RetryCause.REFUSED, "large") }).isEqualTo(listOf(true, false))
        expectThat(budgets.tryTake(RetryCause.REFUSED, "small")).isTrue()
        expectThat(budgets.tryTake(RetryCause.FAILED, "large")).isTrue()
        expectThat(budgets.tryTake(null, "large")).isTrue()
    }
}
