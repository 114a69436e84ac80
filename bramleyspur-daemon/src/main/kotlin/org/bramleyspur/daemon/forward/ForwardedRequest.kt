/*
 * Forwards one request to backend servers: its attempts, their timeouts, and the response that the caller receives.
 * The attempt rules decide what follows a failed attempt.
 */
package org.bramleyspur.daemon.forward

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import org.bramleyspur.core.document.DocumentAccount
import org.bramleyspur.core.document.DocumentRoute
import org.bramleyspur.core.document.DocumentService
import org.bramleyspur.core.document.RouteKind
import org.bramleyspur.core.time.TimerHandle
import org.bramleyspur.daemon.http.HttpCall
import org.bramleyspur.daemon.http.HttpFailure
import org.bramleyspur.daemon.http.HttpListener
import org.bramleyspur.traffic.forward.AttemptEnd
import org.bramleyspur.traffic.forward.EventSplitter
import org.bramleyspur.traffic.forward.EventUse
import org.bramleyspur.traffic.forward.NextStep
import org.bramleyspur.traffic.forward.RequestProgress
import org.bramleyspur.traffic.forward.ResponseUse
import org.bramleyspur.traffic.forward.StreamEvent
import org.bramleyspur.traffic.forward.completesResponse
import org.bramleyspur.traffic.forward.nextStep
import org.bramleyspur.traffic.forward.useOf
import org.bramleyspur.traffic.quarantine.PartVerdict
import org.bramleyspur.traffic.quarantine.sharedParts

/** An admitted request that is being forwarded. Confined to the traffic thread. */
internal class ForwardedRequest(
    private val context: ForwardContext,
    private val request: CallerRequest,
    private val route: DocumentRoute,
    private val service: DocumentService,
    private val account: DocumentAccount?,
    private val response: CallerResponse,
    private val onDone: () -> Unit,
) {
    private val headerNames = context.headers
    private val id = request.headers.get(headerNames.attemptId).orEmpty()
    private val model: String? = request.headers.get(headerNames.model)
    private val tokens = tokenCountsOf(request.headers.get(headerNames.tokenCounts))
    private val promptTokens = tokens.prompt
    private val streaming = route.kind == RouteKind.STREAMING
    private val parts = if (streaming) sharedParts(request.headers.get(headerNames.promptParts)) else emptyList()
    private val deadlineMs = deadlineMs()
    private val triedBackends = LinkedHashSet<String>()
    private var deadlineTimer: TimerHandle? = null
    private var attempt: Attempt? = null
    private var sentAttempts = 0
    private var unsentAttempts = 0
    private var mayHaveRun = false
    private var lastEventId: Long? = request.headers.get(headerNames.lastEventId)?.trim()?.toLongOrNull()
    private var responseStarted = false
    private var done = false
    private var firstByteMs: Long? = null
    private var predictedMs: Double? = null

    private fun deadlineMs(): Long {
        val caller = request.headers.get(headerNames.remainingMs)?.trim()?.toLongOrNull()
        return request.receivedAtMs + minOf(caller ?: route.timeoutMs, route.timeoutMs)
    }

    private fun remainingMs(): Long = deadlineMs - context.timers.nowMs()

    /** Sets the deadline and starts the first attempt. */
    fun start() {
        context.budget(service.name).onRequest(context.timers.nowMs())
        deadlineTimer = context.timers.after(maxOf(0, remainingMs())) { onDeadline() }
        send()
    }

    /** Cancels the attempt after the caller disconnected; closing the connection tells the backend server. */
    fun onCallerDisconnected() {
        if (done) return
        attempt?.cancel()
        end("caller-left", "")
    }

    /** Pauses reading from the backend server while the caller's connection accepts no more data. */
    fun onCallerWritable(writable: Boolean) {
        attempt?.pauseReading(!writable)
    }

    private fun send() {
        if (isKeptFromEngines()) return
        val choice = context.choose(service, model, tokens, triedBackends)
        when {
            choice == null -> onAttemptEnd(AttemptEnd.NoCandidate, "no backend server takes ${model ?: service.name}")
            choice.expectedMs > remainingMs() || choice.waitMs > maxWaitMs() ->
                onAttemptEnd(AttemptEnd.NoCandidate, "expected ${choice.expectedMs.toLong()} ms to the first event")
            else -> {
                triedBackends += choice.load.id
                predictedMs = choice.expectedMs
                attempt = Attempt(choice).also { it.start() }
            }
        }
    }

    /** Ends the request if a part of its prompt crashes engines, or may have crashed one under this request. */
    private fun isKeptFromEngines(): Boolean {
        if (sentAttempts > 0) {
            if (context.promptParts.allowsRetry(parts)) return false
            context.metrics.onPartBlocked(route.name, sentBefore = true)
            onAttemptEnd(
                AttemptEnd.PartBlocked(null),
                "a part of its prompt may have crashed ${triedBackends.lastOrNull()}",
            )
            return true
        }
        val verdict = context.promptParts.admit(parts) as? PartVerdict.Blocked ?: return false
        context.metrics.onPartBlocked(route.name, sentBefore = false)
        onAttemptEnd(AttemptEnd.PartBlocked(verdict.retryAfterMs), "its prompt part ${verdict.part} crashes engines")
        return true
    }

    /**
     * Longest acceptable queueing time on a backend server, in milliseconds. Callers give up on a stream that does not
     * begin; one that has begun may wait until its deadline. The limit does not depend on the length of the prompt.
     */
    private fun maxWaitMs(): Double =
        if (streaming && !responseStarted) route.targetLatencyMs * MAX_WAIT_TARGET_RATIO else Double.MAX_VALUE

    private fun onAttemptEnd(end: AttemptEnd, detail: String) {
        if (done) return
        applyStep(decideNextStep(end), end, detail)
    }

    private fun decideNextStep(end: AttemptEnd): NextStep {
        val progress = RequestProgress(
            idempotent = route.idempotent,
            resumable = streaming && route.resumable,
            maxAttempts = route.maxAttempts,
            sentAttempts = sentAttempts,
            unsentAttempts = unsentAttempts,
            mayHaveRun = mayHaveRun,
            responseStarted = responseStarted,
            remainingMs = remainingMs(),
        )
        return nextStep(progress, end, context.budget(service.name).allows(context.timers.nowMs()))
    }

    private fun applyStep(step: NextStep, end: AttemptEnd, detail: String) {
        attempt = null
        if (end is AttemptEnd.NoAnswer || end is AttemptEnd.BrokenOff || end is AttemptEnd.Failed) mayHaveRun = true
        logStep(step, end, detail)
        when (step) {
            is NextStep.SendAgain -> {
                if (step.countsAgainstBudget) {
                    context.budget(service.name).onRetry(context.timers.nowMs())
                    context.metrics.onRetry(service.name)
                }
                send()
            }
            NextStep.RefuseNotRun -> refuse(end, detail)
            NextStep.FailUnknown -> fail(STATUS_OUTCOME_UNKNOWN, "may-have-run", detail)
            NextStep.PassFailure -> fail(STATUS_OUTCOME_UNKNOWN, "ran-and-failed", detail)
            NextStep.BreakOff -> {
                response.abort()
                end("broken-off", detail)
            }
        }
    }

    private fun logStep(step: NextStep, end: AttemptEnd, detail: String) = context.log.write(
        "attempt-ended",
        "request" to id,
        "route" to route.name,
        "end" to end::class.simpleName,
        "backend" to triedBackends.lastOrNull(),
        "detail" to detail,
        "sends" to sentAttempts,
        "remaining_ms" to remainingMs(),
        "next" to step::class.simpleName,
    )

    private fun refuse(end: AttemptEnd, detail: String) {
        val knownRetryAfterMs = when (end) {
            is AttemptEnd.Rejected -> end.retryAfterMs
            is AttemptEnd.PartBlocked -> end.retryAfterMs
            else -> null
        }
        val retryAfterMs = knownRetryAfterMs ?: RETRY_AFTER_MS
        response.refuse(STATUS_NOT_RUN, "not run: $detail", retryAfterMs)
        end("not-run", detail)
    }

    private fun fail(status: Int, outcome: String, detail: String) {
        if (responseStarted) response.abort() else response.refuse(status, "$outcome: $detail")
        end(outcome, detail)
    }

    private fun onDeadline() {
        if (done) return
        val running = attempt
        running?.cancel()
        val sent = mayHaveRun || running?.sent == true
        if (sent || responseStarted) {
            fail(STATUS_TIMEOUT, "timed-out", "no complete answer in time")
        } else {
            refuse(AttemptEnd.NoCandidate, "no backend server took it in time")
        }
    }

    private fun end(outcome: String, detail: String) {
        done = true
        deadlineTimer?.cancel()
        attempt = null
        context.metrics.onRequestEnd(route.name, outcome)
        context.log.write(
            "request",
            "request" to id,
            "route" to route.name,
            "account" to account?.name,
            "outcome" to outcome,
            "backend" to triedBackends.lastOrNull(),
            "sends" to sentAttempts,
            "first_ms" to firstByteMs,
            "predicted_ms" to predictedMs?.toLong(),
            "ms" to context.timers.nowMs() - request.receivedAtMs,
            "config" to context.routes?.version,
            "detail" to detail,
        )
        onDone()
    }

    /** One attempt on a backend server. */
    private inner class Attempt(private val choice: BackendChoice) : HttpListener {
        private val load = choice.load
        private val splitter = EventSplitter()
        private var call: HttpCall? = null
        private var stallTimer: TimerHandle? = null
        private var countedInLoad = false
        private var countedAsActiveStream = false
        private var pendingPrefillTokens = 0L
        private var ended = false
        private var responseHead: Pair<Int, HttpHeaders>? = null
        private var headForwarded = false
        private val startedAtMs = context.timers.nowMs()
        private var lastDataMs = startedAtMs
        private var lastEventMs: Long? = null
        private var receivedEvents = 0
        private var repeatedBytes = 0L

        /** Whether the caller has received a part of another attempt's response. */
        private val continues = responseStarted
        private var addedEvents = false
        private var repeatedLast = false
        private val engine = context.engineLife(load.id)

        /** Whether the request may have reached the backend server. */
        var sent = false
            private set

        fun start() {
            sentAttempts++
            sent = true
            load.inFlight++
            countedInLoad = true
            pendingPrefillTokens = promptTokens
            load.pendingPrefillTokens += pendingPrefillTokens
            load.contextTokens += promptTokens
            choice.longestEventIntervalMs?.let { load.longestEventIntervalMs = it }
            // A reused connection may already be closed by the peer; a request that may run only once gets a new one.
            // So does a request without an id, since only the first response on a connection needs none.
            val newConnection = !route.idempotent || id.isEmpty()
            call = load.client.call(newRequestHead(), Unpooled.wrappedBuffer(request.body), newConnection, this)
            if (!ended && route.idempotent) startStallTimer(firstDataTimeoutMs())
        }

        private fun newRequestHead(): DefaultHttpRequest {
            val message = DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(request.method), request.uri)
            val headers = message.headers()
            copyEndToEnd(request.headers, headers)
            headers.remove(HttpHeaderNames.AUTHORIZATION)
            headers.remove(headerNames.account)
            headers.remove(HttpHeaderNames.EXPECT)
            headers.set(headerNames.remainingMs, maxOf(1, remainingMs() - TRANSFER_ALLOWANCE_MS))
            headers.set(headerNames.target, load.id)
            account?.let { headers.set(headerNames.account, it.name) }
            if (streaming) headers.set(headerNames.urgency, context.urgency(route, account?.priority))
            if (streaming) lastEventId?.let { headers.set(headerNames.lastEventId, it) }
            if (request.body.isNotEmpty() || request.method != "GET") {
                headers.setInt(HttpHeaderNames.CONTENT_LENGTH, request.body.size)
            }
            return message
        }

        /** Time without any response data after which another backend server is tried. */
        private fun firstDataTimeoutMs(): Long = if (streaming) {
            (maxOf(choice.expectedMs, choice.predictedMs) * PREDICTION_MARGIN_FACTOR).toLong() + STREAM_STALL_TIMEOUT_MS
        } else {
            maxOf(MIN_PLAIN_STALL_TIMEOUT_MS, route.targetLatencyMs)
        }

        private fun startStallTimer(timeoutMs: Long) {
            stallTimer?.cancel()
            stallTimer = context.timers.after(timeoutMs) { onStallTimer(timeoutMs) }
        }

        private fun onStallTimer(timeoutMs: Long) {
            if (ended) return
            val now = context.timers.nowMs()
            val sinceLastDataMs = now - lastDataMs
            // An engine that responds to other requests is alive; only this request is waiting.
            val backendUnresponsive = now - load.lastResponseMs >= minOf(timeoutMs, STREAM_STALL_TIMEOUT_MS)
            when {
                sinceLastDataMs < timeoutMs -> startStallTimer(timeoutMs - sinceLastDataMs)
                streaming && !backendUnresponsive -> startStallTimer(STALL_RECHECK_INTERVAL_MS)
                !canRetry() -> startStallTimer(STALL_RECHECK_INTERVAL_MS)
                else -> {
                    context.markUnresponsive(load)
                    cancel()
                    val end = if (responseStarted) AttemptEnd.BrokenOff else AttemptEnd.NoAnswer
                    onAttemptEnd(end, "${load.id} sent nothing for $sinceLastDataMs ms")
                }
            }
        }

        /** Whether another attempt is allowed and a healthy backend server should respond before the deadline. */
        private fun canRetry(): Boolean {
            if (sentAttempts >= route.maxAttempts) return false
            if (!context.budget(service.name).allows(context.timers.nowMs())) return false
            val other = context.choose(service, model, tokens, triedBackends) ?: return false
            return context.timers.nowMs() >= other.load.suspectUntilMs && other.expectedMs < remainingMs()
        }

        override fun onHead(status: Int, headers: HttpHeaders) {
            val now = context.timers.nowMs()
            lastDataMs = now
            load.onResponseData(now)
            runningRequestsOf(headers.get(headerNames.load))?.let { load.onLoadReport(it, now) }
            val detail = "$status of ${load.id}"
            when (useOf(responseHeadOf(status, headers, headerNames), streaming, responseStarted)) {
                ResponseUse.REJECTION -> {
                    if (status == STATUS_MISDIRECTED) context.markUnresponsive(load)
                    endAttempt(AttemptEnd.Rejected(retryAfterMs(headers)), detail)
                }
                ResponseUse.INVALID -> discard("$detail without a seal")
                ResponseUse.FAILURE -> onServerError(status, headers)
                ResponseUse.NO_CONTINUATION ->
                    endAttempt(AttemptEnd.BrokenOff, "$detail does not continue the stream")
                ResponseUse.EVENTS -> responseHead = status to headers.copyEndToEndHeaders()
                ResponseUse.WHOLE -> {
                    responseHead = status to headers.copyEndToEndHeaders()
                    forwardHead()
                }
            }
        }

        private fun onServerError(status: Int, headers: HttpHeaders) {
            load.onFailure(context.timers.nowMs())
            val step = decideNextStep(AttemptEnd.Failed)
            if (step is NextStep.PassFailure) {
                responseHead = status to headers.copyEndToEndHeaders()
                forwardHead()
            } else {
                call?.discard()
                releaseLoad()
                applyStep(step, AttemptEnd.Failed, "$status of ${load.id}")
            }
        }

        private fun HttpHeaders.copyEndToEndHeaders(): HttpHeaders = DefaultHttpHeaders().also {
            copyEndToEnd(this, it)
        }

        private fun forwardHead() {
            val (status, headers) = responseHead ?: return
            if (headForwarded) return
            headForwarded = true
            if (!responseStarted) {
                responseStarted = true
                if (isStream()) headers.remove(HttpHeaderNames.CONTENT_LENGTH)
                val latencyMs = context.timers.nowMs() - request.receivedAtMs
                firstByteMs = latencyMs
                context.metrics.onFirstByte(route.name, latencyMs)
                response.begin(status, headers)
            }
        }

        /** Whether the response is a stream of events; an error response of a streaming route is not. */
        private fun isStream(): Boolean = streaming && responseHead?.first in SUCCESS_STATUSES

        override fun onData(data: ByteBuf) {
            if (ended) return
            val now = context.timers.nowMs()
            lastDataMs = now
            load.onResponseData(now)
            if (!isStream()) {
                response.write(data.retain())
            } else {
                forwardEvents(ByteBufUtil.getBytes(data))
            }
            if (!response.writable) call?.pauseReading(true)
        }

        private fun forwardEvents(bytes: ByteArray) {
            val events = splitter.feed(bytes)
            onEventsReceived(events.size)
            recordEventInterval(events.size)
            if (splitter.overflowed) return discard("${load.id} sent an event above the limit")
            if (events.isNotEmpty() && !countedAsActiveStream) {
                countedAsActiveStream = true
                load.activeStreams++
            }
            for (event in events) {
                onPromptPrefilled()
                when (useOf(event, lastEventId, continues)) {
                    EventUse.FORWARD -> forward(event)
                    EventUse.SKIP -> {
                        repeatedBytes += event.bytes.size
                        repeatedLast = event.id == lastEventId
                    }
                    EventUse.INVALID -> return discard("${load.id} continued the stream without event ids")
                }
            }
            if (repeatedBytes > MAX_REPEATED_BYTES) return discard("${load.id} repeated its events without end")
            if (route.idempotent && events.isNotEmpty()) startStallTimer(STREAM_STALL_TIMEOUT_MS)
        }

        private fun forward(event: StreamEvent) {
            addedEvents = addedEvents || !event.isComment
            forwardHead()
            response.write(Unpooled.wrappedBuffer(event.bytes))
            event.id?.let { lastEventId = it }
        }

        /** An engine that crashes under a request does so when it begins the response, so it sends no second event. */
        private fun onEventsReceived(count: Int) {
            val begun = receivedEvents >= EVENTS_PAST_START
            receivedEvents += count
            if (!begun && receivedEvents >= EVENTS_PAST_START) context.promptParts.onSurvived(parts)
        }

        private fun recordEventInterval(events: Int) {
            val eventIntervalMs = choice.eventIntervalMs ?: return
            if (events == 0) return
            val now = context.timers.nowMs()
            if (lastEventMs == null) load.onFirstEvent(now - startedAtMs, choice.predictedMs)
            lastEventMs?.let { load.onEventInterval((now - it) / events, eventIntervalMs) }
            lastEventMs = now
        }

        private fun onPromptPrefilled() {
            load.pendingPrefillTokens -= pendingPrefillTokens
            pendingPrefillTokens = 0
        }

        override fun onEnd() {
            if (ended) return
            if (isStream() && splitter.pendingBytes > 0) return discard("${load.id} ended its answer within an event")
            if (!completesResponse(continues, addedEvents, repeatedLast)) {
                return discard("${load.id} ended its answer without an event that continues the stream")
            }
            forwardHead()
            releaseLoad()
            load.onSuccess()
            context.promptParts.onSurvived(parts)
            response.finish()
            val status = responseHead?.first ?: 0
            end(if (status < STATUS_SERVER_ERROR) "served" else "ran-and-failed", "status $status")
        }

        override fun onFailure(failure: HttpFailure, message: String) {
            if (ended) return
            val now = context.timers.nowMs()
            releaseLoad()
            if (failure == HttpFailure.NOT_SENT) {
                sentAttempts--
                unsentAttempts++
                sent = false
                context.markUnresponsive(load)
                onAttemptEnd(AttemptEnd.NotSent, message)
            } else {
                if (failure == HttpFailure.UNATTRIBUTED) {
                    context.metrics.onUnattributed(service.name)
                } else {
                    load.onFailure(now)
                    if (receivedEvents < EVENTS_PAST_START) context.promptParts.onEngineEnded(parts, engine)
                }
                onAttemptEnd(if (responseStarted) AttemptEnd.BrokenOff else AttemptEnd.NoAnswer, message)
            }
        }

        /** Ends the attempt without using its response. */
        private fun endAttempt(end: AttemptEnd, detail: String) {
            call?.discard()
            releaseLoad()
            onAttemptEnd(end, detail)
        }

        /** Ends the attempt after an invalid response and closes the connection. */
        private fun discard(detail: String) {
            call?.cancel()
            load.onFailure(context.timers.nowMs())
            endAttempt(if (responseStarted) AttemptEnd.BrokenOff else AttemptEnd.NoAnswer, detail)
        }

        fun cancel() {
            call?.cancel()
            releaseLoad()
        }

        fun pauseReading(paused: Boolean) {
            call?.pauseReading(paused)
        }

        private fun releaseLoad() {
            ended = true
            stallTimer?.cancel()
            if (!countedInLoad) return
            countedInLoad = false
            if (countedAsActiveStream) load.activeStreams--
            load.inFlight--
            load.contextTokens -= promptTokens
            onPromptPrefilled()
        }
    }

    private companion object {
        val SUCCESS_STATUSES = 200..299
        const val STATUS_SERVER_ERROR = 500
        const val STATUS_OUTCOME_UNKNOWN = 502
        const val STATUS_NOT_RUN = 503
        const val STATUS_TIMEOUT = 504
        const val STATUS_MISDIRECTED = 421

        /** Subtracted from the remaining time for the transfer to the backend server. */
        const val TRANSFER_ALLOWANCE_MS = 2L

        /** Forming a group again without a lost member takes about two seconds; other groups have room sooner. */
        const val RETRY_AFTER_MS = 300L

        /** Several steps of a full batch; a working engine sends events much more often. */
        const val STREAM_STALL_TIMEOUT_MS = 450L
        const val STALL_RECHECK_INTERVAL_MS = 100L

        /** With its second event, an engine has gone past the beginning of its response. */
        const val EVENTS_PAST_START = 2

        /** Many times the events that a backend server repeats when it resumes a stream from its beginning. */
        const val MAX_REPEATED_BYTES = 256 * 1024L
        const val MIN_PLAIN_STALL_TIMEOUT_MS = 150L
        const val PREDICTION_MARGIN_FACTOR = 2.0

        /** A first event later than this multiple of its target is of little use, and delays other requests. */
        const val MAX_WAIT_TARGET_RATIO = 1.5
    }
}
