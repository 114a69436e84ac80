package org.bramleyspur.traffic.model.forward

import org.bramleyspur.core.document.EngineCosts
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

/** Guards against a model that loses requests or whose results depend on more than the seed. */
class ForwardModelTest {
    @Test
    fun `each try ends once, and a seed repeats its results`() {
        val plays = listOf(1L, 1L, 2L).map { ForwardModel(scenario(ratePerS = 300.0), presentRules, it).play() }
        plays.forEach {
            val total = it.total
            val ends = total.inTime + total.late + total.refusedOnce + total.refusedAgain
            expectThat(ends).isEqualTo(total.asked + total.returned)
        }
        fun counts(results: Results) = with(results.total) { listOf(asked, inTime, late, refusedOnce, refusedAgain) }
        expectThat(counts(plays[0])).isEqualTo(counts(plays[1]))
    }

    @Test
    fun `little load is served in time`() {
        val total = ForwardModel(scenario(ratePerS = 40.0), presentRules, 1).play().total
        expectThat(total.inTime.toDouble() / total.asked).isGreaterThan(0.98)
    }
}

internal val MODEL_COSTS = EngineCosts(
    slots = 34,
    kvCacheTokens = 1_000_000,
    stepsPerPass = 3,
    stepMs = 6.0,
    perRequestMs = 0.34,
    perThousandContextMs = 0.007,
    prefillTokensPerMs = 46.0,
    prefillChunkTokens = 2_048,
    loadsPerSecond = 3.0,
    fullSpeedLoads = 6,
    crossDomainFactor = 2.5,
    meanResponseTokens = 85.0,
)

/** Two classes on eight engines and sixteen entries, at [ratePerS] arrivals; "small0" is the account of a hot key. */
internal fun scenario(
    ratePerS: Double,
    name: String = "steady",
    entryShares: List<Double> = List(16) { 1.0 },
    headFactors: List<Double> = List(8) { 1.0 },
    bursts: List<Burst> = emptyList(),
    controlSilent: List<ClosedFloatingPointRange<Double>> = emptyList(),
) = Scenario(
    name,
    MODEL_COSTS,
    listOf(
        RequestClass("urgent", 0.7, targetMs = 300, priority = 0, promptTokens = 900, outputTokens = 70, ACCOUNTS),
        RequestClass("long", 0.3, targetMs = 500, priority = 1, promptTokens = 2_400, outputTokens = 120, ACCOUNTS),
    ),
    entryShares,
    headFactors,
    ratePerS,
    bursts = bursts,
    controlSilent = controlSilent,
)

private val ACCOUNTS = mapOf("large" to 4.0) + (0 until 8).associate { "small$it" to 0.75 }
