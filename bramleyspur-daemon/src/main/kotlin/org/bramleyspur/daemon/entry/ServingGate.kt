package org.bramleyspur.daemon.entry

import org.bramleyspur.protocol.Start
import org.bramleyspur.traffic.agent.ServingPermit

/**
 * Whether the backend server may work now; used by the traffic thread. It is asked for each request and each token, so
 * that a process that was frozen does no work on resuming.
 */
sealed interface ServingGate {
    /** Whether the attempt of [start] may begin at [nowMs]. */
    fun mayBegin(start: Start, nowMs: Long): Boolean

    /** Whether a running attempt may deliver at [nowMs]. */
    fun mayDeliver(nowMs: Long): Boolean

    /** Nothing may be done. */
    data object Closed : ServingGate {
        override fun mayBegin(start: Start, nowMs: Long) = false

        override fun mayDeliver(nowMs: Long) = false
    }

    /** The first member of a complete replica. */
    data class Replica(private val permit: ServingPermit) : ServingGate {
        override fun mayBegin(start: Start, nowMs: Long): Boolean {
            val assignment = permit.assignment
            val untilMs = permit.newWorkUntilMs ?: return false
            val meant = start.replica == assignment.replica.value &&
                start.fencingNumber == assignment.fencingNumber.value
            return meant && nowMs < untilMs && nowMs < permit.runningUntilMs
        }

        override fun mayDeliver(nowMs: Long) = nowMs < permit.runningUntilMs
    }

    /** A plain backend server, which may take new work until [newWorkUntilMs]. */
    data class Plain(private val newWorkUntilMs: Long) : ServingGate {
        override fun mayBegin(start: Start, nowMs: Long) = start.replica.isEmpty() && nowMs < newWorkUntilMs

        override fun mayDeliver(nowMs: Long) = true
    }
}
