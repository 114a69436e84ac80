package org.bramleyspur.daemon.entry

/**
 * Estimates how long attempts were under way. The smallest difference seen between the own clock and an entry's sending
 * time stands for an undelayed message; what exceeds it is delay, for instance in a socket buffer of a frozen process.
 */
class TransitClock {
    private val smallest = object : LinkedHashMap<String, Long>() {
        override fun removeEldestEntry(eldest: Map.Entry<String, Long>) = size > MAX_ENTRIES
    }

    /** Delay in milliseconds of a message that [entry] sent at [sentAtMs] of its clock and that arrived at [nowMs]. */
    fun delayMs(entry: String, sentAtMs: Long, nowMs: Long): Long {
        val difference = nowMs - sentAtMs
        val least = minOf(smallest[entry] ?: difference, difference)
        smallest[entry] = least
        return difference - least
    }

    private companion object {
        /** More entry incarnations than connect to one agent; the oldest are forgotten. */
        const val MAX_ENTRIES = 2_048
    }
}
