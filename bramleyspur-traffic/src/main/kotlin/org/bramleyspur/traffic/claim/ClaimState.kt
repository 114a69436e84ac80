package org.bramleyspur.traffic.claim

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.bramleyspur.core.model.Incarnation
import org.bramleyspur.core.model.RequestId

/** Stage of a keyed call. */
sealed interface ClaimStage {
    /** A target is being chosen. */
    data object Choosing : ClaimStage

    /** A claim that names [target] has been sent. */
    data class Claiming(val target: ClaimTarget) : ClaimStage

    /** The call runs on [target]. */
    data class Executing(val target: ClaimTarget) : ClaimStage

    /** The outcome of this request's claim is being recorded, and [then] follows. */
    data class Recording(val outcome: RecordOutcome, val then: AfterRecord) : ClaimStage

    /** Another request holds the claim, and its attempt is looked up; with [cancelled] the lookup also cancels it. */
    data class LookingUp(val holder: ClaimHolder, val cancelled: Boolean) : ClaimStage

    /** The outcome of the holder's claim is being recorded. */
    data class Resolving(val holder: ClaimHolder, val outcome: RecordOutcome) : ClaimStage

    /** The ending was returned as an effect. */
    data object Ended : ClaimStage
}

/** Step that follows once an outcome is recorded. */
sealed interface AfterRecord {
    /** No further step; the caller has its response. */
    data object None : AfterRecord

    /** Send the response to the caller. */
    data class Finish(val ending: ClaimEnding) : AfterRecord

    /** The attempt is proved not to have begun: claim again for another target, or refuse with [refusal]. */
    data class RetryClaim(val refusal: RefuseCall) : AfterRecord
}

/**
 * State of one keyed non-idempotent call at its entry.
 *
 * @property request identity of this request
 * @property claimNumber number of the current claim, 0 before the first; each claim has its own [claimId], which its
 *   resends share
 * @property lastSequence number of the last claim or record sent
 * @property firstStageSequence number of the first message of the current stage; replies to earlier ones are ignored
 * @property excluded agent incarnations on which the call was proved not to have begun
 */
data class ClaimState(
    val request: RequestId,
    val stage: ClaimStage = ClaimStage.Choosing,
    val claimNumber: Int = 0,
    val lastSequence: Int = 0,
    val firstStageSequence: Int = 0,
    val excluded: PersistentSet<Incarnation> = persistentSetOf(),
    val callerDisconnected: Boolean = false,
    val deadlinePassed: Boolean = false,
) {
    /**
     * Identity under which the current claim is sent, executed and recorded. It differs between the claims of a
     * request, so that a delayed message of an earlier claim can neither release nor complete a later one.
     */
    val claimId: RequestId get() = if (claimNumber <= 1) request else RequestId("${request.value}~$claimNumber")

    internal fun isAwaited(sequence: Int): Boolean = sequence in firstStageSequence..lastSequence

    internal fun isOwn(holder: ClaimHolder): Boolean =
        holder.request == request || holder.request.value.startsWith("${request.value}~")
}

/** The new state, and the effects to execute in order. */
data class ClaimTransition(val state: ClaimState, val effects: List<ClaimEffect>)
