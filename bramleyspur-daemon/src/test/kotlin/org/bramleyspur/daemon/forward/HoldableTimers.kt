package org.bramleyspur.daemon.forward

import org.bramleyspur.core.time.TimerService

/**
 * Timers of a thread whose clock a test can stop, so that what follows happens at one moment however long it takes.
 * The timers go on running.
 */
internal class HoldableTimers(private val timers: TimerService) : TimerService by timers {
    @Volatile
    private var heldMs: Long? = null

    /** Stops the clock. */
    fun hold() {
        heldMs = timers.nowMs()
    }

    override fun nowMs(): Long = heldMs ?: timers.nowMs()
}
