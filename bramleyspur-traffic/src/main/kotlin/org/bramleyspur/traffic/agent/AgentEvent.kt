package org.bramleyspur.traffic.agent

import org.bramleyspur.core.model.Assignment
import org.bramleyspur.core.model.FencingNumber
import org.bramleyspur.core.model.InstanceName
import org.bramleyspur.core.model.ReplicaId

/** Event of the assignment state machine. All times are monotonic milliseconds of this process. */
sealed interface AgentEvent {
    /**
     * The control leader of [term] responded to a heartbeat that was sent at [sentAtMs].
     *
     * @property leaseMs lease granted from [sentAtMs] on, 0 when the lease is not renewed
     * @property desired assignments that the instance should hold
     */
    data class HeartbeatResponseReceived(
        val term: Long,
        val sentAtMs: Long,
        val leaseMs: Long,
        val desired: List<Assignment>,
    ) : AgentEvent

    /** A probe that was sent at [sentAtMs] ended; [state] is null when the engine did not respond. */
    data class EngineProbed(val sentAtMs: Long, val state: EngineState?) : AgentEvent

    /** The order [orderId] has ended; after [AgentEffect.AbortOrder] the outcome is unknown without a response. */
    data class OrderEnded(val orderId: Long, val outcome: OrderOutcome) : AgentEvent

    /** A first member requests a confirmation valid for [grantMs]; [requestNumber] identifies the response to it. */
    data class ConfirmationRequested(
        val requestNumber: Long,
        val replica: ReplicaId,
        val fencingNumber: FencingNumber,
        val grantMs: Long,
    ) : AgentEvent

    /** [member] responded to the confirmation request with number [sequence]. */
    data class ConfirmationReceived(val member: InstanceName, val sequence: Long, val response: ConfirmationResponse) :
        AgentEvent

    /**
     * This instance runs [running] requests.
     *
     * @property appliedRefusal number of the last [AgentEffect.RefuseNewWork] that is in effect
     */
    data class RunningReported(val running: Int, val appliedRefusal: Long) : AgentEvent

    /** This process has been requested to stop. */
    data object PlannedStop : AgentEvent

    /** Time has passed; expected at least every 50 ms. */
    data object Tick : AgentEvent
}

/**
 * Response to a confirmation request.
 *
 * @property confirmed whether the first member may count the member for the grant's time
 * @property leaving whether the member is leaving and confirms only so that running requests finish
 * @property reason why the member does not confirm, or empty
 */
data class ConfirmationResponse(val confirmed: Boolean, val leaving: Boolean = false, val reason: String = "")
