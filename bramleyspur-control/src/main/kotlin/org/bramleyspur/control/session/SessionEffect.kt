package org.bramleyspur.control.session

import org.bramleyspur.core.model.Assignment
import org.bramleyspur.core.model.Configuration
import org.bramleyspur.core.model.RouteTable

/** Output of the leader's session state, to be carried out in order. */
sealed interface SessionEffect {
    /**
     * Answers a heartbeat.
     *
     * @property leaseMs granted lease, 0 when the process must first acknowledge a configuration change
     * @property shares concurrent requests for each limited client account; entries only
     * @property assignments what the instance should hold; any other assignment must end
     */
    data class Answer(
        val stream: Long,
        val sequence: Long,
        val term: Long,
        val leaseMs: Long,
        val shares: Map<String, Int>,
        val assignments: List<Assignment>,
    ) : SessionEffect

    /** Sends the whole configuration. */
    data class SendConfiguration(val stream: Long, val configuration: Configuration) : SessionEffect

    /** Sends the whole route table to an entry. */
    data class SendRoutes(val stream: Long, val routes: RouteTable) : SessionEffect

    /** Closes a stream that another one has replaced or that was silent for too long. */
    data class CloseStream(val stream: Long, val reason: String) : SessionEffect
}
