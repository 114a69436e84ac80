/*
 * Identifiers of the domain model. Each wraps the value that is sent on the wire, so that different kinds of identifier
 * cannot be confused.
 */
package org.bramleyspur.core.model

/** Name of an instance, unique in the deployment. */
@JvmInline
value class InstanceName(val value: String) : Comparable<InstanceName> {
    override fun compareTo(other: InstanceName): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Random identity of one incarnation of a process; it changes with each restart. */
@JvmInline
value class Incarnation(val value: String) {
    override fun toString(): String = value
}

/** Identity of a replica. */
@JvmInline
value class ReplicaId(val value: String) : Comparable<ReplicaId> {
    override fun compareTo(other: ReplicaId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Log index of the assignment that created a replica; a later assignment has a higher number. */
@JvmInline
value class FencingNumber(val value: Long) : Comparable<FencingNumber> {
    override fun compareTo(other: FencingNumber): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

/** Log index of the last accepted configuration change; 0 before the first one. */
@JvmInline
value class Revision(val value: Long) : Comparable<Revision> {
    override fun compareTo(other: Revision): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    companion object {
        /** The revision of an empty configuration. */
        val NONE = Revision(0)
    }
}

/** Identity of a caller's request, shared by all of its attempts. */
@JvmInline
value class RequestId(val value: String) {
    override fun toString(): String = value
}
