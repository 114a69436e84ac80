package org.bramleyspur.traffic.claim

import org.bramleyspur.core.model.Incarnation
import org.bramleyspur.core.model.RequestId
import org.bramleyspur.traffic.admission.LookupState
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Faults at each step of a keyed call: accepted, claimed, executed, responded, recorded. */
class ClaimMachineTest {
    private val target = ClaimTarget(Incarnation("agent"), "127.0.0.1:1")
    private val holder = ClaimHolder(RequestId("other"), target)
    private val response = RecordedResponse(200, "text/plain", ByteArray(2), 2)
    private val lookup = LookUpHolder(holder, cancel = false, delayMs = 0)
    private val cancellingLookup = LookUpHolder(holder, cancel = true, delayMs = 2000)

    private val claiming = listOf(TargetChosen(target))
    private val executing = claiming + ClaimResponseReceived(1, ClaimReply.Granted)
    private val recording = executing + ExecutionEnded(ExecutionResult.Responded(response))
    private val releasing = executing + ExecutionEnded(ExecutionResult.NotRun("left", 100))
    private val retried = releasing + RecordResponseReceived(2, recorded = true)
    private val lookingUp = claiming + ClaimResponseReceived(1, ClaimReply.InProgress(holder))
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
        val last = events.fold(acceptCall(RequestId("r"))) { transition, event -> transition.state.on(event) }
        expectThat(describe(last.effects)).describedAs(events.last().toString()).isEqualTo(expected)
    }

    /** Guards against a call that is sent without a claim, and against a response that is returned unrecorded. */
    @Test
    fun `claims, executes, records, then responds`() = expect(
        claiming to "claim:r",
        executing to "execute:r",
        recording to "record:r:Responded",
        recording + RecordResponseReceived(2, recorded = true) to "ReturnResponse",
        recording + RecordResponseReceived(2, recorded = false) to "may_have_run",
        recording + ClaimDeadline to "may_have_run",
        executing + ResponseTooLarge(response) to "record:r:Responded",
        executing + ExecutionEnded(
            ExecutionResult.Responded(response, failed = true),
        ) + RecordResponseReceived(2, true) to
            "ran_and_failed",
        executing + ExecutionEnded(ExecutionResult.Unknown("lost")) to "record:r:Unknown may_have_run",
    )

    /** Guards against a second run when a reply is lost in a leader change. */
    @Test
    fun `resends a claim or record under the same identity`() = expect(
        claiming + ClaimResponseReceived(1, ClaimReply.Lost) to "claim:r",
        claiming + ClaimResponseReceived(1, ClaimReply.Lost) + ClaimResponseReceived(1, ClaimReply.Granted) to
            "execute:r",
        claiming + ClaimResponseReceived(1, ClaimReply.InProgress(ClaimHolder(RequestId("r"), target))) to "execute:r",
        executing + ClaimResponseReceived(1, ClaimReply.Granted) to "",
        recording + RecordLost(2) to "record:r:Responded",
        recording + RecordLost(2) + RecordResponseReceived(2, recorded = true) to "ReturnResponse",
    )

    /** Guards against a claim that is moved to another agent without proof, or under an identity of late messages. */
    @Test
    fun `claims for another agent under another identity after a proof`() = expect(
        releasing to "record:r:NotRun",
        retried to "choose",
        retried + TargetChosen(target) to "claim:r~2",
        retried + TargetChosen(target) + ClaimResponseReceived(1, ClaimReply.Granted) to "",
        retried + TargetChosen(target) +
            ClaimResponseReceived(3, ClaimReply.InProgress(ClaimHolder(RequestId("r"), target))) to
            "record:r:NotRun",
        retried + NoTarget(100) to "not_run",
        releasing + ClaimDeadline to "not_run",
    )

    /** Guards against a second run by a repeated request, and against a claim that is never released. */
    @Test
    fun `handles a repeated request by the state of the first one`() = expect(
        claiming + ClaimResponseReceived(1, ClaimReply.Responded(response)) to "ReplayResponse",
        claiming + ClaimResponseReceived(1, ClaimReply.DigestMismatch) to "RefuseDigestMismatch",
        claiming + ClaimResponseReceived(1, ClaimReply.UnknownOutcome) to "may_have_run",
        lookingUp to "lookup",
        lookingUp + HolderFound(lookup, LookupState.RUNNING, target.incarnation) to "RefuseInProgress",
        lookingUp + HolderFound(lookup, LookupState.NOT_BEGUN, Incarnation("new")) to "record:other:Unknown",
        lookingUp + HolderUnreachable(lookup) to "may_have_run",
        cancelled to "cancelling lookup",
        cancelled + HolderFound(lookup, LookupState.NOT_BEGUN, target.incarnation) to "",
        cancelled + HolderFound(cancellingLookup, LookupState.NOT_BEGUN, target.incarnation) to "record:other:NotRun",
        cancelled + HolderFound(cancellingLookup, LookupState.ENDED, target.incarnation) to "record:other:Unknown",
        cancelled + HolderFound(
            cancellingLookup,
            LookupState.NOT_BEGUN,
            target.incarnation,
        ) + RecordResponseReceived(2, true) to
            "choose",
        cancelled + ClaimDeadline to "RefuseInProgress",
    )

    /** Guards against a call that runs after its caller got `not_run` or has disconnected. */
    @Test
    fun `ends before the execution without a run`() = expect(
        claiming + ClaimDeadline to "record:r:NotRun not_run",
        claiming + ClaimDeadline + ClaimResponseReceived(1, ClaimReply.Granted) to "",
        claiming + ClaimCallerDisconnected to "record:r:NotRun AbandonCall",
        executing + ClaimCallerDisconnected to "",
        recording + ClaimCallerDisconnected + RecordResponseReceived(2, recorded = true) to "AbandonCall",
    )
}
