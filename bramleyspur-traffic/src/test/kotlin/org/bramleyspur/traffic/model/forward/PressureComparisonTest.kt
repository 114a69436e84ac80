package org.bramleyspur.traffic.model.forward

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import java.io.File
import java.util.Locale

/**
 * Guards against a rule of admission by which, in a load pattern, fewer requests are in time than by the present one,
 * more callers are refused again, or a class or an account starves. The table is written to the build directory.
 */
class PressureComparisonTest {
    private val accounts = (1..24).associate { "account-$it" to if (it <= 3) 5.0 else 0.5 }

    private fun pattern(
        name: String,
        burst: Double,
        account: String? = null,
        entryShares: List<Double> = List(16) { 1.0 },
        earlyShare: Double = 0.0,
        silentHeads: Map<Int, ClosedFloatingPointRange<Double>> = emptyMap(),
    ) = Scenario(
        name,
        MODEL_COSTS,
        listOf(
            RequestClass("urgent", 0.7, targetMs = 300, priority = 0, promptTokens = 900, outputTokens = 70, accounts),
            RequestClass("long", 0.3, targetMs = 500, priority = 1, promptTokens = 2_400, outputTokens = 120, accounts),
        ),
        entryShares,
        headFactors = List(8) { 1.0 },
        ratePerS = ROOM_PER_S,
        bursts = listOf(
            Burst(0.0, 4_000.0, CALM_SHARE),
            Burst(4_000.0, 12_000.0, burst, account),
            Burst(12_000.0, 20_000.0, CALM_SHARE),
        ),
        silentHeads = silentHeads,
        ordersByUrgency = true,
        countsFromFirstTry = true,
        returnDelayMs = { ms, random -> if (random.nextDouble() < earlyShare) EARLY_RETURN_MS else ms },
    )

    private val patterns = listOf(
        pattern("1.3 times the room", 1.3),
        pattern("2 times the room", 2.0),
        pattern("3 times the room", 3.0),
        pattern("hot account", 8.0, "account-1"),
        pattern("uneven entries", 2.0, entryShares = List(16) { if (it < 4) 4.0 else 0.5 }),
        pattern("early returns", 2.0, earlyShare = 0.3),
    )

    private val outage = 6_000.0..7_500.0

    @TestFactory
    fun `more requests are in time, and none starve`(): List<DynamicTest> {
        val file = File("target/pressure-comparison.md").apply { writeText(HEADER) }
        val compared = listOf({ presentRules }, { firstComeRules }, { pressureRules() })
        val comparedShared = listOf(
            { sharedRules },
            { Rules("first come", ::sharedView, byRoom) { firstComeAdmission() } },
            { pressureRules(shared = true) },
        )
        val returning = pattern("return from an outage", CALM_SHARE)
        return listOf("own view" to compared, "shared view" to comparedShared).flatMap { (view, rulesOfView) ->
            (patterns + returning).map { scenario ->
                DynamicTest.dynamicTest("${scenario.name}, $view") {
                    val (present, firstCome, pressed) = rulesOfView.map { rules ->
                        val plays = SEEDS.map { seed ->
                            val rule = if (scenario === returning) duringOutage(outage, rules()) else rules()
                            ForwardModel(scenario, rule, seed).play()
                        }
                        plays.also { file.appendText(row(scenario, view, rules(), it)) }
                    }
                    check(present, firstCome, pressed)
                }
            }
        }
    }

    /** Guards against first events that are late since servers are silent, and are taken for a queue. */
    @Test
    fun `servers that are silent in turn do not limit what is sent`() {
        val silent = (0..7).associateWith { index ->
            val fromMs = 4_000.0 + index / 3 * 2_000
            fromMs..fromMs + 1_500
        }
        val scenario = pattern("silent servers", CALM_SHARE + 0.1, silentHeads = silent)
        val (present, pressed) = listOf({ sharedRules }, { pressureRules(shared = true) }).map { rules ->
            SEEDS.map { ForwardModel(scenario, rules(), it).play().total }
        }
        expectThat(pressed.sumOf { it.inTime }).isGreaterThan(present.sumOf { it.inTime } * 99 / 100)
        expectThat(pressed.sumOf { it.refusedOnce }).isLessThan(pressed.sumOf { it.asked } / 20)
    }

    private fun check(present: List<Results>, firstCome: List<Results>, pressed: List<Results>) {
        fun sum(plays: List<Results>, count: Counts.() -> Int) = plays.sumOf { it.total.count() }
        expectThat(sum(pressed) { inTime }).isGreaterThan(sum(present) { inTime })
        expectThat(sum(pressed) { inTime }).isGreaterThan(sum(firstCome) { inTime })
        val servedShare = sum(pressed) { inTime + late }.toDouble() / sum(pressed) { asked }
        pressed.forEach { play ->
            (play.byClass.values + play.byAccount.values).filter { it.asked >= MIN_ASKED }.forEach {
                expectThat((it.inTime + it.late).toDouble() / it.asked).isGreaterThan(servedShare / 2)
            }
        }
    }

    private fun row(scenario: Scenario, view: String, rules: Rules, plays: List<Results>): String {
        fun share(counts: (Results) -> List<Counts>, count: Counts.() -> Int): String {
            val all = plays.flatMap(counts)
            return "%.3f".format(Locale.ROOT, all.sumOf { it.count() }.toDouble() / maxOf(1, all.sumOf { it.asked }))
        }
        fun total(count: Counts.() -> Int) = share({ listOf(it.total) }, count)
        val large = { play: Results -> play.byAccount.filterKeys { it in LARGE }.values.toList() }
        val small = { play: Results -> play.byAccount.filterKeys { it !in LARGE }.values.toList() }
        val cells = listOf(
            scenario.name,
            view,
            rules.name,
            total { inTime },
            total { late },
            total { refusedOnce },
            total { refusedAgain },
            share({ listOfNotNull(it.byClass["urgent"]) }) { inTime },
            share({ listOfNotNull(it.byClass["long"]) }) { inTime },
            share({ listOfNotNull(it.byClass["long"]) }) { inTime + late },
            share(large) { inTime },
            share(small) { inTime },
            "%.3f".format(Locale.ROOT, plays.map { it.jain }.average()),
            "%.2f".format(Locale.ROOT, plays.map { it.spreadBacklog }.average()),
        )
        return cells.joinToString(" | ", "| ", " |\n")
    }

    private companion object {
        /** Requests per second at which the engines of the patterns are just busy. */
        const val ROOM_PER_S = 110.0
        const val CALM_SHARE = 0.7
        const val EARLY_RETURN_MS = 20.0
        const val MIN_ASKED = 30
        val SEEDS = listOf(1L, 2L, 3L)
        val LARGE = setOf("account-1", "account-2", "account-3")
        const val HEADER =
            "| pattern | view | rule | in time | late | refused once | refused again | urgent in time | " +
                "long in time | long served | large accounts in time | small accounts in time | Jain | " +
                "backlog spread |\n" +
                "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n"
    }
}
