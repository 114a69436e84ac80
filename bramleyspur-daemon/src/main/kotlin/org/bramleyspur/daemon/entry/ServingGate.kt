package org.bramleyspur.daemon.entry

import org.bramleyspur.protocol.Start
import org.bramleyspur.traffic.agent.ServingPermit

/**
 * Decides whether the backend server may serve at the current time; used by the traffic thread. It is checked for each
 * request and each token, so that a process that resumes after a freeze does not continue with an expired permit.
 */
sealed interface ServingGate {
    /** Whether the attempt of [start] may begin at [nowMs]. */
    fun mayBegin(start: Start, nowMs: Long): Boolean

    /** Whether a running attempt may deliver tokens at [nowMs]. */
    fun mayDeliver(nowMs: Long): Boolean

    /** Nothing may be started or delivered. */
    data object Closed : ServingGate {
        override fun mayBegin(start: Start, nowMs: Long) = false

        override fun mayDeliver(nowMs: Long) = false
    }

    /** The first member of a complete replica. */
    data class Replica(private val permit: ServingPermit) : ServingGate {
        override fun mayBegin(start: Start, nowMs: Long): Boolean {
            val assignment = permit.assignment
            val untilMs = permit.newWorkUntilMs ?: return false
            val matchesAssignment = start.replica == assignment.replica.value &&
                start.fencingNumber == assignment.fencingNumber.value
            return matchesAssignment && nowMs < untilMs && nowMs < permit.runningUntilMs
        }

        override fun mayDeliver(nowMs: Long) = nowMs < permit.runningUntilMs
    }

    /** A plain backend server, which may start new requests until [newWorkUntilMs]. */
    data class Plain(private val newWorkUntilMs: Long) : ServingGate {
        override fun mayBegin(start: Start, nowMs: Long) = start.replica.isEmpty() && nowMs < newWorkUntilMs

        override fun mayDeliver(nowMs: Long) = true
    }
}
