package org.bramleyspur.core.model

import kotlinx.collections.immutable.ImmutableList

/**
 * An instance that belongs to a replica.
 *
 * @property address `host:port` of the agent
 * @property backendAddress `host:port` of the backend server
 */
data class Member(val instance: InstanceName, val address: String, val backendAddress: String = "")

/**
 * The members of a replica and the model that they load. The first member serves the requests.
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
    val firstMember: Member get() = members.first()
}

/** State of an assignment on one instance, reported by its agent. */
enum class AssignmentState {
    /** The backend server has not yet taken its role in the replica. */
    LOADING,

    /** The backend server has taken its role. */
    READY,

    /** Every member has confirmed, and the first one serves requests. */
    SERVING,

    /** The assignment has ended on this instance. */
    RELEASED,

    /** The backend server refused the role or failed to take it. */
    FAILED,
}
