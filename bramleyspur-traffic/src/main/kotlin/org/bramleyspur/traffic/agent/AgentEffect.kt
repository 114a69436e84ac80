package org.bramleyspur.traffic.agent

import org.bramleyspur.core.model.Assignment
import org.bramleyspur.core.model.FencingNumber
import org.bramleyspur.core.model.Member
import org.bramleyspur.core.model.ReplicaId

/** Why a first member has stopped serving. */
enum class StopReason {
    /** No request was running any more. */
    DRAINED,

    /** The replica is not known to be complete; running requests are ended at once. */
    BROKEN,
}

/** Output of the assignment state machine, to be carried out in order. */
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

    /** Closes the connection of an order that has timed out, or drops it unsent, then reports it as ended. */
    data class AbortOrder(val orderId: Long) : AgentEffect

    /** Asks [member] for a confirmation. */
    data class AskConfirm(
        val member: Member,
        val sequence: Long,
        val replica: ReplicaId,
        val fencingNumber: FencingNumber,
        val grantMs: Long,
    ) : AgentEffect

    /** Answers the question that [AgentEvent.ConfirmAsked] named. */
    data class ReplyConfirm(val question: Long, val answer: ConfirmAnswer) : AgentEffect

    /** Accepts requests for [assignment]. */
    data class StartServing(val assignment: Assignment) : AgentEffect

    /** Refuses new requests and lets running ones finish; traffic reports [number] once it has done so. */
    data class RefuseNewWork(val number: Long, val reason: String) : AgentEffect

    /** Stops serving; when [StopReason.BROKEN], ends running requests with an explicit event. */
    data class StopServing(val reason: StopReason) : AgentEffect

    /** Sends a heartbeat at once, since [AgentState.report] has changed. */
    data object ReportStatus : AgentEffect

    /** The planned stop is complete: the engine is out of its role. */
    data object StopComplete : AgentEffect
}
