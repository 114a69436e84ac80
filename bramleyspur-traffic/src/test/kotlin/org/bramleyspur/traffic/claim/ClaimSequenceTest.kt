package org.bramleyspur.traffic.claim

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import kotlin.random.Random

/** Guards against a second run, an unrecorded answer, a false `not_run` and a missing or doubled ending. */
class ClaimSequenceTest {
    @Property(seed = "4714", tries = 30_000)
    fun keyedCalls(@ForAll seed: Long, @ForAll @IntRange(min = 0, max = 60) loss: Int) {
        val world = ClaimWorld(Random(seed), loss)
        world.run(steps = 200)
        world.check()
    }
}
