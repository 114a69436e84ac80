package org.bramleyspur.core.time

/**
 * A task that many events request. It runs once for all requests that arrive until it starts, after the events that are
 * already queued, and takes at most one part in [SHARE] of the time of its thread, so that events are read in time
 * however long the task takes. Confined to the thread of [timers].
 */
class CoalescedTask(private val timers: TimerService, private val action: () -> Unit) {
    private var pending = false
    private var earliestStartMs = 0L

    /** Runs the action soon, once for all requests until then. */
    fun request() {
        if (pending) return
        pending = true
        timers.after((earliestStartMs - timers.nowMs()).coerceAtLeast(0)) { run() }
    }

    private fun run() {
        pending = false
        val startedMs = timers.nowMs()
        try {
            action()
        } finally {
            val endedMs = timers.nowMs()
            earliestStartMs = endedMs + (endedMs - startedMs + CLOCK_RESOLUTION_MS) * (SHARE - 1)
        }
    }

    private companion object {
        const val SHARE = 4
        const val CLOCK_RESOLUTION_MS = 1L
    }
}
