package org.bramleyspur.core.model

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf

/**
 * A destination for requests of a service.
 *
 * @property replica null for a plain backend server
 * @property instance instance of the first member, or of the plain backend server
 * @property incarnation incarnation of the agent for which the route is valid
 * @property address `host:port` of the agent
 * @property slots number of requests that the backend server runs concurrently
 */
data class Route(
    val service: String,
    val replica: ReplicaId?,
    val fencingNumber: FencingNumber,
    val instance: InstanceName,
    val incarnation: Incarnation,
    val address: String,
    val region: String,
    val dataCentre: String,
    val version: String = "",
    val adapters: ImmutableList<String> = persistentListOf(),
    val slots: Int = 1,
)

/** All routes. Tables are ordered by the leader's [term], then by [sequence]; only a later table replaces another. */
data class RouteTable(
    val term: Long = 0,
    val sequence: Long = 0,
    val routes: ImmutableList<Route> = persistentListOf(),
) {
    /** Whether this table replaces [other]. */
    fun isLaterThan(other: RouteTable): Boolean = term > other.term || (term == other.term && sequence > other.sequence)
}
