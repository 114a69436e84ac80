package org.bramleyspur.traffic.outage

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import java.util.Random

/**
 * Guards against streams that waited for the end of an outage and take the room of those that could be in time, and
 * against a pacing that costs answers without a backlog. Load: callers of one model while entries come to know its
 * heads.
 */
class ReturnPaceTest {
    /**
     * @property outageMs time for which streams wait before the first head is known
     * @property growthMs time in which the others become known
     * @property gain smallest ratio of answers in time with pacing and without
     */
    private class Case(
        val name: String,
        val outageMs: Int,
        val growthMs: Int,
        val perSecond: Int = 250,
        val gain: Double = 0.99,
    )

    private val cases = listOf(
        Case("return from an outage, heads become known over 2 s", outageMs = 1_000, growthMs = 2_000, gain = 1.1),
        Case("return from an outage, all heads known", outageMs = 1_000, growthMs = 0),
        Case("return from an outage under high load", outageMs = 1_000, growthMs = 2_000, perSecond = 320, gain = 1.1),
        Case("return from an outage at low load", outageMs = 1_000, growthMs = 2_000, perSecond = 80),
        Case("return from a short outage", outageMs = 100, growthMs = 0),
    )

    private class Head(val knownAtMs: Int, var prefilledAtMs: Int = 0, var ends: List<Int> = emptyList())

    private class Waiting(val entry: Int, val receivedAtMs: Int, var held: Boolean = false) {
        val stream get() = PacedStream(receivedAtMs.toLong(), TARGET_MS.toLong(), receivedAtMs + 5_000L, held)
    }

    /** Without [paced], each stream is sent or refused by the wait that the entry's own prompts explain. */
    private class Model(private val case: Case, private val paced: Boolean, seed: Long) {
        private val random = Random(seed)
        private val heads = List(HEADS) { Head(if (it < HEADS / 4) 0 else case.growthMs * it / HEADS) }
        private val paces = Array(ENTRIES) { ReturnPace().onReturn(0) }
        private val ownMs = Array(ENTRIES) { IntArray(HEADS) }
        private val ends = ArrayList<Pair<Int, Int>>()
        var inTime = 0
        var heldMs = 0

        fun run(): Model = apply {
            var waiting = emptyList<Waiting>()
            for (now in -case.outageMs until END_MS step TICK_MS) {
                val arrivals = (0 until TICK_MS).count { random.nextInt(1_000) < case.perSecond }
                waiting = waiting + List(arrivals) { Waiting(random.nextInt(ENTRIES), now) }
                ends.filter { it.first <= now }.forEach { (_, entry) -> paces[entry] = paces[entry].onEnded() }
                ends.removeIf { it.first <= now }
                if (now < 0) continue
                val order = releaseOrder(waiting.associateWith { it.stream }, now.toLong())
                waiting = (if (paced) order else waiting).filter { offer(it, now) }
            }
        }

        /** Whether the stream goes on waiting. */
        private fun offer(waiting: Waiting, now: Int): Boolean {
            val known = heads.indices.filter { heads[it].knownAtMs <= now }
            val own = ownMs[waiting.entry]
            val chosen = known.shuffled(random).minBy { own[it] }
            val waitMs = maxOf(0, own[chosen] - now)
            val times = StreamTimes(PROMPT_MS.toDouble(), waitMs.toDouble())
            val pool = KnownPool(known.size, SLOTS, ENTRIES)
            val pace = paces[waiting.entry]
            val decision = if (paced && pace.paces(waiting.stream, now.toLong())) {
                pace.decide(waiting.stream, times, pool, random.nextDouble(), now.toLong())
            } else {
                ReleaseDecision.Send(late = false).takeIf { waitMs <= TARGET_MS * 3 / 2 }
            }
            waiting.held = decision is ReleaseDecision.Hold
            if (decision !is ReleaseDecision.Send) return waiting.held
            own[chosen] = maxOf(now, own[chosen]) + PROMPT_MS
            paces[waiting.entry] = pace.onSent(times, pool, now.toLong())
            ends += now + RESPONSE_MS to waiting.entry
            start(heads[chosen], waiting, now)
            return false
        }

        /** A full head rejects the stream. */
        private fun start(head: Head, waiting: Waiting, now: Int) {
            head.ends = head.ends.filter { it > now }
            heldMs = maxOf(heldMs, now - waiting.receivedAtMs)
            if (head.ends.size >= SLOTS) return
            head.prefilledAtMs = maxOf(now, head.prefilledAtMs) + PROMPT_MS
            head.ends += head.prefilledAtMs + RESPONSE_MS
            if (head.prefilledAtMs - waiting.receivedAtMs <= TARGET_MS) inTime++
        }
    }

    @TestFactory
    fun `return from an outage`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val (before, after) = listOf(false, true).map { paced -> (1L..3L).map { Model(case, paced, it).run() } }
            val (sumBefore, sumAfter) = listOf(before, after).map { models -> models.sumOf { it.inTime } }
            println("%-55s in time without pacing %5d, with %5d".format(case.name, sumBefore, sumAfter))
            expectThat(sumAfter.toDouble() / sumBefore).isGreaterThan(case.gain)
            expectThat(after.maxOf { it.heldMs }).isLessThanOrEqualTo(MAX_HELD_MS)
        }
    }

    private companion object {
        const val ENTRIES = 16
        const val HEADS = 20
        const val SLOTS = 34
        const val TARGET_MS = 200
        const val PROMPT_MS = 13
        const val RESPONSE_MS = 1_500
        const val MAX_HELD_MS = 1_500
        const val TICK_MS = 20
        const val END_MS = 4_000
    }
}
