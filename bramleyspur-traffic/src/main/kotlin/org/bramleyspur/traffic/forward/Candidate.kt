package org.bramleyspur.traffic.forward

/**
 * A backend server that may take a request.
 *
 * @property running requests in its batch, as far as this process can tell
 * @property slots requests that run together
 * @property unreadTokens prompt tokens sent to it whose first event has not come
 * @property contextTokens tokens of the requests in its batch
 * @property timeFactor factor on its published times: of the model, of its observed pace
 * @property distanceMs round trip to it in milliseconds
 * @property excessMs time in milliseconds by which its first events have lately come after their prediction
 * @property suspect whether it recently failed or has stopped answering
 */
data class Candidate(
    val id: String,
    val running: Int,
    val slots: Int,
    val unreadTokens: Long,
    val contextTokens: Long,
    val timeFactor: Double,
    val distanceMs: Double,
    val suspect: Boolean,
    val excessMs: Double = 0.0,
)
