/*
 * Carries out the request machine of one request on the entry's traffic thread: chooses routes, sends attempts, and
 * passes the answer to its sink.
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
import org.bramleyspur.traffic.stream.AttemptPiece
import org.bramleyspur.traffic.stream.AttemptRefused
import org.bramleyspur.traffic.stream.AttemptSent
import org.bramleyspur.traffic.stream.BodyReleased
import org.bramleyspur.traffic.stream.CallerGone
import org.bramleyspur.traffic.stream.CancelAttempt
import org.bramleyspur.traffic.stream.ConnectionLost
import org.bramleyspur.traffic.stream.DeadlinePassed
import org.bramleyspur.traffic.stream.DeliverToken
import org.bramleyspur.traffic.stream.ForwardBody
import org.bramleyspur.traffic.stream.ForwardHead
import org.bramleyspur.traffic.stream.GraceEnded
import org.bramleyspur.traffic.stream.LookupAnswered
import org.bramleyspur.traffic.stream.LookupAttempt
import org.bramleyspur.traffic.stream.LookupFailed
import org.bramleyspur.traffic.stream.NotStartedReason
import org.bramleyspur.traffic.stream.RequestEffect
import org.bramleyspur.traffic.stream.RequestEnding
import org.bramleyspur.traffic.stream.RequestEvent
import org.bramleyspur.traffic.stream.RequestFacts
import org.bramleyspur.traffic.stream.StartAttempt
import org.bramleyspur.traffic.stream.StartGrace
import org.bramleyspur.traffic.stream.acceptRequest
import org.bramleyspur.traffic.stream.on

/**
 * One request to be run.
 *
 * @property timeoutMs time in milliseconds until the deadline
 * @property request what a route is wanted for in an attempt
 * @property choose picks a route, or null when none fits
 * @property start builds the message of an attempt; request, attempt, route and time are filled in by the runner
 */
class RequestJob(
    val id: RequestId,
    val facts: RequestFacts,
    val timeoutMs: Long,
    val account: String,
    val request: (StartAttempt) -> RoutingRequest,
    val choose: (RoutingRequest) -> Route?,
    val start: (StartAttempt, Route) -> Start.Builder,
)

/** Runs [job] and passes the answer to [sink]; [bodyUpload] is null when the body is part of the start message. */
class RequestRunner(
    private val job: RequestJob,
    private val entry: EntryServices,
    private val sink: AnswerSink,
    private val bodyUpload: BodyUpload? = null,
) {
    private val timers = entry.timers
    private val deadlineMs = timers.nowMs() + job.timeoutMs
    private val attempts = HashMap<Int, RunningAttempt>()
    private val subscriptions = ArrayList<TimerHandle>()
    private var state = acceptRequest(job.facts).state
    private var forwardedHead: Head? = null
    private var forwardedBody: ByteString = ByteString.EMPTY
    private var ended = false

    /** Starts the first attempt. */
    fun run() {
        entry.budgets.onRequest(job.account)
        subscriptions += timers.after(job.timeoutMs) { feed(DeadlinePassed) }
        bodyUpload?.onReleased = { feed(BodyReleased) }
        acceptRequest(job.facts).effects.forEach { execute(it) }
    }

    /** The caller has left. */
    fun callerGone() = feed(CallerGone)

    /** The sink takes more again. */
    fun resume() = attempts.values.forEach { it.resume() }

    private fun feed(event: RequestEvent) {
        val transition = state.on(event)
        state = transition.state
        transition.effects.forEach { execute(it) }
    }

    private fun execute(effect: RequestEffect) {
        when (effect) {
            is DeliverToken -> sink.token(effect.position, effect.token)
            is StartAttempt -> later(effect.delayMs) { startAttempt(effect) }
            is CancelAttempt -> attempts[effect.attempt]?.cancel()
            is LookupAttempt -> later(effect.delayMs) { lookUp(effect.attempt) }
            is StartGrace -> later(effect.delayMs) { feed(GraceEnded) }
            is ForwardHead -> forwardedHead?.let { sink.head(it) }
            is ForwardBody -> sink.body(forwardedBody)
            is RequestEnding -> end(effect)
        }
    }

    private fun later(delayMs: Long, action: () -> Unit) {
        if (delayMs <= 0) action() else subscriptions += timers.after(delayMs, action)
    }

    private fun end(ending: RequestEnding) {
        if (ended) return
        ended = true
        subscriptions.forEach { it.cancel() }
        bodyUpload?.detach()
        sink.end(ending)
        attempts.values.forEach { it.resume() }
        // An agent that reads no more of a body does not see a cancel; it sees the end of the stream.
        timers.after(DROP_DELAY_MS) { attempts.values.forEach { it.drop() } }
    }

    private fun startAttempt(order: StartAttempt) {
        if (!state.mayWrite(order.attempt)) return
        if (!entry.budgets.tryTake(order.cause, job.account)) return notStarted(order, NotStartedReason.NO_BUDGET)
        val request = job.request(order)
        val route = job.choose(request) ?: return notStarted(order, NotStartedReason.NO_ROUTE)
        val attempt = RunningAttempt(order.attempt, route, RouteUse(entry.router, timers, route, request))
        attempts[order.attempt] = attempt
        attempt.start(order)
        feed(AttemptSent(order.attempt, route.incarnation, route.version))
        bodyUpload?.attach(attempt)
    }

    private fun notStarted(order: StartAttempt, reason: NotStartedReason) {
        feed(AttemptNotStarted(order.attempt, reason, entry.retryAfterMs()))
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
        return LookupAnswered(number, reply.state.toLookupState(), Incarnation(reply.incarnation) == route.incarnation)
    }

    private companion object {
        /** An agent answers a cancel within a round trip, and a slot must be free 250 ms after its caller has left. */
        const val DROP_DELAY_MS = 100L
    }

    /** One attempt and its stream to the agent. */
    inner class RunningAttempt internal constructor(
        private val number: Int,
        internal val route: Route,
        private val use: RouteUse,
    ) : AttemptListener {
        private lateinit var call: AttemptCall
        private var held = 0
        private var cancelled = false

        /** Whether the connection takes more body data now. */
        val ready: Boolean get() = call.ready

        internal fun start(order: StartAttempt) {
            val message =
                job
                    .start(order, route)
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

        /** Sends a part of the request's body. */
        fun sendBody(data: ByteString, last: Boolean) = call.sendBody(data, last)

        internal fun cancel() {
            cancelled = true
            call.cancel("no longer needed")
        }

        /** Ends the stream of an attempt that has not answered its cancel. */
        internal fun drop() {
            call.drop()
            use.onAbandoned()
        }

        /** Reads on; what arrives after the request's end still tells the router about the attempt. */
        internal fun resume() {
            while (held > 0 && (ended || sink.writable)) {
                held -= 1
                call.requestMore()
            }
        }

        override fun onReady() {
            bodyUpload?.onReady()
        }

        override fun onEvent(event: ExecuteEvent) {
            if (event.hasLoad()) use.onLoad(event.load)
            handle(event)
            held += 1
            resume()
        }

        override fun onClosed(written: Boolean) {
            if (cancelled) use.onAbandoned() else use.onFailed()
            feed(ConnectionLost(number, written))
        }

        private fun handle(event: ExecuteEvent) {
            when (event.kindCase) {
                ExecuteEvent.KindCase.PIECE -> {
                    use.onAnswer()
                    feed(AttemptPiece(number, event.piece.position, event.piece.token))
                }
                ExecuteEvent.KindCase.BEGUN -> feed(AttemptBegun(number))
                ExecuteEvent.KindCase.HEAD -> forwardHead(event.head)
                ExecuteEvent.KindCase.BODY -> forwardBody(event.body.data, event.body.last)
                else -> onLast(event)
            }
        }

        private fun onLast(event: ExecuteEvent) {
            when (event.kindCase) {
                ExecuteEvent.KindCase.END -> {
                    use.onEnded()
                    feed(event.end.toEvent(number))
                }
                ExecuteEvent.KindCase.REFUSED -> {
                    use.onRefused(event.refused.reason.toReason(), event.refused.retryAfterMs.toLong())
                    feed(event.refused.toEvent(number))
                }
                ExecuteEvent.KindCase.BROKEN -> {
                    if (cancelled) use.onAbandoned() else use.onFailed()
                    feed(AttemptBroken(number, event.broken.failed, event.broken.message))
                }
                ExecuteEvent.KindCase.REJECTED -> reject(event.rejected.status, event.rejected.message)
                else -> onClosed(written = true)
            }
        }

        private fun forwardHead(head: Head) {
            use.onAnswer()
            forwardedHead = head
            feed(AttemptHead(number, head.status))
        }

        private fun forwardBody(data: ByteString, last: Boolean) {
            if (last) use.onEnded()
            forwardedBody = data
            feed(AttemptBody(number, last))
            forwardedBody = ByteString.EMPTY
        }

        /** Passes on an engine's rejection of a wrong request. */
        private fun reject(status: Int, message: String) {
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
