package org.bramleyspur.traffic.agent

/**
 * Times of the assignment state machine, all in milliseconds.
 *
 * @property leaseMs configuration lease that a heartbeat answer grants, from the sending of the heartbeat
 * @property grantMs time for which a confirmation counts, from the sending of the question
 * @property askMs interval between confirmation questions
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
    /** Age at which the last good probe counts as [PROBE_MISSES] missed ones; also covers a process that was frozen. */
    internal val probeValidMs: Long get() = probeMs * (PROBE_MISSES + 1)

    /** Missed probes after which the engine counts as unhealthy. */
    companion object {
        /** Three misses tolerate a single lost answer and still detect a dead engine within 1 s. */
        const val PROBE_MISSES = 3

        private const val PERCENT = 100L
        private const val DRIFT_PERCENT = 1L

        /** Shortens [durationMs] by the 1% by which the holder's clock may be slow. */
        internal fun shortened(durationMs: Long): Long = durationMs * PERCENT / (PERCENT + DRIFT_PERCENT)

        /** Lengthens [durationMs] by the 1% by which the waiting process's clock may be fast, rounded up. */
        internal fun lengthened(durationMs: Long): Long =
            (durationMs * (PERCENT + DRIFT_PERCENT) + PERCENT - 1) / PERCENT
    }
}
