package org.bramleyspur.control.group

import org.bramleyspur.core.document.ModelSpec
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo

/**
 * Guards against a model whose groups all lie in one fabric domain, and against domains in which whole groups' worth of
 * engines wait as spares, under a load of two models of which one domain goes dark.
 */
class DomainUseTest {
    /**
     * @property idle largest number of engines of a domain in no group
     * @property leftAfterLoss least share of a model's groups that remains when a domain goes dark
     */
    private class Case(
        val name: String,
        val domains: Int,
        val domainSize: Int,
        val large: ModelSpec,
        val small: ModelSpec,
        val idle: Int,
        val leftAfterLoss: Double,
    )

    private fun large(size: Int, share: Double) = ModelSpec("large", size, share, 1.0, 16_000, 1_600)

    private fun small(size: Int, share: Double) = ModelSpec("small", size, share, 0.6, 12_000, 1_100)

    private val cases = listOf(
        Case("three domains of 8", 3, 8, large(4, 0.67), small(2, 0.33), idle = 2, leftAfterLoss = 0.66),
        Case("three domains of 11", 3, 11, large(6, 0.67), small(3, 0.33), idle = 2, leftAfterLoss = 0.66),
        Case("three domains of 27", 3, 27, large(12, 0.5), small(6, 0.5), idle = 3, leftAfterLoss = 0.6),
        Case("four domains of 19", 4, 19, large(8, 0.5), small(4, 0.5), idle = 3, leftAfterLoss = 0.6),
        Case("ten domains of 37", 10, 37, large(16, 0.5), small(8, 0.5), idle = 5, leftAfterLoss = 0.8),
    )

    @TestFactory
    fun `every domain is in use, and the loss of one leaves most groups of each model`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val models = listOf(case.large, case.small)
            val wanted = wantedGroups((1..case.domains).associate { "d$it" to DomainEngines(case.domainSize) }, models)
            for ((_, groups) in wanted) {
                val used = models.sumOf { it.groupSize * (groups[it.name] ?: 0) }
                expectThat(case.domainSize - used).isLessThanOrEqualTo(case.idle)
                expectThat(case.domainSize - used).isGreaterThanOrEqualTo(1)
            }
            for (model in models) {
                val counts = wanted.values.map { it[model.name] ?: 0 }
                expectThat((counts.sum() - counts.max()) / counts.sum().toDouble())
                    .isGreaterThanOrEqualTo(case.leftAfterLoss)
            }
        }
    }

    @TestFactory
    fun `targets do not depend on the order of domains`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val models = listOf(case.large, case.small)
            val domains = (1..case.domains).map { "d$it" to DomainEngines(case.domainSize) }
            expectThat(
                wantedGroups(domains.reversed().toMap(), models),
            ).isEqualTo(wantedGroups(domains.toMap(), models))
        }
    }
}
