package org.bramleyspur.traffic.model

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

/** Compares routing policies under the same seeded load and prints the results. */
class LoadModelTest {
    private fun accounts(load: Double, count: Int = 10) =
        List(count) { AccountLoad("account-$it", load * LoadModel.CAPACITY_PER_S / count) }

    private fun table(name: String, load: Double, stragglers: Int, lagMs: Long): Map<Policy, Results> {
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
            val results = LoadModel(
                Scenario(policy, accounts(load), 7, stragglers = stragglers, reportLagMs = lagMs),
            ).run()
            val hitPercent = 100.0 * results.cachedBlocks / results.promptBlocks
            val (p50, p95, p99) = listOf(0.5, 0.95, 0.99).map { results.percentile(it) }
            println(
                "%-28s %-15s %6d %6d %6d %6.1f%% %6.1f MB %7.2f%%".format(
                    "",
                    policy.name.lowercase(),
                    p50,
                    p95,
                    p99,
                    hitPercent,
                    results.remoteBytes / 1e6,
                    100 * results.refusedShare(),
                ),
            )
            results
        }
    }

    private fun percent(value: Double) = "%.2f%%".format(100 * value)

    /** Guards against routing that is worse than simple policies. */
    @Test
    fun routing() {
        val resultsByPolicy = listOf(
            table("load 50%", 0.5, 0, 0),
            table("load 85%", 0.85, 0, 0),
            table("load 85%, reports 700 ms late", 0.85, 0, 700),
            table("load 70%, 3 of 24 slow x 4", 0.7, 3, 0),
        )
        resultsByPolicy.forEach { results ->
            val bramleyspur = results.getValue(Policy.BRAMLEYSPUR)
            val roundRobin = results.getValue(Policy.ROUND_ROBIN)
            expectThat(bramleyspur.percentile(0.5)).isLessThan(roundRobin.percentile(0.5))
            expectThat(bramleyspur.percentile(0.95)).isLessThan(roundRobin.percentile(0.95) * 115 / 100)
            expectThat(bramleyspur.cachedBlocks).isGreaterThan(roundRobin.cachedBlocks * 3 / 2)
            expectThat(bramleyspur.refusedShare()).isLessThan(roundRobin.refusedShare() + 0.01)
        }
    }

    /** Guards against a large account taking the capacity of the only other account. */
    @Test
    fun isolationOfOneAccount() = checkIsolation(small = 0.25, others = 1)

    /** Guards against a large account taking the capacity of many small accounts. */
    @Test
    fun isolationOfManyAccounts() = checkIsolation(small = 0.05, others = 9)

    private fun checkIsolation(small: Double, others: Int) {
        val smallAccounts = List(others) { AccountLoad("small-$it", small * LoadModel.CAPACITY_PER_S) }
        val runs = listOf(1, 10).map { factor ->
            val large = AccountLoad("large", factor * LoadModel.CAPACITY_PER_S / (others + 1))
            listOf(11L, 12L, 13L).map { LoadModel(Scenario(Policy.BRAMLEYSPUR, smallAccounts + large, it)).run() }
        }
        val (before, after) = runs.map { seeds -> seeds.map { it.percentile(0.95) { name -> name != "large" } } }
        println("isolation, $others small accounts at load $small: p95 $before, with the large one x 10 $after ms")
        println("  small refused ${runs[1].map { percent(it.refusedShare { name -> name != "large" }) }}")
        expectThat(after.sum().toDouble() / before.sum()).isLessThan(1.2)
    }

    /** Guards against overload that reduces the number of completed requests. */
    @Test
    fun goodput() {
        val (fullLoad, tripleLoad) = listOf(1.0, 3.0).map { load ->
            val results = LoadModel(Scenario(Policy.BRAMLEYSPUR, accounts(load), 13)).run()
            println("load $load: completed ${results.completed}, refused ${percent(results.refusedShare())}")
            results.completed
        }
        expectThat(tripleLoad).isGreaterThan(fullLoad * 9 / 10)
    }
}
