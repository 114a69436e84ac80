package org.bramleyspur.traffic.pressure

/**
 * Number of an entry's requests that may be at a pool at once. It follows from how many first events are late: an entry
 * cannot predict the queues that other entries' requests form, but sees its own requests wait in them. Without late
 * first events there is no limit. Several late ones cut it, and it grows while they are in time and it is used up.
 *
 * @property limit largest number of requests; infinite before there was a late one
 * @property lateShare moving average of the share of first events that were late
 */
data class StreamWindow(
    val limit: Double = Double.POSITIVE_INFINITY,
    val lateShare: Double = 0.0,
    private val cutAtMs: Long = Long.MIN_VALUE / 2,
) {
    /** With a first event, or the time by which it was due, while [inFlight] requests were at the pool. */
    fun onFirstEvent(late: Boolean, inFlight: Int, targetMs: Long, nowMs: Long): StreamWindow {
        val average = lateShare + ((if (late) 1.0 else 0.0) - lateShare) * AVERAGE_WEIGHT
        return when {
            late && average > TOLERATED_LATE_SHARE && nowMs - cutAtMs >= targetMs -> {
                val cut = maxOf(MIN_LIMIT, minOf(limit, inFlight.toDouble()) * CUT_FACTOR)
                StreamWindow(cut, average, nowMs)
            }
            !late && inFlight >= limit * USED_SHARE -> copy(limit = limit + GROWTH, lateShare = average)
            else -> copy(lateShare = average)
        }
    }

    private companion object {
        /** Averages over about seven first events, so that one slow server among many does not cut the window. */
        const val AVERAGE_WEIGHT = 0.15

        /** Slow servers and lost packets make some first events late without any queue. */
        const val TOLERATED_LATE_SHARE = 0.3
        const val CUT_FACTOR = 0.8
        const val GROWTH = 0.5
        const val USED_SHARE = 0.7

        /** An entry whose window is small still sees whether there is room again. */
        const val MIN_LIMIT = 2.0
    }
}
