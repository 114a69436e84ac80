package org.bramleyspur.daemon.forward

import org.bramleyspur.core.time.ManualTimers
import org.bramleyspur.core.time.TimerHandle
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

/** Guards against a request that two of its waits wake up, and against one that is woken up after they have ended. */
class RequestWaitTest {
    private val timers = ManualTimers()
    private val woken = ArrayList<AttemptCause>()
    private val wait = RequestWait { woken += it }

    /** Waits that have begun and were not cancelled. */
    private var open = 0

    private fun begin(cause: AttemptCause, delayMs: Long, cancels: Boolean = true) = wait.begin(cause) { over ->
        open++
        val timer = timers.after(delayMs, over)
        TimerHandle {
            open--
            if (cancels) timer.cancel()
        }
    }

    @Test
    fun `a wait that begins ends the one before`() {
        begin(AttemptCause.BACKEND, 20)
        begin(AttemptCause.COLD, 30)
        timers.advance(100)
        expectThat(woken.toList()).isEqualTo(listOf(AttemptCause.COLD))
        expectThat(open).isEqualTo(0)
    }

    @Test
    fun `a wait that has ended wakes nothing up, even if its timer still runs`() {
        begin(AttemptCause.BACKEND, 20, cancels = false)
        wait.end()
        begin(AttemptCause.COLD, 30, cancels = false)
        begin(AttemptCause.COLD, 40, cancels = false)
        timers.advance(35)
        expectThat(woken.toList()).isEqualTo(emptyList())
        timers.advance(100)
        expectThat(woken.toList()).isEqualTo(listOf(AttemptCause.COLD))
    }

    @Test
    fun `any sequence of waits wakes up at most once each and leaves none`() = repeat(SEQUENCES) { seed ->
        val random = Random(seed)
        var begun = 0
        woken.clear()
        repeat(STEPS) {
            when (random.nextInt(4)) {
                0, 1 -> {
                    begin(AttemptCause.entries.random(random), random.nextLong(1, 50), random.nextBoolean())
                    begun++
                }
                2 -> timers.advance(random.nextLong(0, 40))
                else -> wait.end()
            }
            expectThat(open).isLessThanOrEqualTo(1)
            expectThat(woken.size).isLessThanOrEqualTo(begun)
        }
        wait.end()
        val before = woken.size
        timers.advance(100)
        expectThat(woken.size to open).isEqualTo(before to 0)
    }

    private companion object {
        const val SEQUENCES = 200
        const val STEPS = 60
    }
}
