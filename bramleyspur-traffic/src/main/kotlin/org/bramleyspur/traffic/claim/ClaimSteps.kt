/*
 * Steps of the claim state machine that send an order, and the handling of a resend whose key another request holds.
 */
package org.bramleyspur.traffic.claim

import org.bramleyspur.core.model.Refusal
import org.bramleyspur.core.model.RequestId
import org.bramleyspur.traffic.admission.LookupState

internal fun ClaimState.unchanged(): ClaimTransition = ClaimTransition(this, emptyList())

/** Asks for a target; the claim for it belongs to the next generation. */
internal fun ClaimState.choose(): ClaimTransition =
    ClaimTransition(copy(stage = ClaimStage.Choosing), listOf(ChooseTarget(excluded)))

internal fun ClaimState.claim(target: ClaimTarget): ClaimTransition {
    val order = orders + 1
    val next = copy(
        stage = ClaimStage.Claiming(target),
        generation = generation + 1,
        orders = order,
        since = order,
    )
    return ClaimTransition(next, listOf(SendClaim(order, next.claimId, target, delayMs = 0)))
}

internal fun ClaimState.claimAgain(target: ClaimTarget): ClaimTransition =
    ClaimTransition(copy(orders = orders + 1), listOf(SendClaim(orders + 1, claimId, target, RESEND_DELAY_MS)))

internal fun ClaimState.execute(target: ClaimTarget): ClaimTransition =
    ClaimTransition(copy(stage = ClaimStage.Executing(target)), listOf(Execute(claimId, target)))

/** Records an outcome; the caller is told at once when there is no answer to wait for or no time left. */
internal fun ClaimState.record(outcome: RecordOutcome, then: AfterRecord): ClaimTransition {
    val stage = ClaimStage.Recording(outcome, then)
    val sent = sendRecord(stage, claimId, outcome)
    if (outcome != RecordOutcome.Unknown && !deadlinePassed) return sent
    val told = sent.state.tellWhileRecording(stage)
    return ClaimTransition(told.state, sent.effects + told.effects)
}

internal fun ClaimState.notRun(refusal: RefuseCall): ClaimTransition =
    record(RecordOutcome.NotRun, AfterRecord.ClaimAgain(refusal))

/** Tells the caller and goes on recording. An unrecorded answer is not returned, since a resend would not get it. */
internal fun ClaimState.tellWhileRecording(stage: ClaimStage.Recording): ClaimTransition {
    val ending = when (val then = stage.then) {
        is AfterRecord.Nothing -> return unchanged()
        is AfterRecord.ClaimAgain -> then.refusal
        is AfterRecord.Tell -> then.ending as? RefuseCall ?: unknownRefusal(NOT_RECORDED_MESSAGE)
    }
    return ClaimTransition(copy(stage = stage.copy(then = AfterRecord.Nothing)), tell(ending).effects)
}

internal fun ClaimState.resendRecord(request: RequestId, outcome: RecordOutcome): ClaimTransition {
    if (orders - since >= MAX_RESENDS) return giveUpRecord()
    val order = orders + 1
    return ClaimTransition(copy(orders = order), listOf(SendRecord(order, request, outcome, RESEND_DELAY_MS)))
}

private fun ClaimState.giveUpRecord(): ClaimTransition = when (val stage = stage) {
    is ClaimStage.Recording ->
        ClaimTransition(copy(stage = ClaimStage.Ended), tellWhileRecording(stage).effects)

    else -> tell(TellInProgress(RETRY_AFTER_MS))
}

private fun ClaimState.sendRecord(stage: ClaimStage, request: RequestId, outcome: RecordOutcome): ClaimTransition {
    val order = orders + 1
    val next = copy(stage = stage, orders = order, since = order)
    return ClaimTransition(next, listOf(SendRecord(order, request, outcome, delayMs = 0)))
}

internal fun ClaimState.tell(ending: ClaimEnding): ClaimTransition =
    ClaimTransition(copy(stage = ClaimStage.Ended), listOf(if (callerGone) AbandonCall else ending))

/** Ends before an execution; a claim that may have been committed is released without waiting. */
internal fun ClaimState.release(ending: ClaimEnding): ClaimTransition {
    val ended = tell(ending)
    if (stage !is ClaimStage.Claiming) return ended
    val record = SendRecord(orders + 1, claimId, RecordOutcome.NotRun, delayMs = 0)
    return ClaimTransition(ended.state.copy(orders = orders + 1), listOf(record) + ended.effects)
}

/** Another request holds the claim; its agent is asked without disturbing a call that is on its way. */
internal fun ClaimState.resend(holder: ClaimHolder): ClaimTransition = ClaimTransition(
    copy(stage = ClaimStage.LookingUp(holder, cancelled = false)),
    listOf(LookUpHolder(holder, cancel = false, delayMs = 0)),
)

internal fun ClaimState.onHolderFound(event: HolderFound): ClaimTransition {
    val stage = stage as? ClaimStage.LookingUp ?: return unchanged()
    if (!stage.awaits(event.lookup)) return unchanged()
    val sameRun = event.incarnation == stage.holder.target.incarnation
    return when {
        !sameRun -> resolve(stage.holder, RecordOutcome.Unknown)
        event.state == LookupState.RUNNING -> tell(TellInProgress(RETRY_AFTER_MS))
        !stage.cancelled -> lookUpAgain(stage.holder)
        event.state == LookupState.NOT_BEGUN -> resolve(stage.holder, RecordOutcome.NotRun)
        else -> resolve(stage.holder, RecordOutcome.Unknown)
    }
}

internal fun ClaimState.onHolderUnreachable(event: HolderUnreachable): ClaimTransition {
    val stage = stage as? ClaimStage.LookingUp ?: return unchanged()
    if (!stage.awaits(event.lookup)) return unchanged()
    return tell(RefuseCall(Refusal.MAY_HAVE_RUN, "the agent that holds the call does not answer", RETRY_AFTER_MS))
}

/** A late answer to a lookup that cancelled nothing proves nothing. */
private fun ClaimStage.LookingUp.awaits(lookup: LookUpHolder) = lookup.holder == holder && lookup.cancel == cancelled

internal fun ClaimState.resolve(holder: ClaimHolder, outcome: RecordOutcome): ClaimTransition =
    sendRecord(ClaimStage.Resolving(holder, outcome), holder.request, outcome)

private fun ClaimState.lookUpAgain(holder: ClaimHolder): ClaimTransition = ClaimTransition(
    copy(stage = ClaimStage.LookingUp(holder, cancelled = true)),
    listOf(LookUpHolder(holder, cancel = true, HOLDER_DELAY_MS)),
)

/** Shorter than a leader change, so that a new leader is found early; each resend is one message. */
internal const val RESEND_DELAY_MS = 200L

/** One second is the smallest value that the header `Retry-After` can state. */
internal const val RETRY_AFTER_MS = 1000L

private const val NOT_RECORDED_MESSAGE = "the outcome was not recorded in time"

/** Resends for 60 s, which outlasts a leader change and the loss of one more control instance. */
private const val MAX_RESENDS = 300

/** Time for the holder's call to reach its agent, and for its answer to be recorded across a leader change (2 s). */
private const val HOLDER_DELAY_MS = 2000L
