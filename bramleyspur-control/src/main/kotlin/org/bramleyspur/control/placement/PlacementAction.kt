package org.bramleyspur.control.placement

import org.bramleyspur.core.model.Member
import org.bramleyspur.core.model.ReplicaId

/** Decision of the repair policy. */
sealed interface PlacementAction {
    /** Forms a replica of [members], all in one fabric domain of [dataCentre]; the first member serves requests. */
    data class CreateReplica(
        val service: String,
        val members: List<Member>,
        val version: String,
        val dataCentre: String,
    ) : PlacementAction

    /** Ends a replica; if it is serving, running requests are completed first. */
    data class RetireReplica(val replica: ReplicaId, val reason: String) : PlacementAction

    /** Waits until [untilMs] unless the input changes; [replica] is null for a replica that is not placed yet. */
    data class Wait(val service: String, val replica: ReplicaId?, val untilMs: Long, val reason: String) :
        PlacementAction

    /** Reports to operators why a wanted replica is not placed. */
    data class NotPossible(val service: String, val dataCentre: String, val reason: String) : PlacementAction
}
