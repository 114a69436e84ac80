package org.bramleyspur.traffic.model

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo

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

    /** Guards against a routing that is worse than simple ones. */
    @Test
    fun routing() {
        table("load 50%", 0.5, 0, 0)
        table("load 85%", 0.85, 0, 0)
        table("load 85%, reports 700 ms late", 0.85, 0, 700)
        table("load 70%, 3 of 24 slow x 4", 0.7, 3, 0)
    }

    /** Guards against a large account that takes the small ones' capacity. */
    @Test
    fun isolation() {
        for ((small, others) in listOf(0.05 to 9, 0.25 to 1)) {
            val share = 1.0 / (others + 1)
            val figures = listOf(1, 10).map { factor ->
                val smalls = List(others) { AccountLoad("small-$it", small * LoadModel.CAPACITY_PER_S) }
                val large = AccountLoad("large", factor * share * LoadModel.CAPACITY_PER_S)
                LoadModel(Scenario(Policy.BRAMLEYSPUR, smalls + large, 11)).run()
            }
            val (before, after) = figures.map { it.percentile(0.95) { name -> name != "large" } }
            println("isolation: $others small accounts at $small, large x 1 and x 10: p95 $before and $after ms")
            figures.forEach { f ->
                println(
                    "  refused: small %.2f%%, large %.2f%%".format(
                        100 * f.refusedShare {
                            it != "large"
                        },
                        100 * f.refusedShare { it == "large" },
                    ),
                )
            }
        }
    }

    /** Guards against overload that reduces the work done. */
    @Test
    fun goodput() {
        val figures = listOf(0.9, 1.0, 1.5, 3.0).associateWith {
            LoadModel(Scenario(Policy.BRAMLEYSPUR, accounts(it), 13)).run()
        }
        figures.forEach { (load, f) ->
            println(
                "goodput at load %.1f: %.1f/s, refused %.1f%%, p95 %d ms".format(
                    load,
                    f.completed / 50.0,
                    100 * f.refusedShare(),
                    f.percentile(0.95),
                ),
            )
        }
    }
}
