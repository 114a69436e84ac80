package org.bramleyspur.core.model

import kotlinx.collections.immutable.ImmutableList

/**
 * An instance of a replica.
 *
 * @property address `host:port` of the agent
 * @property backendAddress `host:port` of the backend server
 */
data class Member(val instance: InstanceName, val address: String, val backendAddress: String = "")

/**
 * A replica's members and what they load. The first member answers requests.
 *
 * @property members at least one member, all in one fabric domain
 */
data class Assignment(
    val replica: ReplicaId,
    val fencingNumber: FencingNumber,
    val service: String,
    val model: String,
    val version: String,
    val adapters: ImmutableList<String>,
    val members: ImmutableList<Member>,
) {
    /** The member whose agent receives requests. */
    val first: Member get() = members.first()
}

/** State of an assignment on one instance, reported by its agent. */
enum class AssignmentState {
    /** The backend server is being ordered into the role. */
    LOADING,

    /** The instance is in its role. */
    READY,

    /** The first member serves; every member has confirmed. */
    SERVING,

    /** The assignment has ended on this instance. */
    RELEASED,

    /** The backend server refused or failed the order. */
    FAILED,
}
