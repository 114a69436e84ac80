package org.bramleyspur.traffic.load

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

    private fun candidate(id: String, pendingTokens: Long, suspect: Boolean = false) =
        Candidate(id, 0, 8, pendingTokens, 0, 1.0, 0.0, suspect)

    private fun cost(candidate: Candidate) = candidate.pendingPrefillTokens.toDouble()

    /** Shares of 1,000 choices, evenly over the random numbers, by server. */
    private fun shares(candidates: List<Candidate>, unseen: Double): Map<String?, Int> =
        (0 until 1_000).map { chooseByRoom(candidates, it / 1_000.0, size, unseen, ::cost)?.id }
            .groupingBy { it }.eachCount()

    private class Case(val name: String, val pending: List<Long>, val unseen: Double, val shares: List<Int>)

    private val cases = listOf(
        Case("equal servers share evenly", listOf(50, 50), unseen = 4.0, shares = listOf(500, 500)),
        Case("the idle one gets all while it stays below the other", listOf(0, 900), 3.0, listOf(1_000, 0)),
        Case("the water level covers both", listOf(0, 200), unseen = 4.0, shares = listOf(750, 250)),
        Case("a full server gets nothing", listOf(0, 0, 10_000), unseen = 4.0, shares = listOf(500, 500, 0)),
        Case("without others the best one is chosen", listOf(0, 200), unseen = 0.0, shares = listOf(1_000, 0)),
    )

    @TestFactory
    fun `shares by room`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val shares = shares(case.pending.mapIndexed { index, tokens -> candidate("$index", tokens) }, case.unseen)
            expectThat(case.shares.indices.map { shares["$it"] ?: 0 }).isEqualTo(case.shares)
        }
    }

    @Test
    fun `a suspect server is chosen only when there is no other`() {
        val suspect = candidate("s", 0, suspect = true)
        expectThat(shares(listOf(suspect, candidate("a", 900)), 50.0)).isEqualTo(mapOf("a" to 1_000))
        expectThat(chooseByRoom(listOf(suspect), 0.5, size, 1.0, ::cost)?.id).isEqualTo("s")
        expectThat(chooseByRoom(emptyList(), 0.5, size, 1.0, ::cost)).isNull()
    }

    @Test
    fun `spread is the largest number of requests over the mean`() {
        val candidates = listOf(candidate("a", 0).copy(running = 3), candidate("b", 0).copy(running = 1))
        expectThat(spreadOf(candidates)).isEqualTo(1.5)
        expectThat(spreadOf(listOf(candidate("a", 0)))).isNull()
    }
}
