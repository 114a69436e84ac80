package org.bramleyspur.traffic.forward

import org.bramleyspur.core.document.EngineCosts
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

/** Guards against requests to a full, distant, slow or unresponsive backend server while a better one is available. */
class BackendChoiceTest {
    private val costs = EngineCosts(
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
    private val idle = Candidate("a", 0, 34, 0, 0, 1.0, 0.0, suspect = false)

    private val cases = listOf(
        "fewer running requests" to listOf(idle, idle.copy(id = "b", running = 30)),
        "fewer tokens to prefill" to listOf(idle, idle.copy(id = "b", pendingPrefillTokens = 20_000)),
        "nearer" to listOf(idle, idle.copy(id = "b", roundTripMs = 10.0)),
        "faster" to listOf(idle, idle.copy(id = "b", timeFactor = 2.0)),
        "not suspect" to listOf(idle.copy(running = 33), idle.copy(id = "b", suspect = true)),
    )

    /** Guards against an engine whose requests exceed its memory. */
    @TestFactory
    fun `a request that the free memory cannot hold`() = listOf(
        Triple(0L, 1_000_000L, true),
        Triple(0L, 1_000_001L, false),
        Triple(999_000L, 1_000L, true),
        Triple(999_001L, 1_000L, false),
    ).map { (context, tokens, fits) ->
        DynamicTest.dynamicTest("$tokens tokens beside $context") {
            expectThat(fitsMemory(idle.copy(contextTokens = context), tokens, costs)).isEqualTo(fits)
        }
    }

    @TestFactory
    fun `better candidate`() = cases.map { (name, candidates) ->
        DynamicTest.dynamicTest(name) {
            val chosen = chooseBackend(candidates.reversed(), 0.99) { generationCost(it, 1_000, 90, costs) }
            expectThat(chosen?.id).isEqualTo("a")
        }
    }

    /** Guards against requests queued behind a full batch for much longer than predicted. */
    @Test
    fun `a full batch frees its slots one by one over the time of a response`() {
        val stepMs = stepMs(idle.copy(running = 34), costs)
        val full = firstEventMs(idle.copy(running = 34), 0, costs)
        val queued = firstEventMs(idle.copy(running = 44), 0, costs)
        expectThat(queued - full).isEqualTo(10 * 85.0 / 34 * stepMs, 1.0)
    }

    @Test
    fun `equal candidates share the requests`() {
        val candidates = listOf(idle, idle.copy(id = "b"))
        val chosen = listOf(0.1, 0.9).map { fraction -> chooseBackend(candidates, fraction) { 1.0 }?.id }
        expectThat(chosen).isEqualTo(listOf("a", "b"))
    }

    /** Guards against requests that are refused with an internal error since no candidate counts as the best one. */
    @TestFactory
    fun `the best candidate is chosen whatever its cost`() = listOf(-500.0, -21.0, -1.0, 0.0, 40.0).map { bestMs ->
        DynamicTest.dynamicTest("$bestMs ms") {
            val candidates = listOf(idle, idle.copy(id = "b"))
            val chosen = chooseBackend(candidates, 0.99) { if (it.id == "a") bestMs else bestMs + 100 }
            expectThat(chosen?.id).isEqualTo("a")
        }
    }

    @Test
    fun `no candidate`() {
        expectThat(chooseBackend(emptyList(), 0.5) { 1.0 }).isNull()
    }
}
