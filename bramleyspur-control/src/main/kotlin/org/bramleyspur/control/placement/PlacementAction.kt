package org.bramleyspur.control.placement

import org.bramleyspur.core.model.Member
import org.bramleyspur.core.model.ReplicaId

/** Decision of the repair policy. */
sealed interface PlacementAction {
    /** Forms a replica of [members], all in one fabric domain of [dataCentre]; the first one answers requests. */
    data class CreateReplica(
        val service: String,
        val members: List<Member>,
        val version: String,
        val dataCentre: String,
    ) : PlacementAction

    /** Ends a replica; running requests finish if it still serves. */
    data class RetireReplica(val replica: ReplicaId, val reason: String) : PlacementAction

    /** Does nothing until [untilMs] unless something changes; [replica] is null for a replica not placed yet. */
    data class Wait(val service: String, val replica: ReplicaId?, val untilMs: Long, val reason: String) :
        PlacementAction

    /** Tells operators why a wanted replica is not placed. */
    data class NotPossible(val service: String, val dataCentre: String, val reason: String) : PlacementAction
}
