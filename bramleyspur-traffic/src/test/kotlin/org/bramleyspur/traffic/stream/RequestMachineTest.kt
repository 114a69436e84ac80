package org.bramleyspur.traffic.stream

import org.bramleyspur.core.model.Incarnation
import org.bramleyspur.core.model.Refusal
import org.bramleyspur.traffic.admission.LookupState
import org.bramleyspur.traffic.admission.RefusalReason
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertAll
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/**
 * Every fault at every step of a request. The faults: kill (broken or lost connection), freeze (deadline without an
 * answer), cut (connection lost), delay (late events), loss (missing token), drain (refusal), and the caller leaving.
 */
class RequestMachineTest {
    private enum class Step(val events: List<RequestEvent>) {
        ACCEPTED(emptyList()),
        SENT(listOf(AttemptSent(1, AGENT, "v1"))),
        BEGUN(SENT.events + AttemptBegun(1)),
        HALF(BEGUN.events + AttemptPiece(1, 0, "a")),
        TOKENS(HALF.events + AttemptPiece(1, 1, "b")),
        ANSWERED(TOKENS.events + AttemptEnd(1, "stop", 3, 2)),
    }

    private val stream = RequestFacts(RequestKind.GENERATION, idempotent = true, streaming = true)
    private val once = stream.copy(idempotent = false)

    private fun after(facts: RequestFacts, events: List<RequestEvent>): Transition =
        events.fold(acceptRequest(facts)) { at, event -> at.state.on(event) }

    /** The effects as short words, so that a table stays readable. */
    private fun words(effects: List<RequestEffect>): String = effects.joinToString(" ") { effect ->
        when (effect) {
            is StartAttempt ->
                "start${effect.attempt}@${effect.resumePosition}" +
                    (effect.version?.let { ":$it" } ?: "")
            is CancelAttempt -> "cancel${effect.attempt}"
            is LookupAttempt -> "lookup${effect.attempt}"
            is StartGrace -> "grace"
            is DeliverToken -> effect.token
            is ForwardHead -> "head"
            is ForwardBody -> "body"
            is Finish -> "finish"
            is Refuse -> "refuse:${effect.kind.wire}"
            is FailStream -> "fail:${effect.kind.wire}"
            is Abandon -> "abandon"
        }
    }

    private fun table(facts: RequestFacts, event: RequestEvent, vararg expected: Pair<Step, String>) {
        assertAll(
            expected.map { (step, words) ->
                {
                    val effects = after(facts, step.events).state.on(event).effects
                    expectThat(words(effects)).describedAs("$event at $step").isEqualTo(words)
                }
            },
        )
    }

    /** Guards against a lost answer when a replica or connection is lost, and against a resume at another token. */
    @Test
    fun `continues an idempotent generation elsewhere`() {
        val kill = arrayOf(
            Step.BEGUN to "start2@0",
            Step.HALF to "start2@1:v1",
            Step.TOKENS to "start2@2:v1",
            Step.ANSWERED to "",
        )
        table(stream, AttemptBroken(1, failed = false), *kill)
        table(stream, ConnectionLost(1, written = true), Step.SENT to "start2@0", *kill)
        table(stream, AttemptPiece(1, 3, "d"), Step.HALF to "cancel1 start2@1:v1", Step.ANSWERED to "")
        table(stream, AttemptEnd(1, "stop", 3, 3), Step.TOKENS to "cancel1 start2@2:v1")
    }

    /** Guards against a second begin of a request that must run once. */
    @Test
    fun `attempts a non-idempotent request again only with a proof`() {
        table(once, ConnectionLost(1, written = false), Step.SENT to "start2@0")
        table(once, AttemptRefused(1, RefusalReason.LEAVING), Step.SENT to "start2@0")
        table(
            once,
            ConnectionLost(1, written = true),
            Step.SENT to "lookup1",
            Step.BEGUN to "refuse:may_have_run",
            Step.HALF to "fail:may_have_run",
        )
        table(
            once,
            AttemptBroken(1, failed = true),
            Step.BEGUN to "refuse:ran_and_failed",
            Step.HALF to "fail:ran_and_failed",
        )
        table(once, AttemptRefused(1, RefusalReason.DUPLICATE), Step.SENT to "lookup1")
    }

    /** Guards against a proof taken from another agent run, or from an agent that has begun the attempt. */
    @Test
    fun `takes a lookup as proof only from the same agent run`() {
        val lost = Step.SENT.events + ConnectionLost(1, written = true)
        val cases = listOf(
            LookupAnswered(1, LookupState.NOT_BEGUN, sameIncarnation = true) to "start2@0",
            LookupAnswered(1, LookupState.NOT_BEGUN, sameIncarnation = false) to "refuse:may_have_run",
            LookupAnswered(1, LookupState.RUNNING, sameIncarnation = true) to "refuse:may_have_run",
            LookupFailed(1) to "lookup1",
            AttemptBegun(1) to "refuse:may_have_run",
        )
        cases.forEach { (event, words) -> expectThat(words(after(once, lost + event).effects)).isEqualTo(words) }
        val failed = List(5) { LookupFailed(1) }
        expectThat(words(after(once, lost + failed).effects)).isEqualTo("refuse:may_have_run")
    }

    /** Guards against a false `not_run` when an agent begins an attempt that it has refused. */
    @Test
    fun `believes a begin more than an earlier proof`() {
        val refused = Step.SENT.events + AttemptRefused(1, RefusalReason.LEAVING) + AttemptBegun(1)
        val ended = after(stream, refused + AttemptNotStarted(2, NotStartedReason.NO_ROUTE))
        expectThat(words(ended.effects)).isEqualTo("refuse:may_have_run")
    }

    /** Guards against a frozen agent that keeps the caller waiting, and against a false `not_run`. */
    @Test
    fun `ends truthfully at the deadline`() {
        table(
            stream,
            DeadlinePassed,
            Step.ACCEPTED to "refuse:not_run",
            Step.SENT to "cancel1 grace",
            Step.BEGUN to "cancel1 refuse:may_have_run",
            Step.HALF to "cancel1 fail:may_have_run",
            Step.ANSWERED to "",
        )
        val closing = Step.SENT.events + DeadlinePassed
        val cases = listOf(
            CancelConfirmed(1, began = false) to "refuse:not_run",
            CancelConfirmed(1, began = true) to "cancel1 refuse:may_have_run",
            AttemptRefused(1, RefusalReason.EXPIRED) to "refuse:not_run",
            AttemptPiece(1, 0, "a") to "cancel1 refuse:may_have_run",
            GraceEnded to "cancel1 refuse:may_have_run",
        )
        cases.forEach { (event, words) -> expectThat(words(after(stream, closing + event).effects)).isEqualTo(words) }
    }

    /** Guards against work for callers that have left, and against an unrecorded answer of a claimed call. */
    @Test
    fun `cancels when the caller leaves unless the answer is recorded`() {
        table(
            stream,
            CallerGone,
            Step.ACCEPTED to "abandon",
            Step.SENT to "cancel1 abandon",
            Step.HALF to "cancel1 abandon",
            Step.ANSWERED to "",
        )
        table(once.copy(finishWithoutCaller = true), CallerGone, Step.SENT to "", Step.BEGUN to "", Step.HALF to "")
    }

    /** Guards against text that is delivered twice, in another order, or from an attempt that was given up. */
    @Test
    fun `drops late, doubled and foreign pieces`() {
        val resumed = Step.HALF.events + AttemptBroken(1, failed = false) + AttemptSent(2, Incarnation("other"), "v1")
        val cases = listOf(
            AttemptPiece(1, 1, "late") to "",
            AttemptPiece(2, 0, "doubled") to "",
            AttemptPiece(2, 1, "b") to "b",
            AttemptEnd(1, "stop", 3, 1) to "",
            AttemptPiece(7, 1, "foreign") to "",
        )
        cases.forEach { (event, words) -> expectThat(words(after(stream, resumed + event).effects)).isEqualTo(words) }
    }

    /** Guards against a refusal that is given although another replica could serve, and against endless attempts. */
    @Test
    fun `bounds the attempts of a request`() {
        fun refusal(attempt: Int) =
            listOf(AttemptSent(attempt, AGENT), AttemptRefused(attempt, RefusalReason.QUEUE_FULL, 70))
        val refused = (1..4).flatMap { refusal(it) }
        expectThat(words(after(stream, refused.dropLast(2)).effects)).isEqualTo("start4@0")
        expectThat(after(stream, refused).effects.single()).isEqualTo(
            Refuse(Refusal.NOT_RUN, "the backend server refused the request (queue_full); send it again later", 70),
        )
    }

    /** Guards against a stream that ends although a replica returns before the deadline. */
    @Test
    fun `waits for a replica when a stream has begun`() {
        val broken = Step.HALF.events + AttemptBroken(1, failed = false)
        val waiting = after(stream, broken + AttemptNotStarted(2, NotStartedReason.NO_ROUTE, 100))
        expectThat(words(waiting.effects)).isEqualTo("start2@1:v1")
        expectThat(words(waiting.state.on(DeadlinePassed).effects)).isEqualTo("fail:may_have_run")
        expectThat(waiting.state.on(DeadlinePassed).state.mayWrite(2)).isEqualTo(false)
    }

    /** Guards against a broken body that looks complete, and against a retry after a part of it was forwarded. */
    @Test
    fun `forwards a call and fails it when it breaks`() {
        val call = RequestFacts(RequestKind.CALL, idempotent = true)
        val head = Step.BEGUN.events + AttemptHead(1, 200)
        val cases = listOf(
            head to "head",
            head + AttemptBody(1, last = true) to "body finish",
            head + AttemptBroken(1, failed = false) to "fail:may_have_run",
            Step.BEGUN.events + BodyReleased + AttemptBroken(1, failed = false) to "refuse:may_have_run",
            Step.BEGUN.events + AttemptBroken(1, failed = false) to "start2@0",
        )
        cases.forEach { (events, words) -> expectThat(words(after(call, events).effects)).isEqualTo(words) }
    }

    private companion object {
        val AGENT = Incarnation("agent")
    }
}
