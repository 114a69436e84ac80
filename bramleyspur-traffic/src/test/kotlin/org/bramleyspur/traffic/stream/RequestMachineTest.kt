package org.bramleyspur.traffic.stream

import org.bramleyspur.core.model.Incarnation
import org.bramleyspur.core.model.Refusal
import org.bramleyspur.traffic.admission.LookupState
import org.bramleyspur.traffic.admission.RefusalReason
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.assertAll
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/**
 * Faults at each step of a request: a killed agent (broken attempt or lost connection), a frozen one (deadline without
 * a response), a lost connection, late events, a missing token, a refusal, and a caller that disconnects.
 */
class RequestMachineTest {
    private enum class Step(val events: List<RequestEvent>) {
        ACCEPTED(emptyList()),
        SENT(listOf(AttemptSent(1, AGENT, "v1"))),
        BEGUN(SENT.events + AttemptBegun(1)),
        FIRST_TOKEN(BEGUN.events + AttemptToken(1, 0, "a")),
        ALL_TOKENS(FIRST_TOKEN.events + AttemptToken(1, 1, "b")),
        ANSWERED(ALL_TOKENS.events + AttemptEnd(1, "stop", 3, 2)),
    }

    private val stream = RequestFacts(RequestKind.GENERATION, idempotent = true, streaming = true)
    private val nonIdempotent = stream.copy(idempotent = false)

    private fun after(facts: RequestFacts, events: List<RequestEvent>): Transition =
        events.fold(acceptRequest(facts)) { transition, event -> transition.state.on(event) }

    /** Formats effects in short form; a start as `start<attempt>@<resume position>:<required version>`. */
    private fun describe(effects: List<RequestEffect>): String = effects.joinToString(" ") { effect ->
        when (effect) {
            is StartAttempt ->
                "start${effect.attempt}@${effect.resumePosition}" +
                    (effect.version?.let { ":$it" } ?: "")
            is CancelAttempt -> "cancel${effect.attempt}"
            is LookupAttempt -> "lookup${effect.attempt}"
            is StartCancelTimeout -> "timeout"
            is DeliverToken -> effect.token
            is ForwardHead -> "head"
            is ForwardBody -> "body"
            is Finish -> "finish"
            is Refuse -> "refuse:${effect.kind.wireName}"
            is FailStream -> "fail:${effect.kind.wireName}"
            is Abandon -> "abandon"
        }
    }

    private fun expectEffects(facts: RequestFacts, event: RequestEvent, vararg expected: Pair<Step, String>) {
        assertAll(
            expected.map { (step, description) ->
                {
                    val effects = after(facts, step.events).state.on(event).effects
                    expectThat(describe(effects)).describedAs("$event at $step").isEqualTo(description)
                }
            },
        )
    }

    /** Guards against a lost response when a replica or connection is lost, and against a resume at the wrong token. */
    @Test
    fun `continues an idempotent generation on another agent`() {
        val afterBegin = arrayOf(
            Step.BEGUN to "start2@0",
            Step.FIRST_TOKEN to "start2@1:v1",
            Step.ALL_TOKENS to "start2@2:v1",
            Step.ANSWERED to "",
        )
        expectEffects(stream, AttemptBroken(1, failed = false), *afterBegin)
        expectEffects(stream, ConnectionLost(1, written = true), Step.SENT to "start2@0", *afterBegin)
        expectEffects(stream, AttemptToken(1, 3, "d"), Step.FIRST_TOKEN to "cancel1 start2@1:v1", Step.ANSWERED to "")
        expectEffects(stream, AttemptEnd(1, "stop", 3, 3), Step.ALL_TOKENS to "cancel1 start2@2:v1")
    }

    /** Guards against an entry that keeps the tokens of a generation without end, and repeats it on other agents. */
    @TestFactory
    fun `ends a generation that exceeds its limit`() = listOf(
        "empty tokens" to 0,
        "short tokens" to 4,
        "tokens of 1 MiB" to 1024 * 1024,
    ).flatMap { (name, length) ->
        val ends = mapOf(stream to "fail:may_have_run", stream.copy(streaming = false) to "refuse:may_have_run")
        ends.map { (facts, ending) ->
            DynamicTest.dynamicTest("$name, streaming ${facts.streaming}") {
                val token = "a".repeat(length)
                val taken = (MAX_GENERATION_SIZE / (length + TOKEN_OVERHEAD)).toInt()
                val begun = after(facts, Step.BEGUN.events).state
                val full = (0 until taken).fold(begun) { state, position ->
                    val transition = state.on(AttemptToken(1, position, token))
                    check(transition.effects.single() is DeliverToken)
                    transition.state
                }
                val last = full.on(AttemptToken(1, taken, token))
                expectThat(describe(last.effects)).isEqualTo("cancel1 $ending")
                expectThat(last.state.on(AttemptToken(1, taken, token)).effects).isEqualTo(emptyList())
            }
        }
    }

    /** Guards against a second begin of a request that must not run twice. */
    @Test
    fun `retries a non-idempotent request only with proof`() {
        expectEffects(nonIdempotent, ConnectionLost(1, written = false), Step.SENT to "start2@0")
        expectEffects(nonIdempotent, AttemptRefused(1, RefusalReason.LEAVING), Step.SENT to "start2@0")
        expectEffects(
            nonIdempotent,
            ConnectionLost(1, written = true),
            Step.SENT to "lookup1",
            Step.BEGUN to "refuse:may_have_run",
            Step.FIRST_TOKEN to "fail:may_have_run",
        )
        expectEffects(
            nonIdempotent,
            AttemptBroken(1, failed = true),
            Step.BEGUN to "refuse:ran_and_failed",
            Step.FIRST_TOKEN to "fail:ran_and_failed",
        )
        expectEffects(nonIdempotent, AttemptRefused(1, RefusalReason.DUPLICATE), Step.SENT to "lookup1")
    }

    /** Guards against proof taken from another agent incarnation, or from an agent that has begun the attempt. */
    @Test
    fun `takes a lookup as proof only from the same agent incarnation`() {
        val lost = Step.SENT.events + ConnectionLost(1, written = true)
        val cases = listOf(
            LookupResponseReceived(1, LookupState.NOT_BEGUN, sameIncarnation = true) to "start2@0",
            LookupResponseReceived(1, LookupState.NOT_BEGUN, sameIncarnation = false) to "refuse:may_have_run",
            LookupResponseReceived(1, LookupState.RUNNING, sameIncarnation = true) to "refuse:may_have_run",
            LookupFailed(1) to "lookup1",
            AttemptBegun(1) to "refuse:may_have_run",
        )
        cases.forEach { (event, expected) ->
            expectThat(describe(after(nonIdempotent, lost + event).effects)).isEqualTo(expected)
        }
        val failed = List(5) { LookupFailed(1) }
        expectThat(describe(after(nonIdempotent, lost + failed).effects)).isEqualTo("refuse:may_have_run")
    }

    /** Guards against a false `not_run` when an agent begins an attempt that it has refused. */
    @Test
    fun `prefers evidence of a begin to an earlier proof`() {
        val refused = Step.SENT.events + AttemptRefused(1, RefusalReason.LEAVING) + AttemptBegun(1)
        val ended = after(stream, refused + AttemptNotStarted(2, NotStartedReason.NO_ROUTE))
        expectThat(describe(ended.effects)).isEqualTo("refuse:may_have_run")
    }

    /** Guards against a caller that waits for a frozen agent beyond its deadline, and against a false `not_run`. */
    @Test
    fun `ends at the deadline with the refusal that the attempts allow`() {
        expectEffects(
            stream,
            DeadlinePassed,
            Step.ACCEPTED to "refuse:not_run",
            Step.SENT to "cancel1 timeout",
            Step.BEGUN to "cancel1 refuse:may_have_run",
            Step.FIRST_TOKEN to "cancel1 fail:may_have_run",
            Step.ANSWERED to "",
        )
        val closing = Step.SENT.events + DeadlinePassed
        val cases = listOf(
            CancelConfirmed(1, began = false) to "refuse:not_run",
            CancelConfirmed(1, began = true) to "cancel1 refuse:may_have_run",
            AttemptRefused(1, RefusalReason.EXPIRED) to "refuse:not_run",
            AttemptToken(1, 0, "a") to "cancel1 refuse:may_have_run",
            CancelTimeoutElapsed to "cancel1 refuse:may_have_run",
        )
        cases.forEach { (event, expected) ->
            expectThat(describe(after(stream, closing + event).effects)).isEqualTo(expected)
        }
    }

    /** Guards against work for callers that have disconnected, and against an unrecorded response of a claimed call. */
    @Test
    fun `cancels when the caller disconnects unless the response is recorded`() {
        expectEffects(
            stream,
            CallerDisconnected,
            Step.ACCEPTED to "abandon",
            Step.SENT to "cancel1 abandon",
            Step.FIRST_TOKEN to "cancel1 abandon",
            Step.ANSWERED to "",
        )
        expectEffects(
            nonIdempotent.copy(finishWithoutCaller = true),
            CallerDisconnected,
            Step.SENT to "",
            Step.BEGUN to "",
            Step.FIRST_TOKEN to "",
        )
    }

    /** Guards against tokens delivered twice, in another order, or from an abandoned attempt. */
    @Test
    fun `drops late, duplicate and unknown tokens`() {
        val resumed =
            Step.FIRST_TOKEN.events + AttemptBroken(1, failed = false) + AttemptSent(2, Incarnation("other"), "v1")
        val cases = listOf(
            AttemptToken(1, 1, "late") to "",
            AttemptToken(2, 0, "duplicate") to "",
            AttemptToken(2, 1, "b") to "b",
            AttemptEnd(1, "stop", 3, 1) to "",
            AttemptToken(7, 1, "unknown") to "",
        )
        cases.forEach { (event, expected) ->
            expectThat(describe(after(stream, resumed + event).effects)).isEqualTo(expected)
        }
    }

    /** Guards against a refusal while another replica could serve, and against an unlimited number of attempts. */
    @Test
    fun `bounds the attempts of a request`() {
        fun refusal(attempt: Int) =
            listOf(AttemptSent(attempt, AGENT), AttemptRefused(attempt, RefusalReason.QUEUE_FULL, 70))
        val refused = (1..4).flatMap { refusal(it) }
        expectThat(describe(after(stream, refused.dropLast(2)).effects)).isEqualTo("start4@0")
        expectThat(after(stream, refused).effects.single()).isEqualTo(
            Refuse(Refusal.NOT_RUN, "the backend server refused the request (queue_full); send it again later", 70),
        )
    }

    /** Guards against a stream that fails although a replica becomes available before the deadline. */
    @Test
    fun `waits for a replica when a stream has begun`() {
        val broken = Step.FIRST_TOKEN.events + AttemptBroken(1, failed = false)
        val waiting = after(stream, broken + AttemptNotStarted(2, NotStartedReason.NO_ROUTE, 100))
        expectThat(describe(waiting.effects)).isEqualTo("start2@1:v1")
        expectThat(describe(waiting.state.on(DeadlinePassed).effects)).isEqualTo("fail:may_have_run")
        expectThat(waiting.state.on(DeadlinePassed).state.mayStart(2)).isEqualTo(false)
    }

    /** Guards against a truncated body that looks complete, and against a retry after a part of it was forwarded. */
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
        cases.forEach { (events, expected) -> expectThat(describe(after(call, events).effects)).isEqualTo(expected) }
    }

    private companion object {
        val AGENT = Incarnation("agent")
    }
}
