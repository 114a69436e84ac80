package org.bramleyspur.control.session

/**
 * Time limits of sessions, in milliseconds.
 *
 * @property sessionTimeoutMs time without messages after which a session is lost
 * @property leaseMs lease granted by the response to a heartbeat, counted by the receiver from sending the heartbeat
 * @property acknowledgeTimeoutMs time after which a process's lease is not renewed if it has not acknowledged a change
 * @property plainTimeoutMs time without messages after which the route of a plain backend server is withdrawn
 * @property withdrawalDelayMs delay between withdrawing a retired replica's route and withdrawing its assignment
 * @property lostRetentionMs time after which a lost process is no longer listed
 */
data class SessionTiming(
    val sessionTimeoutMs: Long = 5_000,
    val leaseMs: Long = 6_000,
    val acknowledgeTimeoutMs: Long = 3_000,
    val plainTimeoutMs: Long = 3_000,
    val withdrawalDelayMs: Long = 1_000,
    val lostRetentionMs: Long = 600_000,
) {
    /** Time after which the receiver's lease has certainly expired, with 1 % for clock drift. */
    val leaseExpiryMs: Long get() = leaseMs + leaseMs / DRIFT_DIVISOR

    private companion object {
        const val DRIFT_DIVISOR = 100
    }
}
