/*
 * Executes the effects of the state machine of one request on the entry's traffic thread: chooses routes, sends
 * attempts, and passes the response to the sink.
 */
package org.bramleyspur.daemon.caller.request

import com.google.protobuf.ByteString
import org.bramleyspur.core.model.Incarnation
import org.bramleyspur.core.model.RequestId
import org.bramleyspur.core.model.Route
import org.bramleyspur.core.time.TimerHandle
import org.bramleyspur.daemon.agent.AttemptCall
import org.bramleyspur.daemon.agent.AttemptListener
import org.bramleyspur.protocol.End
import org.bramleyspur.protocol.ExecuteEvent
import org.bramleyspur.protocol.Head
import org.bramleyspur.protocol.LookupReply
import org.bramleyspur.protocol.LookupRequest
import org.bramleyspur.protocol.Refused
import org.bramleyspur.protocol.Start
import org.bramleyspur.traffic.admission.LookupState
import org.bramleyspur.traffic.admission.RefusalReason
import org.bramleyspur.traffic.routing.RoutingRequest
import org.bramleyspur.traffic.stream.AttemptBegun
import org.bramleyspur.traffic.stream.AttemptBody
import org.bramleyspur.traffic.stream.AttemptBroken
import org.bramleyspur.traffic.stream.AttemptEnd
import org.bramleyspur.traffic.stream.AttemptHead
import org.bramleyspur.traffic.stream.AttemptNotStarted
import org.bramleyspur.traffic.stream.AttemptRefused
import org.bramleyspur.traffic.stream.AttemptSent
import org.bramleyspur.traffic.stream.AttemptToken
import org.bramleyspur.traffic.stream.BodyReleased
import org.bramleyspur.traffic.stream.CallerDisconnected
import org.bramleyspur.traffic.stream.CancelAttempt
import org.bramleyspur.traffic.stream.CancelTimeoutElapsed
import org.bramleyspur.traffic.stream.ConnectionLost
import org.bramleyspur.traffic.stream.DeadlinePassed
import org.bramleyspur.traffic.stream.DeliverToken
import org.bramleyspur.traffic.stream.ForwardBody
import org.bramleyspur.traffic.stream.ForwardHead
import org.bramleyspur.traffic.stream.LookupAttempt
import org.bramleyspur.traffic.stream.LookupFailed
import org.bramleyspur.traffic.stream.LookupResponseReceived
import org.bramleyspur.traffic.stream.NotStartedReason
import org.bramleyspur.traffic.stream.RequestEffect
import org.bramleyspur.traffic.stream.RequestEnding
import org.bramleyspur.traffic.stream.RequestEvent
import org.bramleyspur.traffic.stream.RequestFacts
import org.bramleyspur.traffic.stream.StartAttempt
import org.bramleyspur.traffic.stream.StartCancelTimeout
import org.bramleyspur.traffic.stream.acceptRequest
import org.bramleyspur.traffic.stream.on

/**
 * One request to run.
 *
 * @property timeoutMs time in milliseconds until the deadline
 * @property routingRequest builds the routing request of an attempt
 * @property chooseRoute chooses a route, or returns null if none is suitable
 * @property startMessage builds the start message of an attempt; the runner sets request, attempt, route and times
 */
class RequestJob(
    val id: RequestId,
    val facts: RequestFacts,
    val timeoutMs: Long,
    val account: String,
    val routingRequest: (StartAttempt) -> RoutingRequest,
    val chooseRoute: (RoutingRequest) -> Route?,
    val startMessage: (StartAttempt, Route) -> Start.Builder,
)

/** Runs [job] and passes the response to [sink]; [bodyUpload] is null if the start message contains the body. */
class RequestRunner(
    private val job: RequestJob,
    private val entry: EntryServices,
    private val sink: ResponseSink,
    private val bodyUpload: BodyUpload? = null,
) {
    private val timers = entry.timers
    private val deadlineMs = timers.nowMs() + job.timeoutMs
    private val attempts = HashMap<Int, RunningAttempt>()
    private val timerHandles = ArrayList<TimerHandle>()
    private var state = acceptRequest(job.facts).state
    private var forwardedHead: Head? = null
    private var forwardedBody: ByteString = ByteString.EMPTY
    private var ended = false

    /** Starts the first attempt. */
    fun run() {
        entry.budgets.onRequest(job.account)
        timerHandles += timers.after(job.timeoutMs) { feed(DeadlinePassed) }
        bodyUpload?.onReleased = { feed(BodyReleased) }
        acceptRequest(job.facts).effects.forEach { execute(it) }
    }

    /** Cancels the request, or lets it finish without the caller if the facts of the job allow that. */
    fun onCallerDisconnected() = feed(CallerDisconnected)

    /** Continues reading from the agents; called when the sink is writable again. */
    fun resume() = attempts.values.forEach { it.resume() }

    private fun feed(event: RequestEvent) {
        val transition = state.on(event)
        state = transition.state
        transition.effects.forEach { execute(it) }
    }

    private fun execute(effect: RequestEffect) {
        when (effect) {
            is DeliverToken -> sink.token(effect.position, effect.token)
            is StartAttempt -> runAfter(effect.delayMs) { startAttempt(effect) }
            is CancelAttempt -> attempts[effect.attempt]?.cancel()
            is LookupAttempt -> runAfter(effect.delayMs) { lookUp(effect.attempt) }
            is StartCancelTimeout -> runAfter(effect.delayMs) { feed(CancelTimeoutElapsed) }
            is ForwardHead -> forwardedHead?.let { sink.head(it) }
            is ForwardBody -> sink.body(forwardedBody)
            is RequestEnding -> end(effect)
        }
    }

    private fun runAfter(delayMs: Long, action: () -> Unit) {
        if (delayMs <= 0) action() else timerHandles += timers.after(delayMs, action)
    }

    private fun end(ending: RequestEnding) {
        if (ended) return
        ended = true
        timerHandles.forEach { it.cancel() }
        bodyUpload?.detach()
        sink.end(ending)
        attempts.values.forEach { it.resume() }
        // An agent that has stopped reading the body does not receive a cancel message, but detects the stream end.
        timers.after(DROP_DELAY_MS) { attempts.values.forEach { it.drop() } }
    }

    private fun startAttempt(effect: StartAttempt) {
        if (!state.mayStart(effect.attempt)) return
        if (!entry.budgets.tryTake(effect.cause, job.account)) return onNotStarted(effect, NotStartedReason.NO_BUDGET)
        val request = job.routingRequest(effect)
        val route = job.chooseRoute(request) ?: return onNotStarted(effect, NotStartedReason.NO_ROUTE)
        val attempt = RunningAttempt(effect.attempt, route, RouteFeedback(entry.router, timers, route, request))
        attempts[effect.attempt] = attempt
        attempt.start(effect)
        feed(AttemptSent(effect.attempt, route.incarnation, route.version))
        bodyUpload?.attach(attempt)
    }

    private fun onNotStarted(effect: StartAttempt, reason: NotStartedReason) {
        feed(AttemptNotStarted(effect.attempt, reason, entry.retryAfterMs()))
    }

    private fun lookUp(number: Int) {
        val route = attempts[number]?.route ?: return feed(LookupFailed(number))
        val request =
            LookupRequest
                .newBuilder()
                .setRequest(job.id.value)
                .setAttempt(number)
                .setCancel(true)
                .build()
        entry.agents.lookup(route.address, request) { reply -> feed(lookupEvent(number, route, reply)) }
    }

    private fun lookupEvent(number: Int, route: Route, reply: LookupReply?): RequestEvent {
        if (reply == null) return LookupFailed(number)
        return LookupResponseReceived(
            number,
            reply.state.toLookupState(),
            Incarnation(reply.incarnation) == route.incarnation,
        )
    }

    private companion object {
        /** Longer than a round trip to an agent; the slot must be free 250 ms after the caller disconnects. */
        const val DROP_DELAY_MS = 100L
    }

    /** One attempt and its stream to the agent. */
    inner class RunningAttempt internal constructor(
        private val number: Int,
        internal val route: Route,
        private val feedback: RouteFeedback,
    ) : AttemptListener {
        private lateinit var call: AttemptCall
        private var unrequestedEvents = 0
        private var cancelled = false

        /** Whether the connection accepts more body data. */
        val ready: Boolean get() = call.ready

        internal fun start(effect: StartAttempt) {
            val message =
                job
                    .startMessage(effect, route)
                    .setRequest(job.id.value)
                    .setAttempt(number)
                    .setReplica(route.replica?.value.orEmpty())
                    .setFencingNumber(route.fencingNumber.value)
                    .setIncarnation(route.incarnation.value)
                    .setTimeoutMs((deadlineMs - timers.nowMs()).coerceAtLeast(1).toInt())
                    .setIdempotent(job.facts.idempotent)
                    .setEntry(entry.incarnation.value)
                    .setSentAtMs(timers.nowMs())
                    .build()
            call = entry.agents.execute(route.address, message, this)
        }

        /** Sends a part of the request body. */
        fun sendBody(data: ByteString, last: Boolean) = call.sendBody(data, last)

        internal fun cancel() {
            cancelled = true
            call.cancel("no longer needed")
        }

        /** Ends the stream of an attempt whose cancel got no response. */
        internal fun drop() {
            call.drop()
            feedback.onAbandoned()
        }

        /** Requests further events; after the end of the request they still inform the router about the attempt. */
        internal fun resume() {
            while (unrequestedEvents > 0 && (ended || sink.writable)) {
                unrequestedEvents -= 1
                call.requestMore()
            }
        }

        override fun onReady() {
            bodyUpload?.onReady()
        }

        override fun onEvent(event: ExecuteEvent) {
            if (event.hasLoad()) feedback.onLoad(event.load)
            handle(event)
            unrequestedEvents += 1
            resume()
        }

        override fun onClosed(written: Boolean) {
            if (cancelled) feedback.onAbandoned() else feedback.onFailed()
            feed(ConnectionLost(number, written))
        }

        private fun handle(event: ExecuteEvent) {
            when (event.kindCase) {
                ExecuteEvent.KindCase.PIECE -> {
                    feedback.onResponseStart()
                    feed(AttemptToken(number, event.piece.position, event.piece.token))
                }
                ExecuteEvent.KindCase.BEGUN -> feed(AttemptBegun(number))
                ExecuteEvent.KindCase.HEAD -> {
                    feedback.onResponseStart()
                    forwardHead(event.head)
                }
                ExecuteEvent.KindCase.BODY -> forwardBody(event.body.data, event.body.last)
                else -> onLast(event)
            }
        }

        private fun onLast(event: ExecuteEvent) {
            when (event.kindCase) {
                ExecuteEvent.KindCase.END -> {
                    feedback.onEnded()
                    feed(event.end.toEvent(number))
                }
                ExecuteEvent.KindCase.REFUSED -> {
                    feedback.onRefused(event.refused.reason.toReason(), event.refused.retryAfterMs.toLong())
                    feed(event.refused.toEvent(number))
                }
                ExecuteEvent.KindCase.BROKEN -> {
                    if (cancelled) feedback.onAbandoned() else feedback.onFailed()
                    feed(AttemptBroken(number, event.broken.failed, event.broken.message))
                }
                ExecuteEvent.KindCase.REJECTED -> reject(event.rejected.status, event.rejected.message)
                else -> onClosed(written = true)
            }
        }

        private fun forwardHead(head: Head) {
            forwardedHead = head
            feed(AttemptHead(number, head.status))
        }

        private fun forwardBody(data: ByteString, last: Boolean) {
            if (last) feedback.onEnded()
            forwardedBody = data
            feed(AttemptBody(number, last))
            forwardedBody = ByteString.EMPTY
        }

        /** Forwards an engine's rejection of an invalid request. */
        private fun reject(status: Int, message: String) {
            feedback.onRejected()
            val error = rejectionOf(status, message)
            forwardHead(error.toHead())
            forwardBody(ByteString.copyFromUtf8(error.toJson()), true)
        }
    }
}

private fun End.toEvent(number: Int) = AttemptEnd(number, finishReason, promptTokens, completionTokens)

private fun Refused.toEvent(number: Int) = AttemptRefused(number, reason.toReason(), retryAfterMs.toLong())

private fun Refused.Reason.toReason(): RefusalReason =
    RefusalReason.entries.firstOrNull { it.name == name } ?: RefusalReason.NOT_SERVING

private fun LookupReply.State.toLookupState(): LookupState = when (this) {
    LookupReply.State.NOT_BEGUN -> LookupState.NOT_BEGUN
    LookupReply.State.RUNNING -> LookupState.RUNNING
    else -> LookupState.ENDED
}
