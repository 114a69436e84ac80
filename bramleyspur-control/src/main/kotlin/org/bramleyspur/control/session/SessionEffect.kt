package org.bramleyspur.control.session

import org.bramleyspur.core.model.Assignment
import org.bramleyspur.core.model.Configuration
import org.bramleyspur.core.model.RouteTable

/** Output of the leader's session state; effects are executed in order. */
sealed interface SessionEffect {
    /**
     * Responds to a heartbeat.
     *
     * @property leaseMs granted lease; 0 if the process must first acknowledge a configuration change
     * @property shares concurrent requests allowed for each limited client account; for entries only
     * @property assignments assignments that the instance should have; it must end all others
     */
    data class HeartbeatResponse(
        val stream: Long,
        val sequence: Long,
        val term: Long,
        val leaseMs: Long,
        val shares: Map<String, Int>,
        val assignments: List<Assignment>,
    ) : SessionEffect

    /** Sends the complete configuration. */
    data class SendConfiguration(val stream: Long, val configuration: Configuration) : SessionEffect

    /** Sends the complete route table to an entry. */
    data class SendRoutes(val stream: Long, val routes: RouteTable) : SessionEffect

    /** Closes a stream that was replaced by another one or whose session timed out. */
    data class CloseStream(val stream: Long, val reason: String) : SessionEffect
}
