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

    /** Loads the weights of a model onto the host. */
    data class Stage(val model: String) : EngineCommand
}

/**
 * What an engine says when it is asked.
 *
 * @property orders orders that it has begun in this life
 * @property group group in which it is; null for none
 */
data class EngineReport(val orders: Long, val group: GroupId?)

/**
 * An order to the engine [engineId] at [address] (`host:port`).
 *
 * @property expectedOrders orders that the engine must have begun, so that an earlier order that acts late does not
 * come between a decision and its order; null for orders that are safe without
 * @property fencingNumber term of the control leader; an engine that checks it refuses a lower one
 */
data class EngineOrder(
    val engineId: String,
    val address: String,
    val fencingNumber: Long,
    val command: EngineCommand,
    val expectedOrders: Long? = null,
)

/** How an engine took an order. */
enum class OrderResult {
    /** The order has begun. */
    ACCEPTED,

    /** The order is done, or the state that was ordered already held. */
    DONE,

    /** The engine refused the order: it does not fit its state, its epoch or its fencing number. */
    REFUSED,

    /** Another backend server answers at the engine's address. */
    ABSENT,

    /** No answer came; the order may still be carried out. */
    UNANSWERED,
}
