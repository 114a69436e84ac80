/*
 * Carries out the claim machine of a non-idempotent call with an idempotency key: claims at the control leader, runs
 * the call once, records its answer, and only then returns it.
 */
package org.bramleyspur.daemon.caller.request

import com.google.protobuf.ByteString
import kotlinx.collections.immutable.persistentListOf
import org.bramleyspur.core.model.Incarnation
import org.bramleyspur.core.model.Refusal
import org.bramleyspur.core.model.Route
import org.bramleyspur.core.time.TimerHandle
import org.bramleyspur.daemon.caller.CallerError
import org.bramleyspur.daemon.caller.CallerExchange
import org.bramleyspur.daemon.caller.respond
import org.bramleyspur.protocol.ClaimRequest
import org.bramleyspur.protocol.CompleteRequest
import org.bramleyspur.protocol.Head
import org.bramleyspur.protocol.LookupReply
import org.bramleyspur.protocol.LookupRequest
import org.bramleyspur.traffic.admission.LookupState
import org.bramleyspur.traffic.claim.AbandonCall
import org.bramleyspur.traffic.claim.AnswerTooLarge
import org.bramleyspur.traffic.claim.CLAIMED_ATTEMPT
import org.bramleyspur.traffic.claim.ChooseTarget
import org.bramleyspur.traffic.claim.ClaimAnswered
import org.bramleyspur.traffic.claim.ClaimCallerGone
import org.bramleyspur.traffic.claim.ClaimDeadline
import org.bramleyspur.traffic.claim.ClaimEffect
import org.bramleyspur.traffic.claim.ClaimEnding
import org.bramleyspur.traffic.claim.ClaimEvent
import org.bramleyspur.traffic.claim.ClaimTarget
import org.bramleyspur.traffic.claim.Execute
import org.bramleyspur.traffic.claim.ExecutionEnded
import org.bramleyspur.traffic.claim.ExecutionResult
import org.bramleyspur.traffic.claim.HolderFound
import org.bramleyspur.traffic.claim.HolderUnreachable
import org.bramleyspur.traffic.claim.LookUpHolder
import org.bramleyspur.traffic.claim.NoTarget
import org.bramleyspur.traffic.claim.RecordAnswered
import org.bramleyspur.traffic.claim.RecordLost
import org.bramleyspur.traffic.claim.RecordOutcome
import org.bramleyspur.traffic.claim.RecordedAnswer
import org.bramleyspur.traffic.claim.RefuseCall
import org.bramleyspur.traffic.claim.ReplayAnswer
import org.bramleyspur.traffic.claim.ReturnAnswer
import org.bramleyspur.traffic.claim.SendClaim
import org.bramleyspur.traffic.claim.SendRecord
import org.bramleyspur.traffic.claim.TargetChosen
import org.bramleyspur.traffic.claim.TellDigestMismatch
import org.bramleyspur.traffic.claim.TellInProgress
import org.bramleyspur.traffic.claim.acceptCall
import org.bramleyspur.traffic.claim.on
import org.bramleyspur.traffic.stream.Abandon
import org.bramleyspur.traffic.stream.FailStream
import org.bramleyspur.traffic.stream.Finish
import org.bramleyspur.traffic.stream.Refuse
import org.bramleyspur.traffic.stream.RequestEnding
import org.bramleyspur.traffic.stream.StartAttempt

/** Runs one call under [key]. */
internal class ClaimRunner(
    private val plan: CallPlan,
    private val key: String,
    private val entry: EntryServices,
    private val claims: ClaimClient,
    private val scope: RequestScope,
    private val exchange: CallerExchange,
    private val recorder: AnswerRecorder,
) : RunningCall {
    private val digest = ByteString.copyFromUtf8(plan.digest())
    private val deadlineMs = entry.timers.nowMs() + scope.service.timeoutMs
    private val subscriptions = ArrayList<TimerHandle>()
    private var state = acceptCall(scope.id).state
    private var route: Route? = null
    private var execution: RequestRunner? = null
    private var told = false

    /** Starts the call. */
    fun run() {
        subscriptions += entry.timers.after(scope.service.timeoutMs) { feed(ClaimDeadline) }
        acceptCall(scope.id).effects.forEach { execute(it) }
    }

    override fun callerGone() {
        feed(ClaimCallerGone)
        execution?.callerGone()
    }

    override fun resume() {
        execution?.resume()
    }

    private fun feed(event: ClaimEvent) {
        val transition = state.on(event)
        state = transition.state
        transition.effects.forEach { execute(it) }
    }

    private fun execute(effect: ClaimEffect) {
        when (effect) {
            is ChooseTarget -> choose(effect)
            is SendClaim -> later(effect.delayMs) { sendClaim(effect) }
            is Execute -> execute(effect)
            is SendRecord -> later(effect.delayMs) { sendRecord(effect) }
            is LookUpHolder -> later(effect.delayMs) { lookUp(effect) }
            is ClaimEnding -> tell(effect)
        }
    }

    private fun later(delayMs: Long, action: () -> Unit) {
        if (delayMs <= 0) action() else entry.timers.after(delayMs, action)
    }

    private fun choose(order: ChooseTarget) {
        val first = StartAttempt(CLAIMED_ATTEMPT, 0, null, persistentListOf(), null, order.excluded)
        val chosen = entry.chooseRoute(plan.query(first))
        route = chosen
        if (chosen == null) return feed(NoTarget(entry.retryAfterMs()))
        feed(TargetChosen(ClaimTarget(chosen.incarnation, chosen.address)))
    }

    private fun sendClaim(order: SendClaim) {
        val request = ClaimRequest
            .newBuilder()
            .setAccount(scope.account.name)
            .setService(scope.service.name)
            .setKey(key)
            .setDigest(digest)
            .setRequest(order.request.value)
            .setIncarnation(order.target.incarnation.value)
            .setAgentAddress(order.target.address)
            .setRetentionMs(scope.service.idempotencyRetentionMs)
            .build()
        claims.claim(request) { feed(ClaimAnswered(order.order, it)) }
    }

    private fun execute(order: Execute) {
        val target = route
        val job = RequestJob(
            id = order.request,
            facts = plan.facts.copy(idempotent = false, finishWithoutCaller = true, streaming = false, maxAttempts = 1),
            timeoutMs = (deadlineMs - entry.timers.nowMs()).coerceAtLeast(1),
            account = scope.account.name,
            request = plan.query,
            choose = { target },
            start = plan.start,
        )
        execution = RequestRunner(job, entry, ExecutionSink()).also { it.run() }
    }

    private fun sendRecord(order: SendRecord) {
        val request = CompleteRequest
            .newBuilder()
            .setAccount(scope.account.name)
            .setService(scope.service.name)
            .setKey(key)
            .setRequest(order.request.value)
        when (val outcome = order.outcome) {
            is RecordOutcome.Answered ->
                request.setOutcome(CompleteRequest.Outcome.ANSWERED).setAnswer(outcome.answer.toMessage())
            is RecordOutcome.NotRun -> request.setOutcome(CompleteRequest.Outcome.NOT_RUN)
            is RecordOutcome.Unknown -> request.setOutcome(CompleteRequest.Outcome.UNKNOWN)
        }
        claims.complete(request.build()) { recorded ->
            feed(if (recorded == null) RecordLost(order.order) else RecordAnswered(order.order, recorded))
        }
    }

    private fun lookUp(order: LookUpHolder) {
        val request = LookupRequest
            .newBuilder()
            .setRequest(order.holder.request.value)
            .setAttempt(CLAIMED_ATTEMPT)
            .setCancel(order.cancel)
            .build()
        entry.agents.lookup(order.holder.target.address, request) { reply ->
            feed(if (reply == null) HolderUnreachable(order) else reply.toEvent(order))
        }
    }

    private fun LookupReply.toEvent(order: LookUpHolder): ClaimEvent {
        val found = when (state) {
            LookupReply.State.NOT_BEGUN -> LookupState.NOT_BEGUN
            LookupReply.State.RUNNING -> LookupState.RUNNING
            else -> LookupState.ENDED
        }
        return HolderFound(order, found, Incarnation(incarnation))
    }

    private fun tell(ending: ClaimEnding) {
        if (told) return
        told = true
        subscriptions.forEach { it.cancel() }
        when (ending) {
            is ReturnAnswer -> returnAnswer()
            is ReplayAnswer -> replay(ending.answer)
            is TellInProgress -> refuse(inProgress(ending.retryAfterMs))
            is TellDigestMismatch -> refuse(MISMATCH)
            is RefuseCall -> refuse(CallerError.refused(ending.kind, ending.message, ending.retryAfterMs))
            is AbandonCall -> {
                scope.end("abandoned", "the caller left")
                exchange.abort()
            }
        }
    }

    private fun returnAnswer() {
        scope.end("answered", "")
        recorder.release(exchange)
        execution?.resume()
    }

    private fun refuse(error: CallerError) {
        scope.end(error.refusal.wireName, error.message)
        exchange.respond(error)
    }

    private fun replay(answer: RecordedAnswer) {
        scope.end("replayed", "")
        val body = answer.body
        if (body == null) {
            exchange.respond(notKept(answer))
        } else {
            val fields = listOf("Content-Type" to answer.contentType, REPLAY_HEADER to "true")
            exchange.respond(answer.status, fields.filter { it.second.isNotEmpty() }, body)
        }
    }

    /** Passes the events of the execution to the recorder and to the claim machine. */
    private inner class ExecutionSink : AnswerSink {
        private var reportedTooLarge = false

        override val writable: Boolean
            get() = if (recorder.holding) !recorder.tooLarge else exchange.writable

        override fun token(position: Int, token: String) {
            scope.onToken()
            recorder.token(position, token)
            checkSize()
        }

        override fun head(head: Head) = recorder.head(head)

        override fun body(data: ByteString) {
            recorder.body(data)
            checkSize()
        }

        override fun end(ending: RequestEnding) {
            when (ending) {
                is Finish -> finish(ending)
                is Refuse -> feed(ExecutionEnded(ending.toResult()))
                is FailStream -> failed(ending)
                is Abandon -> feed(ExecutionEnded(ExecutionResult.Unknown("the caller left")))
            }
        }

        private fun finish(ending: Finish) {
            recorder.finish(ending)
            if (!reportedTooLarge) feed(ExecutionEnded(ExecutionResult.Answered(recorder.record())))
        }

        /** After a release the caller has a part of the answer, so only closing the connection tells the truth. */
        private fun failed(ending: FailStream) {
            if (!recorder.holding) return exchange.abort()
            feed(ExecutionEnded(ExecutionResult.Unknown(ending.message)))
        }

        private fun checkSize() {
            if (reportedTooLarge || !recorder.tooLarge) return
            reportedTooLarge = true
            feed(AnswerTooLarge(recorder.record()))
        }

        private fun Refuse.toResult(): ExecutionResult = when (kind) {
            Refusal.NOT_RUN -> ExecutionResult.NotRun(message, retryAfterMs)
            Refusal.MAY_HAVE_RUN -> ExecutionResult.Unknown(message)
            Refusal.RAN_AND_FAILED -> {
                val body = CallerError.refused(kind, message, 0).toJson().toByteArray()
                val answer = RecordedAnswer(FAILED_STATUS, "application/json", body, body.size.toLong())
                ExecutionResult.Answered(answer, failed = true)
            }
        }
    }

    private companion object {
        const val REPLAY_HEADER = "Idempotency-Replayed"
        const val CONFLICT = 409
        const val UNPROCESSABLE = 422
        const val FAILED_STATUS = 500

        val MISMATCH = CallerError.invalid(
            "the idempotency key was used for another request; use a new key",
            UNPROCESSABLE,
            "idempotency_key_reused",
        )

        fun inProgress(retryAfterMs: Long) = CallerError(
            status = CONFLICT,
            type = "invalid_request_error",
            code = "request_in_progress",
            message = "a request with this idempotency key is in progress; send it again later with the same key",
            refusal = Refusal.MAY_HAVE_RUN,
            retryAfterMs = retryAfterMs,
        )

        fun notKept(answer: RecordedAnswer) = CallerError(
            status = CONFLICT,
            type = "invalid_request_error",
            code = "answer_not_kept",
            message = "the call ran with status ${answer.status}; its answer of ${answer.bodyBytes} bytes was not kept",
            refusal = Refusal.MAY_HAVE_RUN,
        )
    }
}
