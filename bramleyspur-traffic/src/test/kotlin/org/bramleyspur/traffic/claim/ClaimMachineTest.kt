package org.bramleyspur.traffic.claim

import org.bramleyspur.core.model.Incarnation
import org.bramleyspur.core.model.RequestId
import org.bramleyspur.traffic.admission.LookupState
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Faults at each step of a keyed call: accepted, claimed, executed, answered, recorded. */
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
    private val retried = releasing + RecordAnswered(2, recorded = true)
    private val lookingUp = claiming + ClaimAnswered(1, ClaimReply.InProgress(holder))
    private val cancelled = lookingUp + HolderFound(lookup, LookupState.NOT_BEGUN, target.incarnation)

    private fun describe(effects: List<ClaimEffect>): String = effects.joinToString(" ") { effect ->
        when (effect) {
            is ChooseTarget -> "choose"
            is SendClaim -> "claim:${effect.request}"
            is Execute -> "execute:${effect.request}"
            is SendRecord -> "record:${effect.request}:${effect.outcome.javaClass.simpleName}"
            is LookUpHolder -> if (effect.cancel) "cancelling lookup" else "lookup"
            is RefuseCall -> effect.kind.wireName
            else -> effect.javaClass.simpleName
        }
    }

    private fun expect(vararg cases: Pair<List<ClaimEvent>, String>) = cases.forEach { (events, expected) ->
        val last = events.fold(acceptCall(RequestId("r"))) { at, event -> at.state.on(event) }
        expectThat(describe(last.effects)).describedAs(events.last().toString()).isEqualTo(expected)
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

    /** Guards against a second run when a reply is lost in a leader change. */
    @Test
    fun `sends a claim or record again under the same identity`() = expect(
        claiming + ClaimAnswered(1, ClaimReply.Lost) to "claim:r",
        claiming + ClaimAnswered(1, ClaimReply.Lost) + ClaimAnswered(1, ClaimReply.Granted) to "execute:r",
        claiming + ClaimAnswered(1, ClaimReply.InProgress(ClaimHolder(RequestId("r"), target))) to "execute:r",
        executing + ClaimAnswered(1, ClaimReply.Granted) to "",
        recording + RecordLost(2) to "record:r:Answered",
        recording + RecordLost(2) + RecordAnswered(2, recorded = true) to "ReturnAnswer",
    )

    /** Guards against a claim that is moved to another agent without proof, or under an identity of late messages. */
    @Test
    fun `claims for another agent under another identity after a proof`() = expect(
        releasing to "record:r:NotRun",
        retried to "choose",
        retried + TargetChosen(target) to "claim:r~2",
        retried + TargetChosen(target) + ClaimAnswered(1, ClaimReply.Granted) to "",
        retried + TargetChosen(target) + ClaimAnswered(3, ClaimReply.InProgress(ClaimHolder(RequestId("r"), target))) to
            "record:r:NotRun",
        retried + NoTarget(100) to "not_run",
        releasing + ClaimDeadline to "not_run",
    )

    /** Guards against a second run by a repeated request, and against a claim that is never released. */
    @Test
    fun `answers a repeated request by the state of the first one`() = expect(
        claiming + ClaimAnswered(1, ClaimReply.Answered(answer)) to "ReplayAnswer",
        claiming + ClaimAnswered(1, ClaimReply.DigestMismatch) to "TellDigestMismatch",
        claiming + ClaimAnswered(1, ClaimReply.UnknownOutcome) to "may_have_run",
        lookingUp to "lookup",
        lookingUp + HolderFound(lookup, LookupState.RUNNING, target.incarnation) to "TellInProgress",
        lookingUp + HolderFound(lookup, LookupState.NOT_BEGUN, Incarnation("new")) to "record:other:Unknown",
        lookingUp + HolderUnreachable(lookup) to "may_have_run",
        cancelled to "cancelling lookup",
        cancelled + HolderFound(lookup, LookupState.NOT_BEGUN, target.incarnation) to "",
        cancelled + HolderFound(cancelling, LookupState.NOT_BEGUN, target.incarnation) to "record:other:NotRun",
        cancelled + HolderFound(cancelling, LookupState.ENDED, target.incarnation) to "record:other:Unknown",
        cancelled + HolderFound(cancelling, LookupState.NOT_BEGUN, target.incarnation) + RecordAnswered(2, true) to
            "choose",
        cancelled + ClaimDeadline to "TellInProgress",
    )

    /** Guards against a call that runs after its caller got `not_run` or has disconnected. */
    @Test
    fun `ends before the execution without a run`() = expect(
        claiming + ClaimDeadline to "record:r:NotRun not_run",
        claiming + ClaimDeadline + ClaimAnswered(1, ClaimReply.Granted) to "",
        claiming + ClaimCallerGone to "record:r:NotRun AbandonCall",
        executing + ClaimCallerGone to "",
        recording + ClaimCallerGone + RecordAnswered(2, recorded = true) to "AbandonCall",
    )
}
