package org.bramleyspur.traffic.pressure

/**
 * Limits what an entry sends to a pool just after an outage. All entries send what has waited in the same instant, and
 * none sees the others' requests, so each assumes that every entry sends as much as itself.
 *
 * @property sinceMs time at which the outage ended; null before the first one
 * @property workMs time in milliseconds that the prompts sent since then take on one backend server, as of [atMs]
 * @property lengthMs how long after the outage the prompts count
 */
data class ReturnRamp(
    val sinceMs: Long? = null,
    val workMs: Double = 0.0,
    val atMs: Long = 0,
    val lengthMs: Long = RAMP_MS,
) {
    /** With the end of an outage at [nowMs]. */
    fun onReturn(nowMs: Long): ReturnRamp = ReturnRamp(nowMs, 0.0, nowMs, lengthMs)

    /** With a request sent whose prompt takes [promptMs], to one of [servers] that [entries] use. */
    fun onStarted(promptMs: Double, servers: Int, entries: Int, nowMs: Long): ReturnRamp =
        if (!isActive(nowMs)) this else copy(workMs = leftMs(servers, entries, nowMs) + promptMs, atMs = nowMs)

    /** Wait in milliseconds at a backend server if every one of [entries] has sent as much as this one. */
    fun waitMs(servers: Int, entries: Int, nowMs: Long): Double =
        if (isActive(nowMs)) leftMs(servers, entries, nowMs) * entries / maxOf(1, servers) else 0.0

    private fun leftMs(servers: Int, entries: Int, nowMs: Long): Double =
        maxOf(0.0, workMs - (nowMs - atMs).toDouble() * servers / maxOf(1, entries))

    private fun isActive(nowMs: Long) = sinceMs != null && nowMs - sinceMs < lengthMs

    private companion object {
        /** By then, responses have told each entry the load of most backend servers. */
        const val RAMP_MS = 1_000L
    }
}
