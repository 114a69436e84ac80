package org.bramleyspur.daemon.entry

/**
 * Estimates the transit delay of attempts. The smallest observed difference between the local receive time and an
 * entry's send time is taken as the clock offset without delay; any excess is delay, for instance in the socket buffer
 * of a frozen process.
 */
class TransitDelayEstimator {
    /** The smallest observed clock difference [differenceMs], at local time [observedAtMs]. */
    private class Baseline(val differenceMs: Long, val observedAtMs: Long)

    private val baselines = object : LinkedHashMap<String, Baseline>() {
        override fun removeEldestEntry(eldest: Map.Entry<String, Baseline>) = size > MAX_ENTRIES
    }

    /** Delay in milliseconds of a message sent by [entry] at [sentAtMs] of its own clock and received at [nowMs]. */
    fun delayMs(entry: String, sentAtMs: Long, nowMs: Long): Long {
        val differenceMs = nowMs - sentAtMs
        val baseline = baselines[entry]
        val undelayedMs =
            baseline?.let { it.differenceMs + (nowMs - it.observedAtMs) / ELAPSED_MS_PER_DRIFT_MS } ?: differenceMs
        if (baseline == null || differenceMs <= undelayedMs) baselines[entry] = Baseline(differenceMs, nowMs)
        return (differenceMs - undelayedMs).coerceAtLeast(0)
    }

    companion object {
        /**
         * Time in which two clocks may drift apart by one millisecond (200 ppm). Without this allowance, drift would
         * accumulate over days until every attempt counted as late.
         */
        private const val ELAPSED_MS_PER_DRIFT_MS = 5_000L

        /** More entry incarnations than connect to one agent; the oldest are evicted. */
        internal const val MAX_ENTRIES = 2_048
    }
}
