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

    private val size = RequestSize(promptTokens = 100, outputTokens = 20)

    private fun server(pendingTokens: Long, running: Int, suspect: Boolean = false, own: ServerLoad = ServerLoad()) =
        SharedServer(Candidate("$running of $pendingTokens", running, 8, pendingTokens, 0, 1.0, 0.0, suspect), own)

    private fun cost(candidate: Candidate) = candidate.pendingPrefillTokens / costs.prefillTokensPerMs

    private class Case(val name: String, val servers: List<SharedServer>, val ageMs: Double, val shares: List<Int>)

    private val cases = listOf(
        Case("equal servers share evenly", listOf(server(500, 8), server(500, 8)), ageMs = 50.0, listOf(500, 500)),
        Case("without age the best one is chosen", listOf(server(0, 2), server(200, 2)), ageMs = 0.0, listOf(1_000, 0)),
        Case("one with a long queue gets nothing", listOf(server(9_000, 8), server(0, 8)), 50.0, listOf(0, 1_000)),
        Case(
            "queues that are gone count by what is left",
            listOf(server(300, 8), server(0, 8)),
            350.0,
            listOf(478, 522),
        ),
        Case(
            "a suspect server is chosen only when there is no other",
            listOf(server(0, 8, suspect = true), server(900, 8)),
            ageMs = 50.0,
            listOf(0, 1_000),
        ),
        Case("a suspect server alone", listOf(server(0, 8, suspect = true)), ageMs = 50.0, listOf(1_000)),
        Case("no server", emptyList(), ageMs = 50.0, emptyList()),
    )

    @TestFactory
    fun `shares by room`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val unseen = UnseenTime(case.ageMs, size, costs)
            val chosen = (0 until 1_000).mapNotNull { chooseByRoom(case.servers, it / 1_000.0, unseen, ::cost)?.server }
            val shares = case.servers.map { server -> chosen.count { it === server } }
            expectThat(shares).isEqualTo(case.shares)
        }
    }

    private class AgedCase(
        val name: String,
        val server: SharedServer,
        val ageMs: Double,
        val arrivals: Double,
        val running: Int,
        val pendingTokens: Long,
        val idleMs: Double,
    )

    private val full = server(1_000, 8)
    private val owned = server(1_000, 8, own = ServerLoad(2, 200, 400))

    private val agedCases = listOf(
        AgedCase("no time, no change", full, 0.0, arrivals = 0.0, running = 8, pendingTokens = 1_000, idleMs = 0.0),
        AgedCase("prompts are read, requests end", full, 50.0, 0.0, running = 6, pendingTokens = 500, idleMs = 0.0),
        AgedCase("most prompts that came are read", full, 150.0, 4.0, running = 5, pendingTokens = 39, idleMs = 10.0),
        AgedCase(
            "what came beyond the rate queues up",
            full,
            50.0,
            8.0,
            running = 14,
            pendingTokens = 1_299,
            idleMs = 0.0,
        ),
        AgedCase("the own work stays", owned, 10_000.0, 0.0, running = 2, pendingTokens = 200, idleMs = 9_900.0),
    )

    /** Guards against servers that get nothing while they look full, since their queues have drained unseen. */
    @TestFactory
    fun `what a server has to do some time after its report`() = agedCases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val unseen = UnseenTime(case.ageMs, size, costs)
            val now = unseen.now(case.server, case.arrivals)
            expectThat(now.running to now.pendingPrefillTokens).isEqualTo(case.running to case.pendingTokens)
            expectThat(unseen.idleMs(case.server, case.arrivals)).isEqualTo(case.idleMs)
        }
    }

    /** Guards against predictions without what other entries sent since the reports. */
    @Test
    fun `the chosen server is expected to have its share of the unseen requests`() {
        val unseen = UnseenTime(50.0, size, costs)
        val chosen = chooseByRoom(listOf(full, owned), 0.2, unseen, ::cost)
        val arrivals = unseen.arrivals(listOf(full, owned)) / 2
        expectThat(chosen?.expected).isEqualTo(unseen.now(full, arrivals))
    }

    /** Guards against short requests that take all others for short ones, and so expect thousands of them. */
    @Test
    fun `what others take follows from the requests at the servers`() {
        val size = meanSize(listOf(ServerLoad(inFlight = 3, contextTokens = 900), ServerLoad()), costs)
        expectThat(size?.promptTokens to size?.outputTokens).isEqualTo(300L to 20L)
        expectThat(meanSize(listOf(ServerLoad()), costs)).isNull()
    }

    @Test
    fun `spread is the largest number of requests over the mean`() {
        expectThat(spreadOf(listOf(server(0, 3).reported, server(0, 1).reported))).isEqualTo(1.5)
        expectThat(spreadOf(listOf(server(0, 0).reported))).isNull()
    }
}
