package org.bramleyspur.control.group

import kotlinx.collections.immutable.ImmutableList
import org.bramleyspur.core.backend.GroupId

/** What an engine is ordered to do. */
sealed interface EngineCommand {
    /** Joins a group; [members] are engine ids, the head first. */
    data class Join(val group: GroupId, val model: String, val members: ImmutableList<String>) : EngineCommand

    /** Makes the head of a ready group serve. */
    data class Open(val group: GroupId) : EngineCommand

    /** Stops taking new requests and finishes the running ones. */
    data class Close(val group: GroupId) : EngineCommand

    /** Leaves a group at once. */
    data class Leave(val group: GroupId) : EngineCommand

    /** Loads the weights of a model onto the engine's host. */
    data class Stage(val model: String) : EngineCommand
}

/**
 * Response of an engine to a probe.
 *
 * @property startedOrders number of orders that it has started since its own start
 * @property group group that it is in; null for none
 * @property pace factor by which its work takes longer than usual
 */
data class EngineReport(val startedOrders: Long, val group: GroupId?, val pace: Double = 1.0)

/**
 * An order to the engine [engineId] at [address] (`host:port`).
 *
 * @property expectedOrders number of orders that the engine must have started, so that no delayed order is executed
 * between a decision and its order; null for orders that need no such check
 * @property fencingNumber term of the control leader; an engine that checks it refuses a lower one
 */
data class EngineOrder(
    val engineId: String,
    val address: String,
    val fencingNumber: Long,
    val command: EngineCommand,
    val expectedOrders: Long? = null,
)

/** Outcome of sending an order to an engine. */
enum class OrderResult {
    /** The engine has started the order. */
    ACCEPTED,

    /** The order is complete, or the engine was already in the ordered state. */
    DONE,

    /** The engine refused the order: it does not fit its state, its epoch or its fencing number. */
    REFUSED,

    /** Another backend server responds at the engine's address. */
    ABSENT,

    /** The engine did not respond; it may still execute the order. */
    UNANSWERED,
}
