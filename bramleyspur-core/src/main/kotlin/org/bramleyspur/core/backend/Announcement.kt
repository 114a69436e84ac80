/*
 * What a backend server says about itself.
 */
package org.bramleyspur.core.backend

import kotlinx.collections.immutable.ImmutableList

/** Whether a backend server takes work. */
enum class BackendState { READY, LEAVING, GONE }

/** State of an engine in its group. [BROKEN] groups refuse requests until they are formed again. */
enum class GroupState { JOINING, READY, OPEN, CLOSING, BROKEN }

/** Name and epoch of a group; a group that is formed again under its name has a higher epoch. */
data class GroupId(val name: String, val epoch: Long)

/** Membership of an engine in a group; [rank] 0 is the head, which takes the requests. */
data class GroupPlace(val id: GroupId, val rank: Int, val state: GroupState, val model: String?)

/**
 * A backend server's announcement.
 *
 * @property id identity of the backend server, mostly new at each start
 * @property bornMs Unix milliseconds of its start; 0 when it is not announced
 * @property sequence increases with each announcement of one start
 * @property address `host:port` of its requests
 * @property domain fabric domain; empty for backend servers that are no engines
 * @property staged models whose weights are on its host
 * @property place null when the engine is in no group
 */
data class Announcement(
    val id: String,
    val bornMs: Long,
    val sequence: Long,
    val service: String,
    val address: String,
    val dataCentre: String,
    val slots: Int,
    val state: BackendState,
    val domain: String,
    val staged: ImmutableList<String>,
    val place: GroupPlace?,
) {
    /** Whether this announcement was made after [other] by the same backend server. */
    fun isNewerThan(other: Announcement): Boolean =
        bornMs > other.bornMs || (bornMs == other.bornMs && sequence > other.sequence)
}
