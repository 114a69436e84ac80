package org.bramleyspur.traffic.agent

/**
 * Times of the assignment state machine, all in milliseconds.
 *
 * @property leaseMs configuration lease that a heartbeat response grants, from the sending of the heartbeat
 * @property grantMs shortest time for which a confirmation is valid, from the sending of its request
 * @property confirmIntervalMs shortest interval between confirmation requests to a member
 * @property probeMs interval between probes of the engine
 * @property orderTimeoutMs time after which an order has either taken effect or never will
 * @property drainLimitMs longest time for which a leaving member goes on confirming so that running requests finish
 */
data class AgentTiming(
    val leaseMs: Long = 6_000,
    val grantMs: Long = 800,
    val confirmIntervalMs: Long = 200,
    val probeMs: Long = 250,
    val orderTimeoutMs: Long = 2_000,
    val drainLimitMs: Long = 120_000,
) {
    /**
     * Interval between confirmation requests in a replica with this number of members. A request and its response take
     * about 260 bytes on the wire, so the first member of a replica of 16 would use 20 KB/s at an interval of 200 ms;
     * longer intervals keep it below 13 KB/s.
     */
    internal fun confirmIntervalMsFor(members: Int): Long = maxOf(
        confirmIntervalMs,
        confirmIntervalMs * members / FULL_RATE_MEMBERS,
    )

    /** Time for which a confirmation is valid in such a replica; it tolerates two lost requests in a row. */
    internal fun grantMsFor(members: Int): Long = maxOf(grantMs, GRANT_ROUNDS * confirmIntervalMsFor(members))

    /** Age of the last response that counts as [PROBE_MISSES] missed probes; also detects a freeze of this process. */
    internal val probeValidMs: Long get() = probeMs * (PROBE_MISSES + 1)

    companion object {
        /**
         * Missed probes after which the engine counts as unhealthy. Three tolerate a single lost response and still
         * detect a dead engine within 1 s.
         */
        const val PROBE_MISSES = 3

        /** Largest replica whose members are sent a request at each [confirmIntervalMs]. */
        private const val FULL_RATE_MEMBERS = 9
        private const val GRANT_ROUNDS = 3
        private const val PERCENT = 100L
        private const val CLOCK_DRIFT_PERCENT = 1L

        /** Shortens [durationMs] by 1%, since the clock of its holder may be that slow. */
        fun shortened(durationMs: Long): Long = durationMs * PERCENT / (PERCENT + CLOCK_DRIFT_PERCENT)

        /** Lengthens [durationMs] by 1%, rounded up, since the clock of the waiting process may be that fast. */
        internal fun lengthened(durationMs: Long): Long =
            (durationMs * (PERCENT + CLOCK_DRIFT_PERCENT) + PERCENT - 1) / PERCENT
    }
}
