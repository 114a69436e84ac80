package org.bramleyspur.traffic.model.forward

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

/** Guards against entries that overrun servers in turn since each knows only its own requests, by load pattern. */
class SharedLoadModelTest {
    private val patterns = listOf(
        scenario(ratePerS = 90.0),
        scenario(ratePerS = 110.0, name = "simultaneous choosers"),
        scenario(ratePerS = 110.0, name = "uneven entries", entryShares = List(16) { if (it < 3) 4.0 else 0.5 }),
        scenario(ratePerS = 80.0, name = "burst 1.5", bursts = listOf(Burst(5_000.0, 12_000.0, 1.5))),
        scenario(ratePerS = 80.0, name = "burst 3", bursts = listOf(Burst(5_000.0, 12_000.0, 3.0))),
        scenario(ratePerS = 80.0, name = "hot key", bursts = listOf(Burst(5_000.0, 12_000.0, 6.0, "small0"))),
        scenario(ratePerS = 100.0, name = "slow server", headFactors = List(8) { if (it == 7) 2.5 else 1.0 }),
        scenario(ratePerS = 110.0, name = "control out of reach", controlSilent = listOf(5_000.0..20_000.0)),
    )
    private val rules = listOf(
        presentRules,
        Rules("shared, best", ::sharedView, earliest) { waitLimitAdmission() },
        Rules("shared, best of two", ::sharedView, bestOfTwo) { waitLimitAdmission() },
        sharedRules,
    )

    private fun play(scenario: Scenario, rules: Rules) = SEEDS.map { ForwardModel(scenario, rules, it).play() }

    private fun List<Results>.sum(count: (Counts) -> Int) = sumOf { count(it.total) }

    /** Prints the table of docs/measurements.md. */
    @Test
    fun `more is served in time under pressure, and no less without`() {
        patterns.forEach { pattern ->
            val plays = rules.map { play(pattern, it) }
            rules.zip(plays) { rule, results -> println(row(pattern, rule, results)) }
            val before = plays.first().sum { it.inTime }.toDouble()
            val after = plays.last().sum { it.inTime }.toDouble()
            val pressure = pattern.name == "simultaneous choosers" || pattern.name.startsWith("burst")
            expectThat(after / before).describedAs(pattern.name).isGreaterThan(if (pressure) 1.05 else 0.99)
        }
    }

    private fun row(pattern: Scenario, rule: Rules, results: List<Results>): String = listOf(
        pattern.name,
        rule.name,
        results.sum { it.asked },
        results.sum { it.inTime },
        results.sum { it.late },
        results.sum { it.refusedOnce },
        results.sum { it.refusedAgain },
        results.sumOf { it.rejected },
        "%.2f".format(results.map { it.spreadInFlight }.average()),
        "%.2f".format(results.map { it.spreadBacklog }.average()),
        "%.3f".format(results.map { it.jain }.average()),
    ).joinToString(" | ", "| ", " |")

    /** Guards against engines that reject requests as full in a burst while others have room. */
    @TestFactory
    fun `engines reject fewer requests in a burst`() = patterns.filter { it.name == "burst 3" }.map { pattern ->
        DynamicTest.dynamicTest(pattern.name) {
            val before = play(pattern, presentRules).sumOf { it.rejected }
            expectThat(play(pattern, sharedRules).sumOf { it.rejected } * 10).isLessThan(before)
        }
    }

    private companion object {
        val SEEDS = 1L..5L
    }
}
