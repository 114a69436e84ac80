/*
 * Steps of the claim state machine that send a claim or record, and the handling of a request whose key another request
 * holds.
 */
package org.bramleyspur.traffic.claim

import org.bramleyspur.core.model.Refusal
import org.bramleyspur.core.model.RequestId
import org.bramleyspur.traffic.admission.LookupState

internal fun ClaimState.unchanged(): ClaimTransition = ClaimTransition(this, emptyList())

/** Requests a target, which the next claim will name. */
internal fun ClaimState.chooseTarget(): ClaimTransition =
    ClaimTransition(copy(stage = ClaimStage.Choosing), listOf(ChooseTarget(excluded)))

internal fun ClaimState.sendClaim(target: ClaimTarget): ClaimTransition {
    val sequence = lastSequence + 1
    val next = copy(
        stage = ClaimStage.Claiming(target),
        claimNumber = claimNumber + 1,
        lastSequence = sequence,
        firstStageSequence = sequence,
    )
    return ClaimTransition(next, listOf(SendClaim(sequence, next.claimId, target, delayMs = 0)))
}

internal fun ClaimState.resendClaim(target: ClaimTarget): ClaimTransition = ClaimTransition(
    copy(lastSequence = lastSequence + 1),
    listOf(SendClaim(lastSequence + 1, claimId, target, RESEND_DELAY_MS)),
)

internal fun ClaimState.startExecution(target: ClaimTarget): ClaimTransition =
    ClaimTransition(copy(stage = ClaimStage.Executing(target)), listOf(Execute(claimId, target)))

/** Records an outcome; responds to the caller at once when the outcome is unknown or the deadline has passed. */
internal fun ClaimState.recordOutcome(outcome: RecordOutcome, then: AfterRecord): ClaimTransition {
    val stage = ClaimStage.Recording(outcome, then)
    val sent = sendRecord(stage, claimId, outcome)
    if (outcome != RecordOutcome.Unknown && !deadlinePassed) return sent
    val finished = sent.state.finishWhileRecording(stage)
    return ClaimTransition(finished.state, sent.effects + finished.effects)
}

internal fun ClaimState.recordNotRun(refusal: RefuseCall): ClaimTransition =
    recordOutcome(RecordOutcome.NotRun, AfterRecord.RetryClaim(refusal))

/**
 * Responds to the caller and continues recording. An unrecorded response is not returned, because a repeated call would
 * not get it.
 */
internal fun ClaimState.finishWhileRecording(stage: ClaimStage.Recording): ClaimTransition {
    val ending = when (val then = stage.then) {
        is AfterRecord.None -> return unchanged()
        is AfterRecord.RetryClaim -> then.refusal
        is AfterRecord.Finish -> then.ending as? RefuseCall ?: unknownRefusal(NOT_RECORDED_MESSAGE)
    }
    return ClaimTransition(copy(stage = stage.copy(then = AfterRecord.None)), finish(ending).effects)
}

internal fun ClaimState.resendRecord(request: RequestId, outcome: RecordOutcome): ClaimTransition {
    if (lastSequence - firstStageSequence >= MAX_RESENDS) return abandonRecord()
    val sequence = lastSequence + 1
    return ClaimTransition(
        copy(lastSequence = sequence),
        listOf(SendRecord(sequence, request, outcome, RESEND_DELAY_MS)),
    )
}

private fun ClaimState.abandonRecord(): ClaimTransition = when (val stage = stage) {
    is ClaimStage.Recording ->
        ClaimTransition(copy(stage = ClaimStage.Ended), finishWhileRecording(stage).effects)

    else -> finish(RefuseInProgress(RETRY_AFTER_MS))
}

private fun ClaimState.sendRecord(stage: ClaimStage, request: RequestId, outcome: RecordOutcome): ClaimTransition {
    val sequence = lastSequence + 1
    val next = copy(stage = stage, lastSequence = sequence, firstStageSequence = sequence)
    return ClaimTransition(next, listOf(SendRecord(sequence, request, outcome, delayMs = 0)))
}

internal fun ClaimState.finish(ending: ClaimEnding): ClaimTransition =
    ClaimTransition(copy(stage = ClaimStage.Ended), listOf(if (callerDisconnected) AbandonCall else ending))

/** Ends the call before its execution; releases a claim that may be committed, without waiting for the reply. */
internal fun ClaimState.releaseClaim(ending: ClaimEnding): ClaimTransition {
    val ended = finish(ending)
    if (stage !is ClaimStage.Claiming) return ended
    val record = SendRecord(lastSequence + 1, claimId, RecordOutcome.NotRun, delayMs = 0)
    return ClaimTransition(ended.state.copy(lastSequence = lastSequence + 1), listOf(record) + ended.effects)
}

/** Looks up the attempt of the claim's holder, at first without cancelling a call that is still being sent. */
internal fun ClaimState.lookUpHolder(holder: ClaimHolder): ClaimTransition = ClaimTransition(
    copy(stage = ClaimStage.LookingUp(holder, cancelled = false)),
    listOf(LookUpHolder(holder, cancel = false, delayMs = 0)),
)

internal fun ClaimState.onHolderFound(event: HolderFound): ClaimTransition {
    val stage = stage as? ClaimStage.LookingUp ?: return unchanged()
    if (!stage.awaits(event.lookup)) return unchanged()
    val sameIncarnation = event.incarnation == stage.holder.target.incarnation
    return when {
        !sameIncarnation -> recordHolderOutcome(stage.holder, RecordOutcome.Unknown)
        event.state == LookupState.RUNNING -> finish(RefuseInProgress(RETRY_AFTER_MS))
        !stage.cancelled -> cancelAtHolder(stage.holder)
        event.state == LookupState.NOT_BEGUN -> recordHolderOutcome(stage.holder, RecordOutcome.NotRun)
        else -> recordHolderOutcome(stage.holder, RecordOutcome.Unknown)
    }
}

internal fun ClaimState.onHolderUnreachable(event: HolderUnreachable): ClaimTransition {
    val stage = stage as? ClaimStage.LookingUp ?: return unchanged()
    if (!stage.awaits(event.lookup)) return unchanged()
    return finish(RefuseCall(Refusal.MAY_HAVE_RUN, "the agent that holds the call does not answer", RETRY_AFTER_MS))
}

/** A late response to the lookup without cancel is ignored, because the attempt may begin after it. */
private fun ClaimStage.LookingUp.awaits(lookup: LookUpHolder) = lookup.holder == holder && lookup.cancel == cancelled

internal fun ClaimState.recordHolderOutcome(holder: ClaimHolder, outcome: RecordOutcome): ClaimTransition =
    sendRecord(ClaimStage.Resolving(holder, outcome), holder.request, outcome)

private fun ClaimState.cancelAtHolder(holder: ClaimHolder): ClaimTransition = ClaimTransition(
    copy(stage = ClaimStage.LookingUp(holder, cancelled = true)),
    listOf(LookUpHolder(holder, cancel = true, HOLDER_CANCEL_DELAY_MS)),
)

/** Shorter than a leader change, so that a new leader is found soon; each resend is one message. */
internal const val RESEND_DELAY_MS = 200L

/** One second is the smallest value that the header `Retry-After` can state. */
internal const val RETRY_AFTER_MS = 1000L

private const val NOT_RECORDED_MESSAGE = "the outcome was not recorded in time"

/** 60 s of resends, longer than a leader change and the loss of one more control instance. */
private const val MAX_RESENDS = 300

/** Allows the holder's call to reach its agent, and its response to be recorded across a leader change (2 s). */
private const val HOLDER_CANCEL_DELAY_MS = 2000L
