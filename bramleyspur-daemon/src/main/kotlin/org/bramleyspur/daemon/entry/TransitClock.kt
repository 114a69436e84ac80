package org.bramleyspur.daemon.entry

/**
 * Estimates how long attempts were under way. The smallest difference seen between the own clock and an entry's sending
 * time stands for an undelayed message; what exceeds it is delay, for instance in a socket buffer of a frozen process.
 */
class TransitClock {
    /** The smallest [difference] of the clocks, which was seen at [seenMs]. */
    private class Baseline(val difference: Long, val seenMs: Long)

    private val baselines = object : LinkedHashMap<String, Baseline>() {
        override fun removeEldestEntry(eldest: Map.Entry<String, Baseline>) = size > MAX_ENTRIES
    }

    /** Delay in milliseconds of a message that [entry] sent at [sentAtMs] of its clock and that arrived at [nowMs]. */
    fun delayMs(entry: String, sentAtMs: Long, nowMs: Long): Long {
        val difference = nowMs - sentAtMs
        val known = baselines[entry]
        val undelayed = known?.let { it.difference + (nowMs - it.seenMs) / MS_PER_DRIFT_MS } ?: difference
        if (known == null || difference <= undelayed) baselines[entry] = Baseline(difference, nowMs)
        return (difference - undelayed).coerceAtLeast(0)
    }

    companion object {
        /**
         * Two clocks may drift apart by one millisecond in this time (200 ppm). Without the allowance a slow drift
         * would add up over days until every attempt counted as late.
         */
        private const val MS_PER_DRIFT_MS = 5_000L

        /** More entry incarnations than connect to one agent; the oldest are forgotten. */
        internal const val MAX_ENTRIES = 2_048
    }
}
