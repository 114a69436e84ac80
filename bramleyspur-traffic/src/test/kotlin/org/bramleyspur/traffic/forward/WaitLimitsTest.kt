package org.bramleyspur.traffic.forward

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import java.util.Random

/**
 * Guards against a route that is refused while another route of the same model is served, only because that one accepts
 * a longer queueing time. Load: two routes of one model whose groups carry a part of the requests.
 */
class WaitLimitsTest {
    private val pool = ServerPool("s", "m")

    private class Route(val name: String, val targets: RouteTargets, val requestsPerSecond: Int)

    private val short = Route("short", RouteTargets(targetMs = 400, priority = 1), requestsPerSecond = 15)
    private val long = Route("long", RouteTargets(targetMs = 500, priority = 1), requestsPerSecond = 8)

    private fun Random.arrives(route: Route) = nextInt(STEPS_PER_SECOND) < route.requestsPerSecond

    /** Share of the requests of each route that are admitted by servers that carry [servedPerSecond] of all. */
    private fun admittedShares(servedPerSecond: Int, routes: List<Route>): Map<String, Double> {
        val random = Random(1)
        var limits = WaitLimits()
        var queueMs = 0.0
        val arrived = HashMap<String, Int>()
        val admitted = HashMap<String, Int>()
        for (nowMs in 0L until DURATION_MS) {
            queueMs = maxOf(0.0, queueMs - 1)
            for (route in routes.filter { random.arrives(it) }) {
                limits = limits.with(pool, route.name, route.targets, nowMs)
                arrived.merge(route.name, 1, Int::plus)
                if (queueMs > limits.limitMs(pool, route.targets)) continue
                admitted.merge(route.name, 1, Int::plus)
                queueMs += STEPS_PER_SECOND.toDouble() / servedPerSecond
            }
        }
        return arrived.mapValues { (name, count) -> (admitted[name] ?: 0).toDouble() / count }
    }

    private val loads = listOf(20, 15, 10)

    @TestFactory
    fun `saturated servers admit the routes of a model alike`() = loads.map { servedPerSecond ->
        DynamicTest.dynamicTest("$servedPerSecond of 23 requests a second") {
            val shares = admittedShares(servedPerSecond, listOf(short, long))
            expectThat(shares.getValue("short") / shares.getValue("long")).isGreaterThan(MIN_SHARE_RATIO)
        }
    }

    private class Case(val name: String, val others: List<Pair<ServerPool, RouteTargets>>, val limitMs: Double)

    private val cases = listOf(
        Case("no other route", emptyList(), limitMs = 750.0),
        Case("a route with a shorter target", listOf(pool to RouteTargets(400, 1)), limitMs = 600.0),
        Case("a more urgent route with a shorter target", listOf(pool to RouteTargets(400, 0)), limitMs = 600.0),
        Case("a less urgent route with a shorter target", listOf(pool to RouteTargets(400, 2)), limitMs = 750.0),
        Case("a route with a longer target", listOf(pool to RouteTargets(900, 1)), limitMs = 750.0),
        Case("a route of another model", listOf(ServerPool("s", "n") to RouteTargets(100, 1)), limitMs = 750.0),
        Case("a route of another service", listOf(ServerPool("t", "m") to RouteTargets(100, 1)), limitMs = 750.0),
    )

    @TestFactory
    fun `limit of a route beside others`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val limits = case.others.foldIndexed(WaitLimits()) { number, limits, (pool, targets) ->
                limits.with(pool, "r$number", targets, 0)
            }
            expectThat(limits.limitMs(pool, long.targets)).isEqualTo(case.limitMs)
        }
    }

    @TestFactory
    fun `a route without requests limits the others for some seconds`() =
        listOf(9_000L to 600.0, 11_000L to 750.0).map { (laterMs, limitMs) ->
            DynamicTest.dynamicTest("$laterMs ms later") {
                val limits = WaitLimits().with(pool, short.name, short.targets, 0)
                    .with(pool, long.name, long.targets, laterMs)
                expectThat(limits.limitMs(pool, long.targets)).isEqualTo(limitMs)
            }
        }

    private companion object {
        const val STEPS_PER_SECOND = 1_000
        const val DURATION_MS = 600_000L

        /** The routes differ only by chance. */
        const val MIN_SHARE_RATIO = 0.9
    }
}
