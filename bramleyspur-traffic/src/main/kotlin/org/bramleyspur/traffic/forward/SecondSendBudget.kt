package org.bramleyspur.traffic.forward

/**
 * This entry's share of the budget of second sends to one service, over a sliding window. All entries together may make
 * [ratio] second sends for each request, and [slack] more, in a window; each takes its own requests' part and an equal
 * part of the slack. Used by one thread.
 *
 * @property windowMs length of the window in milliseconds
 * @property entries entries that share the slack, as control instances count them
 */
class SecondSendBudget(
    private val ratio: Double,
    private val slack: Double,
    private val windowMs: Long,
    private val entries: () -> Int,
) {
    private val requests = ArrayDeque<Long>()
    private val sends = ArrayDeque<Long>()

    /** Counts a request at [nowMs]. */
    fun onRequest(nowMs: Long) {
        requests.addLast(nowMs)
        trim(nowMs)
    }

    /** Whether a second send is allowed at [nowMs]. */
    fun allows(nowMs: Long): Boolean {
        trim(nowMs)
        val allowed = SAFETY_SHARE * (ratio * requests.size + slack / maxOf(MIN_ENTRIES, entries()))
        return sends.size + 1 <= allowed
    }

    /** Counts a second send at [nowMs]. */
    fun onSecondSend(nowMs: Long) {
        sends.addLast(nowMs)
    }

    private fun trim(nowMs: Long) {
        while (requests.isNotEmpty() && requests.first() <= nowMs - windowMs) requests.removeFirst()
        while (sends.isNotEmpty() && sends.first() <= nowMs - windowMs) sends.removeFirst()
    }

    private companion object {
        /** Sends that are counted in another window at the backend server than here. */
        const val SAFETY_SHARE = 0.8

        /** Entries that are not connected to control at the moment still send. */
        const val MIN_ENTRIES = 3
    }
}
