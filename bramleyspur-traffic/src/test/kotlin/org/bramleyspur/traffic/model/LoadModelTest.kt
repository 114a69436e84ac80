package org.bramleyspur.traffic.model

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

/** Compares policies under the same seeded load and prints the tables. */
class LoadModelTest {
    private fun accounts(load: Double, count: Int = 10) =
        List(count) { AccountLoad("account-$it", load * LoadModel.CAPACITY_PER_S / count) }

    private fun table(name: String, load: Double, stragglers: Int, lagMs: Long): Map<Policy, Figures> {
        println(
            "%-28s %-15s %6s %6s %6s %7s %9s %8s".format(
                name,
                "policy",
                "p50",
                "p95",
                "p99",
                "hits",
                "remote",
                "refused",
            ),
        )
        return Policy.entries.associateWith { policy ->
            val figures = LoadModel(
                Scenario(policy, accounts(load), 7, stragglers = stragglers, reportLagMs = lagMs),
            ).run()
            val hits = 100.0 * figures.hits / figures.blocks
            val (p50, p95, p99) = listOf(0.5, 0.95, 0.99).map { figures.percentile(it) }
            println(
                "%-28s %-15s %6d %6d %6d %6.1f%% %6.1f MB %7.2f%%".format(
                    "",
                    policy.name.lowercase(),
                    p50,
                    p95,
                    p99,
                    hits,
                    figures.remoteBytes / 1e6,
                    100 * figures.refusedShare(),
                ),
            )
            figures
        }
    }

    private fun percent(value: Double) = "%.2f%%".format(100 * value)

    /** Guards against a routing that is worse than simple ones. */
    @Test
    fun routing() {
        val tables = listOf(
            table("load 50%", 0.5, 0, 0),
            table("load 85%", 0.85, 0, 0),
            table("load 85%, reports 700 ms late", 0.85, 0, 700),
            table("load 70%, 3 of 24 slow x 4", 0.7, 3, 0),
        )
        tables.forEach { figures ->
            val own = figures.getValue(Policy.BRAMLEYSPUR)
            val simple = figures.getValue(Policy.ROUND_ROBIN)
            expectThat(own.percentile(0.5)).isLessThan(simple.percentile(0.5))
            expectThat(own.percentile(0.95)).isLessThan(simple.percentile(0.95) * 115 / 100)
            expectThat(own.hits).isGreaterThan(simple.hits * 3 / 2)
            expectThat(own.refusedShare()).isLessThan(simple.refusedShare() + 0.01)
        }
    }

    /** Guards against a large account that takes the capacity of the only other one. */
    @Test
    fun isolationOfOneAccount() = checkIsolation(small = 0.25, others = 1)

    /** Guards against a large account that takes the capacity of many small ones. */
    @Test
    fun isolationOfManyAccounts() = checkIsolation(small = 0.05, others = 9)

    private fun checkIsolation(small: Double, others: Int) {
        val smalls = List(others) { AccountLoad("small-$it", small * LoadModel.CAPACITY_PER_S) }
        val runs = listOf(1, 10).map { factor ->
            val large = AccountLoad("large", factor * LoadModel.CAPACITY_PER_S / (others + 1))
            listOf(11L, 12L, 13L).map { LoadModel(Scenario(Policy.BRAMLEYSPUR, smalls + large, it)).run() }
        }
        val (before, after) = runs.map { seeds -> seeds.map { it.percentile(0.95) { name -> name != "large" } } }
        println("isolation, $others small accounts at load $small: p95 $before, with the large one x 10 $after ms")
        println("  small refused ${runs[1].map { percent(it.refusedShare { name -> name != "large" }) }}")
        expectThat(after.sum().toDouble() / before.sum()).isLessThan(1.2)
    }

    /** Guards against overload that reduces the work done. */
    @Test
    fun goodput() {
        val (full, triple) = listOf(1.0, 3.0).map { load ->
            val figures = LoadModel(Scenario(Policy.BRAMLEYSPUR, accounts(load), 13)).run()
            println("load $load: completed ${figures.completed}, refused ${percent(figures.refusedShare())}")
            figures.completed
        }
        expectThat(triple).isGreaterThan(full * 9 / 10)
    }
}
