/*
 * State machine of a non-idempotent call with an idempotency key at its entry. The call is sent only under a claim that
 * is committed for this request and names the agent incarnation. The response is recorded before it is returned to the
 * caller. A claim is released or claimed again for another target only with proof that nothing has begun under it.
 */
package org.bramleyspur.traffic.claim

import kotlinx.collections.immutable.persistentSetOf
import org.bramleyspur.core.model.Refusal
import org.bramleyspur.core.model.RequestId

/** Starts the state machine of a keyed call, which first requests a target. */
fun acceptCall(request: RequestId): ClaimTransition =
    ClaimTransition(ClaimState(request), listOf(ChooseTarget(persistentSetOf())))

/** Returns the transition caused by [event]. */
fun ClaimState.on(event: ClaimEvent): ClaimTransition = when (event) {
    is TargetChosen -> onTargetChosen(event)
    is NoTarget -> onNoTarget(event)
    is ClaimResponseReceived -> onClaimResponse(event)
    is ExecutionEnded -> onExecutionEnded(event)
    is ResponseTooLarge -> onResponseTooLarge(event)
    is RecordResponseReceived -> onRecordResponse(event)
    is RecordLost -> onRecordLost(event)
    is HolderFound -> onHolderFound(event)
    is HolderUnreachable -> onHolderUnreachable(event)
    is ClaimDeadline -> onDeadline()
    is ClaimCallerDisconnected -> onCallerDisconnected()
}

private fun ClaimState.onTargetChosen(event: TargetChosen): ClaimTransition =
    if (stage is ClaimStage.Choosing) sendClaim(event.target) else unchanged()

private fun ClaimState.onNoTarget(event: NoTarget): ClaimTransition {
    if (stage !is ClaimStage.Choosing) return unchanged()
    return finish(RefuseCall(Refusal.NOT_RUN, "no backend server can take the call now", event.retryAfterMs))
}

private fun ClaimState.onClaimResponse(event: ClaimResponseReceived): ClaimTransition {
    val stage = stage as? ClaimStage.Claiming ?: return unchanged()
    if (!isAwaited(event.sequence)) return unchanged()
    return when (val reply = event.reply) {
        is ClaimReply.Granted -> startExecution(stage.target)
        is ClaimReply.InProgress -> onInProgress(stage, reply.holder)
        is ClaimReply.Responded -> finish(ReplayResponse(reply.response))
        is ClaimReply.DigestMismatch -> finish(RefuseDigestMismatch)
        is ClaimReply.UnknownOutcome -> finish(
            unknownRefusal("the outcome of an earlier request with this key is unknown"),
        )
        is ClaimReply.Lost -> if (event.sequence == lastSequence) resendClaim(stage.target) else unchanged()
    }
}

/**
 * Handles a key that is already claimed: by another request, by this claim, or by an earlier claim of this request that
 * was committed late. The last is released, because its execution was proved not to have begun.
 */
private fun ClaimState.onInProgress(stage: ClaimStage.Claiming, holder: ClaimHolder): ClaimTransition = when {
    !isOwn(holder) -> lookUpHolder(holder)
    holder == ClaimHolder(claimId, stage.target) -> startExecution(stage.target)
    else -> recordHolderOutcome(holder, RecordOutcome.NotRun)
}

private fun ClaimState.onExecutionEnded(event: ExecutionEnded): ClaimTransition {
    val stage = stage as? ClaimStage.Executing ?: return unchanged()
    return when (val result = event.result) {
        is ExecutionResult.Responded -> {
            val failed = RefuseCall(Refusal.RAN_AND_FAILED, "the backend server reported a failed run", 0)
            val ending = if (result.failed) failed else ReturnResponse
            recordOutcome(RecordOutcome.Responded(result.response), AfterRecord.Finish(ending))
        }

        is ExecutionResult.NotRun ->
            copy(excluded = excluded.add(stage.target.incarnation))
                .recordNotRun(RefuseCall(Refusal.NOT_RUN, result.message, result.retryAfterMs))

        is ExecutionResult.Unknown ->
            recordOutcome(RecordOutcome.Unknown, AfterRecord.Finish(unknownRefusal(result.message)))
    }
}

private fun ClaimState.onResponseTooLarge(event: ResponseTooLarge): ClaimTransition {
    if (stage !is ClaimStage.Executing) return unchanged()
    return recordOutcome(RecordOutcome.Responded(event.response), AfterRecord.Finish(ReturnResponse))
}

private fun ClaimState.onRecordResponse(event: RecordResponseReceived): ClaimTransition {
    if (!isAwaited(event.sequence)) return unchanged()
    return when (val stage = stage) {
        is ClaimStage.Recording -> if (event.recorded) onRecorded(stage.then) else onRecordRejected(stage)
        is ClaimStage.Resolving -> chooseTarget()
        else -> unchanged()
    }
}

private fun ClaimState.onRecorded(then: AfterRecord): ClaimTransition = when (then) {
    is AfterRecord.None -> copy(stage = ClaimStage.Ended).unchanged()
    is AfterRecord.Finish -> finish(then.ending)
    is AfterRecord.RetryClaim -> if (callerDisconnected || claimNumber >= MAX_CLAIMS) {
        finish(then.refusal)
    } else {
        chooseTarget()
    }
}

/** Another request with the key has resolved the claim, or its retention has passed. */
private fun ClaimState.onRecordRejected(stage: ClaimStage.Recording): ClaimTransition =
    if (stage.outcome == RecordOutcome.NotRun || stage.then == AfterRecord.None) {
        onRecorded(stage.then)
    } else {
        finish(unknownRefusal("the answer could not be recorded under the key"))
    }

private fun ClaimState.onRecordLost(event: RecordLost): ClaimTransition {
    if (event.sequence != lastSequence) return unchanged()
    return when (val stage = stage) {
        is ClaimStage.Recording -> resendRecord(claimId, stage.outcome)
        is ClaimStage.Resolving -> resendRecord(stage.holder.request, stage.outcome)
        else -> unchanged()
    }
}

private fun ClaimState.onDeadline(): ClaimTransition = when (val stage = stage) {
    is ClaimStage.Ended -> unchanged()

    // The execution has the same deadline and reports its own ending.
    is ClaimStage.Executing -> copy(deadlinePassed = true).unchanged()

    is ClaimStage.Recording -> copy(deadlinePassed = true).finishWhileRecording(stage)

    is ClaimStage.LookingUp -> finish(RefuseInProgress(RETRY_AFTER_MS))

    is ClaimStage.Resolving -> finish(if (isOwn(stage.holder)) EXPIRED_REFUSAL else RefuseInProgress(RETRY_AFTER_MS))

    is ClaimStage.Choosing, is ClaimStage.Claiming -> releaseClaim(EXPIRED_REFUSAL)
}

private fun ClaimState.onCallerDisconnected(): ClaimTransition = when (stage) {
    is ClaimStage.Choosing, is ClaimStage.Claiming -> copy(callerDisconnected = true).releaseClaim(AbandonCall)
    is ClaimStage.LookingUp, is ClaimStage.Resolving -> copy(callerDisconnected = true).finish(AbandonCall)
    else -> copy(callerDisconnected = true).unchanged()
}

internal fun unknownRefusal(message: String) = RefuseCall(Refusal.MAY_HAVE_RUN, "$message; check before repeating", 0)

private val EXPIRED_REFUSAL =
    RefuseCall(Refusal.NOT_RUN, "the deadline passed before the call was sent; allow more time", RETRY_AFTER_MS)

/** Bounds the commits for one call; a call proved not to have begun under three claims is refused. */
private const val MAX_CLAIMS = 3
