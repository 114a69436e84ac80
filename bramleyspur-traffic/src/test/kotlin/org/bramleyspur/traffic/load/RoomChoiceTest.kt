package org.bramleyspur.traffic.load

import org.bramleyspur.core.document.EngineCosts
import org.bramleyspur.traffic.forward.Candidate
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

/** Guards against choosers with the same view who all send to the server that looks best, or to a full one. */
class RoomChoiceTest {
    private val size = RequestSize(promptTokens = 100, outputTokens = 10)

    /** A request of 100 prompt and 20 output tokens takes 70 ms. */
    private val costs = EngineCosts(
        slots = 8,
        kvCacheTokens = 0,
        stepsPerPass = 1,
        stepMs = 3.0,
        perRequestMs = 0.0,
        perThousandContextMs = 0.0,
        prefillTokensPerMs = 10.0,
        prefillChunkTokens = 1_000,
        loadsPerSecond = 1.0,
        fullSpeedLoads = 1,
        crossDomainFactor = 1.0,
        meanResponseTokens = 20.0,
    )

    private fun candidate(id: String, pendingTokens: Long, suspect: Boolean = false) =
        Candidate(id, 0, 8, pendingTokens, 0, 1.0, 0.0, suspect)

    private fun cost(candidate: Candidate) = candidate.pendingPrefillTokens.toDouble()

    /** Shares of 1,000 choices, evenly over the random numbers, by server. */
    private fun shares(candidates: List<Candidate>, unseen: Double): Map<String?, Int> =
        (0 until 1_000).map { chooseByRoom(candidates, it / 1_000.0, size, unseen, ::cost)?.candidate?.id }
            .groupingBy { it }.eachCount()

    private class Case(val name: String, val pending: List<Long>, val unseen: Double, val shares: List<Int>)

    private val cases = listOf(
        Case("equal servers share evenly", listOf(50, 50), unseen = 8.0, shares = listOf(500, 500)),
        Case("the idle one gets all while it stays below the other", listOf(0, 900), 6.0, listOf(1_000, 0)),
        Case("the water level covers both", listOf(0, 200), unseen = 8.0, shares = listOf(750, 250)),
        Case("a full server gets nothing", listOf(0, 0, 10_000), unseen = 8.0, shares = listOf(500, 500, 0)),
        Case("without others the best one is chosen", listOf(0, 200), unseen = 0.0, shares = listOf(1_000, 0)),
    )

    @TestFactory
    fun `shares by room`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val shares = shares(case.pending.mapIndexed { index, tokens -> candidate("$index", tokens) }, case.unseen)
            expectThat(case.shares.indices.map { shares["$it"] ?: 0 }).isEqualTo(case.shares)
        }
    }

    /** Guards against servers that get nothing while they look full, since their queues have drained unseen. */
    @TestFactory
    fun `work drains while the reports age`() = listOf(
        Triple("no age, no drain", 0.0, 8 to 1_000L),
        Triple("prompts are read, and requests end, at the published rates", 50.0, 3 to 500L),
        Triple("the own work stays", 10_000.0, 2 to 200L),
    ).map { (name, ageMs, left) ->
        DynamicTest.dynamicTest(name) {
            val busy = candidate("a", 1_000).copy(running = 8)
            val drained = busy.drained(ServerLoad(2, 200, 400), RequestSize(100, 20), costs, ageMs)
            expectThat(drained.running to drained.pendingPrefillTokens).isEqualTo(left)
        }
    }

    @Test
    fun `the chosen server is expected to get its share of the unseen requests`() {
        val chosen = chooseByRoom(listOf(candidate("a", 0), candidate("b", 0)), 0.2, size, unseen = 8.0, ::cost)
        expectThat(chosen?.expected?.running).isEqualTo(4)
        expectThat(chosen?.expected?.pendingPrefillTokens).isEqualTo(400)
    }

    @Test
    fun `a suspect server is chosen only when there is no other`() {
        val suspect = candidate("s", 0, suspect = true)
        expectThat(shares(listOf(suspect, candidate("a", 900)), 50.0)).isEqualTo(mapOf("a" to 1_000))
        expectThat(chooseByRoom(listOf(suspect), 0.5, size, 1.0, ::cost)?.candidate?.id).isEqualTo("s")
        expectThat(chooseByRoom(emptyList(), 0.5, size, 1.0, ::cost)).isNull()
    }

    @Test
    fun `spread is the largest number of requests over the mean`() {
        val candidates = listOf(candidate("a", 0).copy(running = 3), candidate("b", 0).copy(running = 1))
        expectThat(spreadOf(candidates)).isEqualTo(1.5)
        expectThat(spreadOf(listOf(candidate("a", 0)))).isNull()
    }
}
