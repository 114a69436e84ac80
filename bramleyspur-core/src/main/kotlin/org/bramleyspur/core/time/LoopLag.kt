package org.bramleyspur.core.time

/**
 * Measures how late the thread of [timers] runs, by a recurring timer. While a thread is late, messages of others wait
 * unread, so their absence says nothing about their senders. Confined to that thread.
 *
 * @property onLate receives the lag in milliseconds when it exceeds [REPORTED_LAG_MS], at most once a second
 */
class LoopLag(private val timers: TimerService, private val onLate: (lagMs: Long) -> Unit) {
    private var lastTickMs = 0L
    private var lateTicks: List<LateTick> = emptyList()
    private var lastReportMs: Long? = null

    private class LateTick(val atMs: Long, val lagMs: Long)

    /** Starts the measurement. */
    fun start() {
        lastTickMs = timers.nowMs()
        timers.every(TICK_MS) { tick() }
    }

    private fun tick() {
        val nowMs = timers.nowMs()
        val lagMs = (nowMs - lastTickMs - TICK_MS).coerceAtLeast(0)
        lastTickMs = nowMs
        lateTicks = lateTicks.filter { nowMs - it.atMs < WINDOW_MS }
        if (lagMs >= MIN_LAG_MS) lateTicks = lateTicks + LateTick(nowMs, lagMs)
        if (lagMs >= REPORTED_LAG_MS && lastReportMs.let { it == null || nowMs - it >= REPORT_INTERVAL_MS }) {
            lastReportMs = nowMs
            onLate(lagMs)
        }
    }

    /** Total time in milliseconds for which the thread has been late within the last [WINDOW_MS], up to now. */
    fun recentMs(): Long {
        val nowMs = timers.nowMs()
        val overdueMs = (nowMs - lastTickMs - TICK_MS).coerceAtLeast(0)
        return lateTicks.filter { nowMs - it.atMs < WINDOW_MS }.sumOf { it.lagMs } + overdueMs
    }

    companion object {
        /** Period over which the lag is added up; longer than two announcement intervals. */
        const val WINDOW_MS = 3_000L

        /** Lag from which it is reported. */
        const val REPORTED_LAG_MS = 100L
        private const val TICK_MS = 50L
        private const val MIN_LAG_MS = 10L
        private const val REPORT_INTERVAL_MS = 1_000L
    }
}
