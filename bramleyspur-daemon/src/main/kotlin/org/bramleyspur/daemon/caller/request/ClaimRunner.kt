/*
 * Executes the effects of the claim state machine of a non-idempotent call with an idempotency key: claims the key at
 * the control leader, runs the call once, records its response, and only then returns it.
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
import org.bramleyspur.traffic.claim.CLAIMED_ATTEMPT
import org.bramleyspur.traffic.claim.ChooseTarget
import org.bramleyspur.traffic.claim.ClaimCallerDisconnected
import org.bramleyspur.traffic.claim.ClaimDeadline
import org.bramleyspur.traffic.claim.ClaimEffect
import org.bramleyspur.traffic.claim.ClaimEnding
import org.bramleyspur.traffic.claim.ClaimEvent
import org.bramleyspur.traffic.claim.ClaimResponseReceived
import org.bramleyspur.traffic.claim.ClaimTarget
import org.bramleyspur.traffic.claim.Execute
import org.bramleyspur.traffic.claim.ExecutionEnded
import org.bramleyspur.traffic.claim.ExecutionResult
import org.bramleyspur.traffic.claim.HolderFound
import org.bramleyspur.traffic.claim.HolderUnreachable
import org.bramleyspur.traffic.claim.LookUpHolder
import org.bramleyspur.traffic.claim.NoTarget
import org.bramleyspur.traffic.claim.RecordLost
import org.bramleyspur.traffic.claim.RecordOutcome
import org.bramleyspur.traffic.claim.RecordResponseReceived
import org.bramleyspur.traffic.claim.RecordedResponse
import org.bramleyspur.traffic.claim.RefuseCall
import org.bramleyspur.traffic.claim.RefuseDigestMismatch
import org.bramleyspur.traffic.claim.RefuseInProgress
import org.bramleyspur.traffic.claim.ReplayResponse
import org.bramleyspur.traffic.claim.ResponseTooLarge
import org.bramleyspur.traffic.claim.ReturnResponse
import org.bramleyspur.traffic.claim.SendClaim
import org.bramleyspur.traffic.claim.SendRecord
import org.bramleyspur.traffic.claim.TargetChosen
import org.bramleyspur.traffic.claim.acceptCall
import org.bramleyspur.traffic.claim.on
import org.bramleyspur.traffic.stream.Abandon
import org.bramleyspur.traffic.stream.FailStream
import org.bramleyspur.traffic.stream.Finish
import org.bramleyspur.traffic.stream.Refuse
import org.bramleyspur.traffic.stream.RequestEnding
import org.bramleyspur.traffic.stream.StartAttempt

/** Runs one call with the idempotency key [key]. */
internal class ClaimRunner(
    private val plan: CallPlan,
    private val key: String,
    private val entry: EntryServices,
    private val claims: ClaimClient,
    private val scope: RequestScope,
    private val exchange: CallerExchange,
    private val recorder: ResponseRecorder,
) : RunningCall {
    private val digest = ByteString.copyFromUtf8(plan.digest())
    private val deadlineMs = entry.timers.nowMs() + scope.service.timeoutMs
    private val timerHandles = ArrayList<TimerHandle>()
    private var state = acceptCall(scope.id).state
    private var route: Route? = null
    private var execution: RequestRunner? = null
    private var responded = false

    /** Starts the call. */
    fun run() {
        timerHandles += entry.timers.after(scope.service.timeoutMs) { feed(ClaimDeadline) }
        acceptCall(scope.id).effects.forEach { execute(it) }
    }

    override fun onCallerDisconnected() {
        feed(ClaimCallerDisconnected)
        execution?.onCallerDisconnected()
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
            is ChooseTarget -> chooseTarget(effect)
            is SendClaim -> runAfter(effect.delayMs) { sendClaim(effect) }
            is Execute -> execute(effect)
            is SendRecord -> runAfter(effect.delayMs) { sendRecord(effect) }
            is LookUpHolder -> runAfter(effect.delayMs) { lookUp(effect) }
            is ClaimEnding -> finish(effect)
        }
    }

    private fun runAfter(delayMs: Long, action: () -> Unit) {
        if (delayMs <= 0) action() else entry.timers.after(delayMs, action)
    }

    private fun chooseTarget(effect: ChooseTarget) {
        val firstAttempt = StartAttempt(CLAIMED_ATTEMPT, 0, null, persistentListOf(), null, effect.excluded)
        val chosen = entry.chooseRoute(plan.routingRequest(firstAttempt))
        route = chosen
        if (chosen == null) return feed(NoTarget(entry.retryAfterMs()))
        feed(TargetChosen(ClaimTarget(chosen.incarnation, chosen.address)))
    }

    private fun sendClaim(effect: SendClaim) {
        val request = ClaimRequest
            .newBuilder()
            .setAccount(scope.account.name)
            .setService(scope.service.name)
            .setKey(key)
            .setDigest(digest)
            .setRequest(effect.request.value)
            .setIncarnation(effect.target.incarnation.value)
            .setAgentAddress(effect.target.address)
            .setRetentionMs(scope.service.idempotencyRetentionMs)
            .build()
        claims.claim(request) { feed(ClaimResponseReceived(effect.sequence, it)) }
    }

    private fun execute(effect: Execute) {
        val target = route
        val job = RequestJob(
            id = effect.request,
            facts = plan.facts.copy(idempotent = false, finishWithoutCaller = true, streaming = false, maxAttempts = 1),
            timeoutMs = (deadlineMs - entry.timers.nowMs()).coerceAtLeast(1),
            account = scope.account.name,
            routingRequest = plan.routingRequest,
            chooseRoute = { target },
            startMessage = plan.startMessage,
        )
        execution = RequestRunner(job, entry, ExecutionSink()).also { it.run() }
    }

    private fun sendRecord(effect: SendRecord) {
        val request = CompleteRequest
            .newBuilder()
            .setAccount(scope.account.name)
            .setService(scope.service.name)
            .setKey(key)
            .setRequest(effect.request.value)
        when (val outcome = effect.outcome) {
            is RecordOutcome.Responded ->
                request.setOutcome(CompleteRequest.Outcome.ANSWERED).setAnswer(outcome.response.toMessage())
            is RecordOutcome.NotRun -> request.setOutcome(CompleteRequest.Outcome.NOT_RUN)
            is RecordOutcome.Unknown -> request.setOutcome(CompleteRequest.Outcome.UNKNOWN)
        }
        claims.complete(request.build()) { recorded ->
            feed(
                if (recorded == null) {
                    RecordLost(effect.sequence)
                } else {
                    RecordResponseReceived(effect.sequence, recorded)
                },
            )
        }
    }

    private fun lookUp(effect: LookUpHolder) {
        val request = LookupRequest
            .newBuilder()
            .setRequest(effect.holder.request.value)
            .setAttempt(CLAIMED_ATTEMPT)
            .setCancel(effect.cancel)
            .build()
        entry.agents.lookup(effect.holder.target.address, request) { reply ->
            feed(if (reply == null) HolderUnreachable(effect) else reply.toEvent(effect))
        }
    }

    private fun LookupReply.toEvent(effect: LookUpHolder): ClaimEvent {
        val attemptState = when (state) {
            LookupReply.State.NOT_BEGUN -> LookupState.NOT_BEGUN
            LookupReply.State.RUNNING -> LookupState.RUNNING
            else -> LookupState.ENDED
        }
        return HolderFound(effect, attemptState, Incarnation(incarnation))
    }

    private fun finish(ending: ClaimEnding) {
        if (responded) return
        responded = true
        timerHandles.forEach { it.cancel() }
        when (ending) {
            is ReturnResponse -> returnResponse()
            is ReplayResponse -> replay(ending.response)
            is RefuseInProgress -> refuse(requestInProgress(ending.retryAfterMs))
            is RefuseDigestMismatch -> refuse(KEY_REUSED)
            is RefuseCall -> refuse(CallerError.refused(ending.kind, ending.message, ending.retryAfterMs))
            is AbandonCall -> {
                scope.end("abandoned", "the caller disconnected")
                exchange.abort()
            }
        }
    }

    private fun returnResponse() {
        scope.end("answered", "")
        recorder.forwardTo(exchange)
        execution?.resume()
    }

    private fun refuse(error: CallerError) {
        scope.end(error.refusal.wireName, error.message)
        exchange.respond(error)
    }

    private fun replay(record: RecordedResponse) {
        scope.end("replayed", "")
        val body = record.body
        if (body == null) {
            exchange.respond(responseNotRetained(record))
        } else {
            val fields = listOf("Content-Type" to record.contentType, REPLAY_HEADER to "true")
            exchange.respond(record.status, fields.filter { it.second.isNotEmpty() }, body)
        }
    }

    /** Passes the events of the execution to the recorder and to the claim state machine. */
    private inner class ExecutionSink : ResponseSink {
        private var reportedTooLarge = false

        override val writable: Boolean
            get() = if (recorder.isBuffering) !recorder.exceedsRecordLimit else exchange.writable

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
            if (!reportedTooLarge) feed(ExecutionEnded(ExecutionResult.Responded(recorder.record())))
        }

        /** A partly forwarded response can only be marked as failed by closing the connection. */
        private fun failed(ending: FailStream) {
            if (!recorder.isBuffering) return exchange.abort()
            feed(ExecutionEnded(ExecutionResult.Unknown(ending.message)))
        }

        private fun checkSize() {
            if (reportedTooLarge || !recorder.exceedsRecordLimit) return
            reportedTooLarge = true
            feed(ResponseTooLarge(recorder.record()))
        }

        private fun Refuse.toResult(): ExecutionResult = when (kind) {
            Refusal.NOT_RUN -> ExecutionResult.NotRun(message, retryAfterMs)
            Refusal.MAY_HAVE_RUN -> ExecutionResult.Unknown(message)
            Refusal.RAN_AND_FAILED -> {
                val body = CallerError.refused(kind, message, 0).toJson().toByteArray()
                val record = RecordedResponse(INTERNAL_SERVER_ERROR, "application/json", body, body.size.toLong())
                ExecutionResult.Responded(record, failed = true)
            }
        }
    }

    private companion object {
        const val REPLAY_HEADER = "Idempotency-Replayed"
        const val CONFLICT = 409
        const val UNPROCESSABLE = 422
        const val INTERNAL_SERVER_ERROR = 500

        val KEY_REUSED = CallerError.invalid(
            "the idempotency key was used for another request; use a new key",
            UNPROCESSABLE,
            "idempotency_key_reused",
        )

        fun requestInProgress(retryAfterMs: Long) = CallerError(
            status = CONFLICT,
            type = "invalid_request_error",
            code = "request_in_progress",
            message = "a request with this idempotency key is in progress; send it again later with the same key",
            refusal = Refusal.MAY_HAVE_RUN,
            retryAfterMs = retryAfterMs,
        )

        fun responseNotRetained(record: RecordedResponse) = CallerError(
            status = CONFLICT,
            type = "invalid_request_error",
            code = "answer_not_kept",
            message = "the call ran with status ${record.status}; its answer of ${record.bodyBytes} bytes was not kept",
            refusal = Refusal.MAY_HAVE_RUN,
        )
    }
}
