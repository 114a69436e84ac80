package org.bramleyspur.traffic.agent

/**
 * Times of the assignment state machine, all in milliseconds.
 *
 * @property leaseMs configuration lease that a heartbeat answer grants, from the sending of the heartbeat
 * @property grantMs shortest time for which a confirmation counts, from the sending of the question
 * @property askMs shortest interval between confirmation questions
 * @property probeMs interval between probes of the engine
 * @property orderTimeoutMs time after which an order has either taken effect or never will
 * @property drainLimitMs longest time for which a leaving member goes on confirming so that running requests finish
 */
data class AgentTiming(
    val leaseMs: Long = 6_000,
    val grantMs: Long = 800,
    val askMs: Long = 200,
    val probeMs: Long = 250,
    val orderTimeoutMs: Long = 2_000,
    val drainLimitMs: Long = 120_000,
) {
    /**
     * Interval between the questions of a replica with this number of members. A question and its answer take about
     * 260 bytes on the wire, so a first member of 16 that asked each 200 ms would spend 20 KB/s; the limit is 13 KB/s.
     */
    internal fun askMsFor(members: Int): Long = maxOf(askMs, askMs * members / FULL_RATE_MEMBERS)

    /** Time for which a confirmation counts in such a replica; two lost questions in a row do not stop it. */
    internal fun grantMsFor(members: Int): Long = maxOf(grantMs, GRANT_ROUNDS * askMsFor(members))

    /** Age at which the last good probe counts as [PROBE_MISSES] missed ones; also covers a process that was frozen. */
    internal val probeValidMs: Long get() = probeMs * (PROBE_MISSES + 1)

    /** Missed probes after which the engine counts as unhealthy. */
    companion object {
        /** Three misses tolerate a single lost answer and still detect a dead engine within 1 s. */
        const val PROBE_MISSES = 3

        private const val FULL_RATE_MEMBERS = 9
        private const val GRANT_ROUNDS = 3
        private const val PERCENT = 100L
        private const val DRIFT_PERCENT = 1L

        /** Shortens [durationMs] by the 1% by which the holder's clock may be slow. */
        fun shortened(durationMs: Long): Long = durationMs * PERCENT / (PERCENT + DRIFT_PERCENT)

        /** Lengthens [durationMs] by the 1% by which the waiting process's clock may be fast, rounded up. */
        internal fun lengthened(durationMs: Long): Long =
            (durationMs * (PERCENT + DRIFT_PERCENT) + PERCENT - 1) / PERCENT
    }
}
