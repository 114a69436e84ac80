package org.bramleyspur.traffic.pressure

/**
 * Number of an entry's requests that may be at a pool at once. It follows from how much of their targets first events
 * take: an entry cannot predict all queues that other entries' requests form, but sees its own requests wait in them.
 * Without late first events there is no limit. A queue delays all first events, a fault only some: a late one cuts the
 * limit if most are near their targets, and the limit grows while they are in time and it is used up.
 *
 * @property limit largest number of requests; infinite before it was cut
 * @property timeShare moving average of the share of its target that a first event took, at most 1
 */
data class StreamWindow(
    val limit: Double = Double.POSITIVE_INFINITY,
    val timeShare: Double = 0.0,
    private val cutAtMs: Long = Long.MIN_VALUE / 2,
) {
    /** With a first event after [tookMs], or at the time by which it was due, while [inFlight] requests were out. */
    fun onFirstEvent(tookMs: Long, inFlight: Int, targetMs: Long, nowMs: Long): StreamWindow {
        val share = minOf(1.0, tookMs.toDouble() / targetMs)
        val average = timeShare + (share - timeShare) * AVERAGE_WEIGHT
        val late = tookMs >= targetMs
        return when {
            late && average > QUEUED_SHARE && nowMs - cutAtMs >= targetMs -> {
                val cut = maxOf(MIN_LIMIT, minOf(limit, inFlight.toDouble()) * CUT_FACTOR)
                StreamWindow(cut, average, nowMs)
            }
            !late && inFlight >= limit * USED_SHARE -> copy(limit = limit + growth(average), timeShare = average)
            else -> copy(timeShare = average)
        }
    }

    private fun growth(average: Double) = if (average < FAST_SHARE) maxOf(1.0, limit * FAST_GROWTH) else GROWTH

    private companion object {
        /** Averages over about seven first events. */
        const val AVERAGE_WEIGHT = 0.15

        /** With first events at 0.4 of their targets, five late ones in a row are taken for a queue. */
        const val QUEUED_SHARE = 0.7
        const val CUT_FACTOR = 0.8
        const val GROWTH = 0.5

        /** First events this fast tell that there is no queue, so a cut that faults brought about is taken back. */
        const val FAST_SHARE = 0.6
        const val FAST_GROWTH = 0.2
        const val USED_SHARE = 0.7

        /** An entry whose window is small still sees whether there is room again. */
        const val MIN_LIMIT = 2.0
    }
}
