package org.bramleyspur.traffic.load

/**
 * The requests at one backend server that have been sent and have not ended, of one entry or of several.
 *
 * @property inFlight number of requests
 * @property pendingPrefillTokens prompt tokens of the requests without a first event
 * @property contextTokens prompt tokens of all the requests
 */
data class ServerLoad(val inFlight: Int = 0, val pendingPrefillTokens: Long = 0, val contextTokens: Long = 0) {
    operator fun plus(other: ServerLoad) = ServerLoad(
        inFlight + other.inFlight,
        pendingPrefillTokens + other.pendingPrefillTokens,
        contextTokens + other.contextTokens,
    )

    operator fun minus(other: ServerLoad) = ServerLoad(
        inFlight - other.inFlight,
        pendingPrefillTokens - other.pendingPrefillTokens,
        contextTokens - other.contextTokens,
    )
}
