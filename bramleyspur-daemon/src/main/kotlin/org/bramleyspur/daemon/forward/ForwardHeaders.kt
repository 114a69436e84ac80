package org.bramleyspur.daemon.forward

/**
 * Names of the headers of forwarded requests and responses, as an adapter supplies them.
 *
 * @property attemptId id of a caller's attempt, echoed by backend servers
 * @property remainingMs milliseconds until the deadline of the request
 * @property target id of the addressed backend server; any other one refuses the request
 * @property account name of the client account, set by the entry
 * @property model name of the requested model
 * @property tokenCounts prompt tokens and maximum output tokens, separated by a comma
 * @property promptParts parts of the prompt in order, as `ID:TOKENS` entries; the last one belongs to the request alone
 * @property lastEventId id of the last event that was received on a stream
 * @property notExecuted present in a response when the backend server did not execute the request
 * @property load running requests, queued requests and slots, separated by commas
 * @property leaving `1` in a response when the backend server is about to stop
 * @property seal proof that a response comes from a backend server
 * @property urgency scheduling rank within the backend server; 0 is the most urgent
 * @property coldRemainingMs milliseconds for which the backend server that responds stays cold
 */
data class ForwardHeaders(
    val attemptId: String,
    val remainingMs: String,
    val target: String,
    val account: String,
    val model: String,
    val tokenCounts: String,
    val promptParts: String,
    val lastEventId: String,
    val notExecuted: String,
    val load: String,
    val leaving: String,
    val seal: String,
    val urgency: String,
    val coldRemainingMs: String,
)
