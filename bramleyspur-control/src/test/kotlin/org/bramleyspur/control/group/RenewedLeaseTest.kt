package org.bramleyspur.control.group

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isNotEmpty
import java.util.Random

/**
 * Guards against an engine that joins another group while the head of its group serves, because the leader's lease
 * lapsed and was renewed in the same term.
 */
class RenewedLeaseTest {
    // A leader that forgot its state when its lease lapsed issued group epochs of its term again.
    @TestFactory
    fun `no member joins another group while its head serves after the lease was renewed`() = (1L..SEEDS).map { seed ->
        DynamicTest.dynamicTest("seed $seed") {
            val random = Random(seed)
            val simulation = EngineSimulation(Random(seed), ENGINES, faults = true)
            simulation.stageWeights()
            simulation.run(STARTING_MS)
            repeat(LAPSES) {
                simulation.lapseLease(50L + random.nextInt(500))
                simulation.run(1_000L + random.nextInt(2_000))
            }
            expectThat(simulation.violations).isEmpty()
            expectThat(simulation.servingHeads()).isNotEmpty()
        }
    }

    private companion object {
        const val ENGINES = 57
        const val SEEDS = 50L
        const val LAPSES = 7
        const val STARTING_MS = 6_000L
    }
}
