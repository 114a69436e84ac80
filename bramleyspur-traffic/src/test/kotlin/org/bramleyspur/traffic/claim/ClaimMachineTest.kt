package org.bramleyspur.traffic.claim

import org.bramleyspur.core.model.Incarnation
import org.bramleyspur.core.model.RequestId
import org.bramleyspur.traffic.admission.LookupState
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Every fault at every step of a keyed call: accepted, claimed, executed, answered, recorded. */
class ClaimMachineTest {
    private val target = ClaimTarget(Incarnation("agent"), "127.0.0.1:1")
    private val holder = ClaimHolder(RequestId("other"), target)
    private val answer = RecordedAnswer(200, "text/plain", ByteArray(2), 2)
    private val lookup = LookUpHolder(holder, cancel = false, delayMs = 0)
    private val cancelling = LookUpHolder(holder, cancel = true, delayMs = 2000)

    private val claiming = listOf(TargetChosen(target))
    private val executing = claiming + ClaimAnswered(1, ClaimReply.Granted)
    private val recording = executing + ExecutionEnded(ExecutionResult.Answered(answer))
    private val releasing = executing + ExecutionEnded(ExecutionResult.NotRun("left", 100))
    private val again = releasing + RecordAnswered(2, recorded = true)
    private val lookingUp = claiming + ClaimAnswered(1, ClaimReply.InProgress(holder))
    private val cancelled = lookingUp + HolderFound(lookup, LookupState.NOT_BEGUN, target.incarnation)

    private fun words(effects: List<ClaimEffect>): String = effects.joinToString(" ") { effect ->
        when (effect) {
            is ChooseTarget -> "choose"
            is SendClaim -> "claim:${effect.request}"
            is Execute -> "execute:${effect.request}"
            is SendRecord -> "record:${effect.request}:${effect.outcome.javaClass.simpleName}"
            is LookUpHolder -> if (effect.cancel) "bar" else "lookup"
            is RefuseCall -> effect.kind.wire
            else -> effect.javaClass.simpleName
        }
    }

    private fun expect(vararg cases: Pair<List<ClaimEvent>, String>) = cases.forEach { (events, words) ->
        val last = events.fold(acceptCall(RequestId("r"))) { at, event -> at.state.on(event) }
        expectThat(words(last.effects)).describedAs(events.last().toString()).isEqualTo(words)
    }

    /** Guards against a call that is sent without a claim, and against an answer that is returned unrecorded. */
    @Test
    fun `claims, executes, records, then answers`() = expect(
        claiming to "claim:r",
        executing to "execute:r",
        recording to "record:r:Answered",
        recording + RecordAnswered(2, recorded = true) to "ReturnAnswer",
        recording + RecordAnswered(2, recorded = false) to "may_have_run",
        recording + ClaimDeadline to "may_have_run",
        executing + AnswerTooLarge(answer) to "record:r:Answered",
        executing + ExecutionEnded(ExecutionResult.Answered(answer, failed = true)) + RecordAnswered(2, true) to
            "ran_and_failed",
        executing + ExecutionEnded(ExecutionResult.Unknown("lost")) to "record:r:Unknown may_have_run",
    )

    /** Guards against a second run after a leader change that lost a reply. */
    @Test
    fun `sends a claim or record again under the same identity`() = expect(
        claiming + ClaimAnswered(1, ClaimReply.Lost) to "claim:r",
        claiming + ClaimAnswered(1, ClaimReply.Lost) + ClaimAnswered(1, ClaimReply.Granted) to "execute:r",
        claiming + ClaimAnswered(1, ClaimReply.InProgress(ClaimHolder(RequestId("r"), target))) to "execute:r",
        executing + ClaimAnswered(1, ClaimReply.Granted) to "",
        recording + RecordLost(2) to "record:r:Answered",
        recording + RecordLost(2) + RecordAnswered(2, recorded = true) to "ReturnAnswer",
    )

    /** Guards against a claim that is re-targeted without a proof, or under an identity that old messages name. */
    @Test
    fun `claims for another agent under another identity after a proof`() = expect(
        releasing to "record:r:NotRun",
        again to "choose",
        again + TargetChosen(target) to "claim:r~2",
        again + TargetChosen(target) + ClaimAnswered(1, ClaimReply.Granted) to "",
        again + TargetChosen(target) + ClaimAnswered(3, ClaimReply.InProgress(ClaimHolder(RequestId("r"), target))) to
            "record:r:NotRun",
        again + NoTarget(100) to "not_run",
        releasing + ClaimDeadline to "not_run",
    )

    /** Guards against a second run by a resend, and against a claim that stays held for ever. */
    @Test
    fun `answers a resend by what is known of the first request`() = expect(
        claiming + ClaimAnswered(1, ClaimReply.Answered(answer)) to "ReplayAnswer",
        claiming + ClaimAnswered(1, ClaimReply.DigestMismatch) to "TellDigestMismatch",
        claiming + ClaimAnswered(1, ClaimReply.UnknownOutcome) to "may_have_run",
        lookingUp to "lookup",
        lookingUp + HolderFound(lookup, LookupState.RUNNING, target.incarnation) to "TellInProgress",
        lookingUp + HolderFound(lookup, LookupState.NOT_BEGUN, Incarnation("new")) to "record:other:Unknown",
        lookingUp + HolderUnreachable(lookup) to "may_have_run",
        cancelled to "bar",
        cancelled + HolderFound(lookup, LookupState.NOT_BEGUN, target.incarnation) to "",
        cancelled + HolderFound(cancelling, LookupState.NOT_BEGUN, target.incarnation) to "record:other:NotRun",
        cancelled + HolderFound(cancelling, LookupState.ENDED, target.incarnation) to "record:other:Unknown",
        cancelled + HolderFound(cancelling, LookupState.NOT_BEGUN, target.incarnation) + RecordAnswered(2, true) to
            "choose",
        cancelled + ClaimDeadline to "TellInProgress",
    )

    /** Guards against a call that runs for a caller who was told that it was not run, or who has left. */
    @Test
    fun `ends before the execution without a run`() = expect(
        claiming + ClaimDeadline to "record:r:NotRun not_run",
        claiming + ClaimDeadline + ClaimAnswered(1, ClaimReply.Granted) to "",
        claiming + ClaimCallerGone to "record:r:NotRun AbandonCall",
        executing + ClaimCallerGone to "",
        recording + ClaimCallerGone + RecordAnswered(2, recorded = true) to "AbandonCall",
    )
}
