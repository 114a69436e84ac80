package org.bramleyspur.control.session

/**
 * Times of sessions, all in milliseconds.
 *
 * @property sessionTimeoutMs silence after which a session is lost
 * @property leaseMs lease that a heartbeat answer grants, measured by the receiver from sending the heartbeat
 * @property acknowledgeMs time after which a change that a process has not acknowledged stops its lease
 * @property plainSilenceMs silence after which a plain backend server gets no route
 * @property withdrawalMs time between the withdrawal of a retired replica's route and of its assignment
 * @property forgetMs time after which a lost process is no longer listed
 */
data class SessionTiming(
    val sessionTimeoutMs: Long = 5_000,
    val leaseMs: Long = 6_000,
    val acknowledgeMs: Long = 3_000,
    val plainSilenceMs: Long = 3_000,
    val withdrawalMs: Long = 1_000,
    val forgetMs: Long = 600_000,
) {
    /** Time after which the receiver's lease has surely ended, with 1% for clock drift. */
    val leaseEndMs: Long get() = leaseMs + leaseMs / DRIFT_DIVISOR

    private companion object {
        const val DRIFT_DIVISOR = 100
    }
}
