package org.bramleyspur.traffic.agent

import org.bramleyspur.core.model.Assignment
import org.bramleyspur.core.model.FencingNumber
import org.bramleyspur.core.model.Member
import org.bramleyspur.core.model.ReplicaId

/** Why a first member has stopped serving. */
enum class StopReason {
    /** All running requests have ended. */
    DRAINED,

    /** The replica may be incomplete; running requests are ended at once. */
    BROKEN,
}

/** Effect of the assignment state machine; effects are executed in order. */
sealed interface AgentEffect {
    /**
     * Sends an order to the engine.
     *
     * @property assignment what to load, null when [role] is [EngineRole.NONE]
     */
    data class OrderEngine(
        val orderId: Long,
        val role: EngineRole,
        val fencingNumber: FencingNumber,
        val assignment: Assignment?,
    ) : AgentEffect

    /** Closes the connection of an order that has timed out, or discards it if unsent, then reports its end. */
    data class AbortOrder(val orderId: Long) : AgentEffect

    /** Requests [member] to confirm that it is in its role. */
    data class RequestConfirmation(
        val member: Member,
        val sequence: Long,
        val replica: ReplicaId,
        val fencingNumber: FencingNumber,
        val grantMs: Long,
    ) : AgentEffect

    /** Sends [response] to the confirmation request with the number [requestNumber]. */
    data class SendConfirmation(val requestNumber: Long, val response: ConfirmationResponse) : AgentEffect

    /** Starts to accept requests for [assignment]. */
    data class StartServing(val assignment: Assignment) : AgentEffect

    /** Refuses new requests and lets running ones finish; [AgentEvent.RunningReported] confirms [number]. */
    data class RefuseNewWork(val number: Long, val reason: String) : AgentEffect

    /** Stops serving; when [StopReason.BROKEN], ends running requests with an explicit event. */
    data class StopServing(val reason: StopReason) : AgentEffect

    /** Sends a heartbeat at once because [AgentState.report] has changed. */
    data object ReportStatus : AgentEffect

    /** The planned stop is complete; the engine has no role. */
    data object StopComplete : AgentEffect
}
