package org.bramleyspur.traffic.claim

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.bramleyspur.core.model.Incarnation
import org.bramleyspur.core.model.RequestId

/** Progress of a keyed call. */
sealed interface ClaimStage {
    /** Routing is asked for a target. */
    data object Choosing : ClaimStage

    /** A claim that names [target] is sent. */
    data class Claiming(val target: ClaimTarget) : ClaimStage

    /** The call runs on [target]. */
    data class Executing(val target: ClaimTarget) : ClaimStage

    /** An outcome of this request's claim is being recorded; [then] follows once it is. */
    data class Recording(val outcome: RecordOutcome, val then: AfterRecord) : ClaimStage

    /** Another request holds the claim, and its fate is looked up; [cancelled] once its attempts were cancelled. */
    data class LookingUp(val holder: ClaimHolder, val cancelled: Boolean) : ClaimStage

    /** The outcome of the holder's claim is being recorded. */
    data class Resolving(val holder: ClaimHolder, val outcome: RecordOutcome) : ClaimStage

    /** The ending was ordered. */
    data object Ended : ClaimStage
}

/** What follows once an outcome is recorded. */
sealed interface AfterRecord {
    /** The caller has been told. */
    data object Nothing : AfterRecord

    /** Tell the caller. */
    data class Tell(val ending: ClaimEnding) : AfterRecord

    /** The attempt is proved not to have begun: claim again for another target, or refuse with [refusal]. */
    data class ClaimAgain(val refusal: RefuseCall) : AfterRecord
}

/**
 * State of one keyed non-idempotent call at its entry.
 *
 * @property request identity of this request
 * @property generation claims for different targets so far; each has its own [claimId]
 * @property orders number of claims and records sent
 * @property since first order of the present stage; replies to earlier ones are late and mean nothing to it
 * @property excluded agents that the call was proved not to have begun on
 */
data class ClaimState(
    val request: RequestId,
    val stage: ClaimStage = ClaimStage.Choosing,
    val generation: Int = 0,
    val orders: Int = 0,
    val since: Int = 0,
    val excluded: PersistentSet<Incarnation> = persistentSetOf(),
    val callerGone: Boolean = false,
    val deadlinePassed: Boolean = false,
) {
    /**
     * Identity under which the present generation is claimed, executed and recorded. It differs between generations, so
     * that a delayed message of an earlier one can neither release nor complete a later claim.
     */
    val claimId: RequestId get() = if (generation <= 1) request else RequestId("${request.value}~$generation")

    internal fun isAwaited(order: Int): Boolean = order in since..orders

    internal fun isOwn(holder: ClaimHolder): Boolean =
        holder.request == request || holder.request.value.startsWith("${request.value}~")
}

/** A new state and what the entry must do, in order. */
data class ClaimTransition(val state: ClaimState, val effects: List<ClaimEffect>)
