package org.bramleyspur.traffic.stream

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import kotlin.random.Random

/**
 * Guards against wrong text, a second begin, a false `not_run` and a missing or doubled ending under late, doubled,
 * reordered and lost messages.
 */
class RequestSequenceTest {
    @Property(seed = "4711", tries = 20_000)
    fun generation(@ForAll seed: Long, @ForAll @IntRange(min = 0, max = 60) loss: Int) =
        play(RequestFacts(RequestKind.GENERATION, idempotent = true, streaming = seed % 2 == 0L), seed, loss)

    @Property(seed = "4712", tries = 20_000)
    fun nonIdempotentGeneration(@ForAll seed: Long, @ForAll @IntRange(min = 0, max = 60) loss: Int) =
        play(RequestFacts(RequestKind.GENERATION, idempotent = false, streaming = seed % 2 == 0L), seed, loss)

    @Property(seed = "4713", tries = 20_000)
    fun nonIdempotentCall(@ForAll seed: Long, @ForAll @IntRange(min = 0, max = 60) loss: Int) =
        play(RequestFacts(RequestKind.CALL, idempotent = false, finishWithoutCaller = seed % 3 == 0L), seed, loss)

    private fun play(facts: RequestFacts, seed: Long, loss: Int) {
        val world = RequestWorld(facts, Random(seed), loss)
        world.run(steps = 150)
        world.check()
    }
}
