package org.bramleyspur.traffic.claim

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import kotlin.random.Random

/** Guards against a second run, an unrecorded response, a false `not_run` and a missing or duplicate ending. */
class ClaimSequenceTest {
    @Property(seed = "4714", tries = 30_000)
    fun keyedCalls(@ForAll seed: Long, @ForAll @IntRange(min = 0, max = 60) lossPercent: Int) {
        val simulation = ClaimSimulation(Random(seed), lossPercent)
        simulation.run(steps = 200)
        simulation.check()
    }
}
