package org.bramleyspur.traffic.stream

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import kotlin.random.Random

/**
 * Guards against wrong text, a second begin, a false `not_run` and a missing or duplicate ending when messages are
 * late, duplicated, reordered or lost.
 */
class RequestSequenceTest {
    @Property(seed = "4711", tries = 20_000)
    fun generation(@ForAll seed: Long, @ForAll @IntRange(min = 0, max = 60) lossPercent: Int) =
        simulate(RequestFacts(RequestKind.GENERATION, idempotent = true, streaming = seed % 2 == 0L), seed, lossPercent)

    @Property(seed = "4712", tries = 20_000)
    fun nonIdempotentGeneration(@ForAll seed: Long, @ForAll @IntRange(min = 0, max = 60) lossPercent: Int) = simulate(
        RequestFacts(RequestKind.GENERATION, idempotent = false, streaming = seed % 2 == 0L),
        seed,
        lossPercent,
    )

    @Property(seed = "4713", tries = 20_000)
    fun nonIdempotentCall(@ForAll seed: Long, @ForAll @IntRange(min = 0, max = 60) lossPercent: Int) = simulate(
        RequestFacts(RequestKind.CALL, idempotent = false, finishWithoutCaller = seed % 3 == 0L),
        seed,
        lossPercent,
    )

    private fun simulate(facts: RequestFacts, seed: Long, lossPercent: Int) {
        val simulation = RequestSimulation(facts, Random(seed), lossPercent)
        simulation.run(steps = 150)
        simulation.check()
    }
}
