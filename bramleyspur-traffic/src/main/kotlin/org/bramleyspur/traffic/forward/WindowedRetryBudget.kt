package org.bramleyspur.traffic.forward

/**
 * This entry's share of the retry budget of one service, over a sliding window. In a window all entries together may
 * make [ratio] retries per request plus [extraRetries]; each entry may use the part of its own requests and an equal
 * part of the extra retries. Not thread-safe.
 *
 * @property windowMs length of the window in milliseconds
 * @property entries returns the number of entries that share the extra retries, as reported by the control instances
 */
class WindowedRetryBudget(
    private val ratio: Double,
    private val extraRetries: Double,
    private val windowMs: Long,
    private val entries: () -> Int,
) {
    private val requests = ArrayDeque<Long>()
    private val retries = ArrayDeque<Long>()

    /** Counts a request at [nowMs]. */
    fun onRequest(nowMs: Long) {
        requests.addLast(nowMs)
        trim(nowMs)
    }

    /** Whether a retry is allowed at [nowMs]. */
    fun allows(nowMs: Long): Boolean {
        trim(nowMs)
        val allowed = SAFETY_FACTOR * (ratio * requests.size + extraRetries / maxOf(MIN_ENTRIES, entries()))
        return retries.size + 1 <= allowed
    }

    /** Counts a retry at [nowMs]. */
    fun onRetry(nowMs: Long) {
        retries.addLast(nowMs)
    }

    private fun trim(nowMs: Long) {
        while (requests.isNotEmpty() && requests.first() <= nowMs - windowMs) requests.removeFirst()
        while (retries.isNotEmpty() && retries.first() <= nowMs - windowMs) retries.removeFirst()
    }

    private companion object {
        /** Allows for attempts that the backend server counts in a different window than this entry. */
        const val SAFETY_FACTOR = 0.8

        /** Lower bound, since entries that are not connected to control at the moment still send. */
        const val MIN_ENTRIES = 3
    }
}
