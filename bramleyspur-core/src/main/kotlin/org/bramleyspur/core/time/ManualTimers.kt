package org.bramleyspur.core.time

/** Timers whose clock is advanced by hand, for tests and simulations; [nowMs] starts at 0. */
class ManualTimers : TimerService {
    private var clockMs = 0L
    private val pending = ArrayList<Timer>()

    private class Timer(val dueMs: Long, val action: () -> Unit)

    override fun nowMs(): Long = clockMs

    override fun after(delayMs: Long, action: () -> Unit): TimerHandle {
        val timer = Timer(clockMs + delayMs, action)
        pending += timer
        return TimerHandle { pending -= timer }
    }

    override fun every(periodMs: Long, action: () -> Unit): TimerHandle {
        var current = TimerHandle { }
        fun schedule() {
            current = after(periodMs) {
                action()
                schedule()
            }
        }
        schedule()
        return TimerHandle { current.cancel() }
    }

    /** Runs the timers that fall due within [durationMs], each at its time. */
    fun advance(durationMs: Long) {
        val endMs = clockMs + durationMs
        while (true) {
            val next = pending.filter { it.dueMs <= endMs }.minByOrNull { it.dueMs } ?: break
            clockMs = maxOf(clockMs, next.dueMs)
            runTimer(next)
        }
        clockMs = maxOf(clockMs, endMs)
    }

    /** Moves the clock without running timers, as if the thread were busy; the timers then run late. */
    fun block(durationMs: Long) {
        clockMs += durationMs
    }

    private fun runTimer(timer: Timer) {
        pending -= timer
        timer.action()
    }
}
