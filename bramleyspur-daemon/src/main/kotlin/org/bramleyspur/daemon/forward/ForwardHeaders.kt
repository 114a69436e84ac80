package org.bramleyspur.daemon.forward

/**
 * Names of the headers that requests and answers carry, as an adapter supplies them.
 *
 * @property attemptId id of a caller's attempt, echoed by backend servers
 * @property remainingMs milliseconds that the receiver may still take
 * @property target id of the backend server that is meant; any other one refuses
 * @property account name of the client account, set for backend servers
 * @property model model of a generation
 * @property tokenCounts prompt tokens and most output tokens, separated by a comma
 * @property lastEventId id of the last event that was received of a stream
 * @property notExecuted present when a backend server did not run the request
 * @property load running requests, waiting requests and slots, separated by commas
 * @property seal proof of a backend server's answer
 * @property urgency rank within the backend server, 0 is first
 */
data class ForwardHeaders(
    val attemptId: String,
    val remainingMs: String,
    val target: String,
    val account: String,
    val model: String,
    val tokenCounts: String,
    val lastEventId: String,
    val notExecuted: String,
    val load: String,
    val seal: String,
    val urgency: String,
)
