/*
 * The entry's decisions for a non-idempotent call with an idempotency key. The call is sent only under a claim that is
 * committed for this request and names the agent run. The answer is recorded before the caller gets it. A claim is
 * released or re-targeted only with a proof that nothing has begun under it.
 */
package org.bramleyspur.traffic.claim

import kotlinx.collections.immutable.persistentSetOf
import org.bramleyspur.core.model.Refusal
import org.bramleyspur.core.model.RequestId

/** Accepts a keyed call and asks for a target. */
fun acceptCall(request: RequestId): ClaimTransition =
    ClaimTransition(ClaimState(request), listOf(ChooseTarget(persistentSetOf())))

/** The transition that [event] causes. */
fun ClaimState.on(event: ClaimEvent): ClaimTransition = when (event) {
    is TargetChosen -> onTarget(event)
    is NoTarget -> onNoTarget(event)
    is ClaimAnswered -> onClaimAnswered(event)
    is ExecutionEnded -> onExecutionEnded(event)
    is AnswerTooLarge -> onTooLarge(event)
    is RecordAnswered -> onRecordAnswered(event)
    is RecordLost -> onRecordLost(event)
    is HolderFound -> onHolderFound(event)
    is HolderUnreachable -> onHolderUnreachable(event)
    is ClaimDeadline -> onDeadline()
    is ClaimCallerGone -> onCallerGone()
}

private fun ClaimState.onTarget(event: TargetChosen): ClaimTransition =
    if (stage is ClaimStage.Choosing) claim(event.target) else unchanged()

private fun ClaimState.onNoTarget(event: NoTarget): ClaimTransition {
    if (stage !is ClaimStage.Choosing) return unchanged()
    return tell(RefuseCall(Refusal.NOT_RUN, "no backend server can take the call now", event.retryAfterMs))
}

private fun ClaimState.onClaimAnswered(event: ClaimAnswered): ClaimTransition {
    val stage = stage as? ClaimStage.Claiming ?: return unchanged()
    if (!isAwaited(event.order)) return unchanged()
    return when (val reply = event.reply) {
        is ClaimReply.Granted -> execute(stage.target)
        is ClaimReply.InProgress -> inProgress(stage, reply.holder)
        is ClaimReply.Answered -> tell(ReplayAnswer(reply.answer))
        is ClaimReply.DigestMismatch -> tell(TellDigestMismatch)
        is ClaimReply.UnknownOutcome -> tell(
            unknownRefusal("the outcome of an earlier request with this key is unknown"),
        )
        is ClaimReply.Lost -> if (event.order == orders) claimAgain(stage.target) else unchanged()
    }
}

/** A claim of an earlier generation, committed late, is released: its execution was proved not to have begun. */
private fun ClaimState.inProgress(stage: ClaimStage.Claiming, holder: ClaimHolder): ClaimTransition = when {
    !isOwn(holder) -> resend(holder)
    holder == ClaimHolder(claimId, stage.target) -> execute(stage.target)
    else -> resolve(holder, RecordOutcome.NotRun)
}

private fun ClaimState.onExecutionEnded(event: ExecutionEnded): ClaimTransition {
    val stage = stage as? ClaimStage.Executing ?: return unchanged()
    return when (val result = event.result) {
        is ExecutionResult.Answered -> {
            val failed = RefuseCall(Refusal.RAN_AND_FAILED, "the backend server reported a failed run", 0)
            val ending = if (result.failed) failed else ReturnAnswer
            record(RecordOutcome.Answered(result.answer), AfterRecord.Tell(ending))
        }

        is ExecutionResult.NotRun ->
            copy(excluded = excluded.add(stage.target.incarnation))
                .notRun(RefuseCall(Refusal.NOT_RUN, result.message, result.retryAfterMs))

        is ExecutionResult.Unknown ->
            record(RecordOutcome.Unknown, AfterRecord.Tell(unknownRefusal(result.message)))
    }
}

private fun ClaimState.onTooLarge(event: AnswerTooLarge): ClaimTransition {
    if (stage !is ClaimStage.Executing) return unchanged()
    return record(RecordOutcome.Answered(event.answer), AfterRecord.Tell(ReturnAnswer))
}

private fun ClaimState.onRecordAnswered(event: RecordAnswered): ClaimTransition {
    if (!isAwaited(event.order)) return unchanged()
    return when (val stage = stage) {
        is ClaimStage.Recording -> if (event.recorded) recorded(stage.then) else rejected(stage)
        is ClaimStage.Resolving -> choose()
        else -> unchanged()
    }
}

private fun ClaimState.recorded(then: AfterRecord): ClaimTransition = when (then) {
    is AfterRecord.Nothing -> copy(stage = ClaimStage.Ended).unchanged()
    is AfterRecord.Tell -> tell(then.ending)
    is AfterRecord.ClaimAgain -> if (callerGone || generation >= MAX_GENERATIONS) tell(then.refusal) else choose()
}

/** The claim is no longer this request's: it was resolved by a resend, or its retention has passed. */
private fun ClaimState.rejected(stage: ClaimStage.Recording): ClaimTransition =
    if (stage.outcome == RecordOutcome.NotRun || stage.then == AfterRecord.Nothing) {
        recorded(stage.then)
    } else {
        tell(unknownRefusal("the answer could not be recorded under the key"))
    }

private fun ClaimState.onRecordLost(event: RecordLost): ClaimTransition {
    if (event.order != orders) return unchanged()
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

    is ClaimStage.Recording -> copy(deadlinePassed = true).tellWhileRecording(stage)

    is ClaimStage.LookingUp -> tell(TellInProgress(RETRY_AFTER_MS))

    is ClaimStage.Resolving -> tell(if (isOwn(stage.holder)) EXPIRED else TellInProgress(RETRY_AFTER_MS))

    is ClaimStage.Choosing, is ClaimStage.Claiming -> release(EXPIRED)
}

private fun ClaimState.onCallerGone(): ClaimTransition = when (stage) {
    is ClaimStage.Choosing, is ClaimStage.Claiming -> copy(callerGone = true).release(AbandonCall)
    is ClaimStage.LookingUp, is ClaimStage.Resolving -> copy(callerGone = true).tell(AbandonCall)
    else -> copy(callerGone = true).unchanged()
}

internal fun unknownRefusal(message: String) = RefuseCall(Refusal.MAY_HAVE_RUN, "$message; check before repeating", 0)

private val EXPIRED =
    RefuseCall(Refusal.NOT_RUN, "the deadline passed before the call was sent; allow more time", RETRY_AFTER_MS)

/** A call proved not to have begun under three claims is refused, so that commits for one call are bounded. */
private const val MAX_GENERATIONS = 3
