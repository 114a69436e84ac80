package org.bramleyspur.traffic.forward

/**
 * A backend server to which a request can be sent.
 *
 * @property running requests in its batch, as estimated by this process
 * @property slots largest number of requests in a batch
 * @property pendingPrefillTokens prompt tokens sent to it in requests without a first event
 * @property contextTokens tokens of the requests in its batch
 * @property timeFactor factor on its published times, for the model and the observed speed
 * @property roundTripMs round trip to it in milliseconds
 * @property firstEventExcessMs recent delay in milliseconds of its first events relative to their prediction
 * @property suspect whether it has failed recently or become unresponsive
 */
data class Candidate(
    val id: String,
    val running: Int,
    val slots: Int,
    val pendingPrefillTokens: Long,
    val contextTokens: Long,
    val timeFactor: Double,
    val roundTripMs: Double,
    val suspect: Boolean,
    val firstEventExcessMs: Double = 0.0,
)
