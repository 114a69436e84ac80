package org.bramleyspur.daemon.forward

import org.bramleyspur.core.time.TimerHandle
import org.bramleyspur.core.time.TimerService
import java.util.concurrent.CopyOnWriteArrayList

/**
 * Timers of a thread whose clock a test can stop, so that what follows happens at one moment however long it takes.
 * Short timers go on running.
 */
internal class HoldableTimers(private val timers: TimerService) : TimerService by timers {
    private class HeldTimer(val dueMs: Long, val action: () -> Unit)

    private val heldTimers = CopyOnWriteArrayList<HeldTimer>()

    @Volatile
    private var heldMs: Long? = null

    @Volatile
    private var heldFromMs = Long.MAX_VALUE

    /** Stops the clock, and the timers of [fromMs] or more that are set from now on. */
    fun hold(fromMs: Long = Long.MAX_VALUE) {
        heldFromMs = fromMs
        heldMs = timers.nowMs()
    }

    /** Advances the stopped clock, and runs the stopped timers that are due on this thread. */
    fun advance(durationMs: Long) {
        val now = nowMs() + durationMs
        heldMs = now
        val due = heldTimers.filter { it.dueMs <= now }.sortedBy { it.dueMs }
        heldTimers.removeAll(due)
        due.forEach { it.action() }
    }

    override fun nowMs(): Long = heldMs ?: timers.nowMs()

    override fun after(delayMs: Long, action: () -> Unit): TimerHandle {
        if (delayMs < heldFromMs) return timers.after(delayMs, action)
        val timer = HeldTimer(nowMs() + delayMs, action)
        heldTimers += timer
        return TimerHandle { heldTimers -= timer }
    }
}
