/*
 * One request on its way to backend servers: the attempts, their time limits, and what of their answers is passed on.
 * What follows an attempt is decided by the attempt rules.
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
import org.bramleyspur.traffic.forward.NextStep
import org.bramleyspur.traffic.forward.RequestFacts
import org.bramleyspur.traffic.forward.nextStep

/** A request that a route admits. Used by the traffic thread. */
internal class ForwardedRequest(
    private val context: ForwardContext,
    private val request: CallerRequest,
    private val route: DocumentRoute,
    private val service: DocumentService,
    private val account: DocumentAccount?,
    private val answer: CallerAnswer,
    private val onDone: () -> Unit,
) {
    private val names = context.headers
    private val id = request.headers.get(names.attemptId).orEmpty()
    private val model: String? = request.headers.get(names.model)
    private val tokens = tokenCountsOf(request.headers.get(names.tokenCounts))
    private val promptTokens = tokens.prompt
    private val streaming = route.kind == RouteKind.STREAMING
    private val deadlineMs = deadlineMs()
    private val tried = LinkedHashSet<String>()
    private var deadlineTimer: TimerHandle? = null
    private var attempt: Attempt? = null
    private var sends = 0
    private var unsent = 0
    private var mayHaveRun = false
    private var lastEventId: Long? = request.headers.get(names.lastEventId)?.trim()?.toLongOrNull()
    private var answerStarted = false
    private var done = false
    private var firstMs: Long? = null
    private var predictedMs: Double? = null

    private fun deadlineMs(): Long {
        val caller = request.headers.get(names.remainingMs)?.trim()?.toLongOrNull()
        return request.receivedMs + minOf(caller ?: route.timeoutMs, route.timeoutMs)
    }

    private fun remainingMs(): Long = deadlineMs - context.timers.nowMs()

    /** Begins the first attempt. */
    fun start() {
        context.budget(service.name).onRequest(context.timers.nowMs())
        deadlineTimer = context.timers.after(maxOf(0, remainingMs())) { onDeadline() }
        send()
    }

    /** The caller has left: the backend server is told by the end of its connection. */
    fun callerLeft() {
        if (done) return
        attempt?.abandon()
        end("caller-left", "")
    }

    /** The caller takes more data, or stopped taking it. */
    fun onCallerWritable(writable: Boolean) {
        attempt?.pause(!writable)
    }

    private fun send() {
        val choice = context.choose(service, model, tokens, tried)
        when {
            choice == null -> onAttemptEnd(AttemptEnd.NoCandidate, "no backend server takes ${model ?: service.name}")
            choice.expectedMs > remainingMs() || choice.waitMs > longestWaitMs() ->
                onAttemptEnd(AttemptEnd.NoCandidate, "expected ${choice.expectedMs.toLong()} ms to the first event")
            else -> {
                tried += choice.load.id
                predictedMs = choice.expectedMs
                attempt = Attempt(choice).also { it.begin() }
            }
        }
    }

    /**
     * Longest wait for a place on a backend server, in milliseconds. Callers leave a stream that does not begin; one
     * that has begun continues as long as its deadline allows. Long prompts wait as long as short ones.
     */
    private fun longestWaitMs(): Double =
        if (streaming && !answerStarted) route.targetLatencyMs * LONGEST_WAIT_TARGETS else Double.MAX_VALUE

    private fun onAttemptEnd(end: AttemptEnd, detail: String) {
        if (done) return
        follow(decide(end), end, detail)
    }

    private fun decide(end: AttemptEnd): NextStep {
        val facts = RequestFacts(
            repeatable = route.idempotent,
            resumable = streaming && route.resumable,
            maxAttempts = route.maxAttempts,
            sends = sends,
            unsent = unsent,
            mayHaveRun = mayHaveRun,
            answerStarted = answerStarted,
            remainingMs = remainingMs(),
        )
        return nextStep(facts, end, context.budget(service.name).allows(context.timers.nowMs()))
    }

    private fun follow(step: NextStep, end: AttemptEnd, detail: String) {
        attempt = null
        if (end is AttemptEnd.NoAnswer || end is AttemptEnd.BrokenOff || end is AttemptEnd.Failed) mayHaveRun = true
        logStep(step, end, detail)
        when (step) {
            is NextStep.SendAgain -> {
                if (step.paid) {
                    context.budget(service.name).onSecondSend(context.timers.nowMs())
                    context.metrics.onSecondSend(service.name)
                }
                send()
            }
            NextStep.RefuseNotRun -> refuse(end, detail)
            NextStep.FailUnknown -> fail(STATUS_UNKNOWN, "may-have-run", detail)
            NextStep.PassFailure -> fail(STATUS_UNKNOWN, "ran-and-failed", detail)
            NextStep.BreakOff -> {
                answer.abort()
                end("broken-off", detail)
            }
        }
    }

    private fun logStep(step: NextStep, end: AttemptEnd, detail: String) = context.log.write(
        "attempt-ended",
        "request" to id,
        "route" to route.name,
        "end" to end::class.simpleName,
        "backend" to tried.lastOrNull(),
        "detail" to detail,
        "sends" to sends,
        "remaining_ms" to remainingMs(),
        "next" to step::class.simpleName,
    )

    private fun refuse(end: AttemptEnd, detail: String) {
        val retryAfterMs = (end as? AttemptEnd.Rejected)?.retryAfterMs ?: RETRY_AFTER_MS
        answer.refuse(STATUS_NOT_RUN, "not run: $detail", retryAfterMs)
        end("not-run", detail)
    }

    private fun fail(status: Int, outcome: String, detail: String) {
        if (answerStarted) answer.abort() else answer.refuse(status, "$outcome: $detail")
        end(outcome, detail)
    }

    private fun onDeadline() {
        if (done) return
        val running = attempt
        running?.abandon()
        val sent = mayHaveRun || running?.sent == true
        if (sent || answerStarted) {
            fail(STATUS_TIMEOUT, "timed-out", "no complete answer in time")
        } else {
            refuse(AttemptEnd.NoCandidate, "no backend server took it in time")
        }
    }

    private fun end(outcome: String, detail: String) {
        done = true
        deadlineTimer?.cancel()
        attempt = null
        context.metrics.onEnd(route.name, outcome)
        context.log.write(
            "request",
            "request" to id,
            "route" to route.name,
            "account" to account?.name,
            "outcome" to outcome,
            "backend" to tried.lastOrNull(),
            "sends" to sends,
            "first_ms" to firstMs,
            "predicted_ms" to predictedMs?.toLong(),
            "ms" to context.timers.nowMs() - request.receivedMs,
            "config" to context.routes?.version,
            "detail" to detail,
        )
        onDone()
    }

    /** One attempt at a backend server. */
    private inner class Attempt(private val choice: Choice) : HttpListener {
        private val load = choice.load
        private val splitter = EventSplitter()
        private var call: HttpCall? = null
        private var stallTimer: TimerHandle? = null
        private var counted = false
        private var writes = false
        private var unread = 0L
        private var ended = false
        private var head: Pair<Int, HttpHeaders>? = null
        private var passing = false
        private val begunMs = context.timers.nowMs()
        private var heardMs = begunMs
        private var lastEventMs: Long? = null

        /** Whether the request may have reached the backend server. */
        var sent = false
            private set

        fun begin() {
            sends++
            sent = true
            load.inFlight++
            counted = true
            unread = promptTokens
            load.unreadTokens += unread
            load.contextTokens += promptTokens
            choice.longestPassMs?.let { load.longestPassMs = it }
            // A kept connection can have been closed unseen; a request that may run once only gets a new one.
            val fresh = !route.idempotent
            call = load.client.call(requestHead(), Unpooled.wrappedBuffer(request.body), fresh, this)
            if (!ended && route.idempotent) watchForStall(firstAnswerLimitMs())
        }

        private fun requestHead(): DefaultHttpRequest {
            val message = DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(request.method), request.uri)
            val headers = message.headers()
            copyEndToEnd(request.headers, headers)
            headers.remove(HttpHeaderNames.AUTHORIZATION)
            headers.remove(names.account)
            headers.remove(HttpHeaderNames.EXPECT)
            headers.set(names.remainingMs, maxOf(1, remainingMs() - TRANSIT_MS))
            headers.set(names.target, load.id)
            account?.let { headers.set(names.account, it.name) }
            if (streaming) headers.set(names.urgency, context.urgency(route, account?.priority))
            if (streaming) lastEventId?.let { headers.set(names.lastEventId, it) }
            if (request.body.isNotEmpty() || request.method != "GET") {
                headers.setInt(HttpHeaderNames.CONTENT_LENGTH, request.body.size)
            }
            return message
        }

        /** Longest wait for the first piece of an answer before another backend server is tried. */
        private fun firstAnswerLimitMs(): Long = if (streaming) {
            (maxOf(choice.expectedMs, choice.predictedMs) * PREDICTION_MARGIN).toLong() + STREAM_STALL_MS
        } else {
            maxOf(MIN_PLAIN_STALL_MS, route.targetLatencyMs)
        }

        private fun watchForStall(limitMs: Long) {
            stallTimer?.cancel()
            stallTimer = context.timers.after(limitMs) { onStallTimer(limitMs) }
        }

        private fun onStallTimer(limitMs: Long) {
            if (ended) return
            val now = context.timers.nowMs()
            val quietMs = now - heardMs
            // A head that answers other requests works; only this request waits there.
            val backendQuiet = now - load.answeredMs >= minOf(limitMs, STREAM_STALL_MS)
            when {
                quietMs < limitMs -> watchForStall(limitMs - quietMs)
                streaming && !backendQuiet -> watchForStall(STALL_RECHECK_MS)
                !canMove() -> watchForStall(STALL_RECHECK_MS)
                else -> {
                    context.noteSilent(load)
                    abandon()
                    val end = if (answerStarted) AttemptEnd.BrokenOff else AttemptEnd.NoAnswer
                    onAttemptEnd(end, "${load.id} sent nothing for $quietMs ms")
                }
            }
        }

        /** Whether another attempt would be allowed and has somewhere to go; else waiting is all that is left. */
        private fun canMove(): Boolean {
            if (sends >= route.maxAttempts) return false
            if (!context.budget(service.name).allows(context.timers.nowMs())) return false
            val other = context.choose(service, model, tokens, tried) ?: return false
            return context.timers.nowMs() >= other.load.suspectUntilMs && other.expectedMs < remainingMs()
        }

        override fun onHead(status: Int, headers: HttpHeaders) {
            val now = context.timers.nowMs()
            heardMs = now
            load.onAnswering(now)
            runningOf(headers.get(names.load))?.let { load.onReport(it, now) }
            when {
                headers.contains(names.notExecuted) || status == STATUS_MISDIRECTED -> {
                    if (status == STATUS_MISDIRECTED) context.noteSilent(load)
                    leave(AttemptEnd.Rejected(retryAfterMs(headers)), "$status of ${load.id}")
                }
                !headers.contains(names.seal) -> drop("$status of ${load.id} without a seal")
                status >= STATUS_SERVER_ERROR -> onServerError(status, headers)
                else -> {
                    head = status to headers.copyAnswer()
                    if (!isStream()) passHead()
                }
            }
        }

        private fun onServerError(status: Int, headers: HttpHeaders) {
            load.onFailure(context.timers.nowMs())
            val step = decide(AttemptEnd.Failed)
            if (step is NextStep.PassFailure) {
                head = status to headers.copyAnswer()
                passHead()
            } else {
                release()
                follow(step, AttemptEnd.Failed, "$status of ${load.id}")
            }
        }

        private fun HttpHeaders.copyAnswer(): HttpHeaders = DefaultHttpHeaders().also { copyEndToEnd(this, it) }

        private fun passHead() {
            val (status, headers) = head ?: return
            if (passing) return
            passing = true
            if (!answerStarted) {
                answerStarted = true
                if (isStream()) headers.remove(HttpHeaderNames.CONTENT_LENGTH)
                val tookMs = context.timers.nowMs() - request.receivedMs
                firstMs = tookMs
                context.metrics.onFirstByte(route.name, tookMs)
                answer.begin(status, headers)
            }
        }

        /** Whether the answer is a stream of events; an error of a streaming route is not. */
        private fun isStream(): Boolean = streaming && head?.first in SUCCESS

        override fun onData(data: ByteBuf) {
            if (ended) return
            val now = context.timers.nowMs()
            heardMs = now
            load.onAnswering(now)
            if (!isStream()) {
                answer.write(data.retain())
            } else {
                passEvents(ByteBufUtil.getBytes(data))
            }
            if (!answer.writable) call?.pauseReading(true)
        }

        private fun passEvents(bytes: ByteArray) {
            val events = splitter.feed(bytes)
            notePace(events.size)
            if (splitter.overflowed) return drop("${load.id} sent an event above the limit")
            if (events.isNotEmpty() && !writes) {
                writes = true
                load.writing++
            }
            for (event in events) {
                markRead()
                val known = lastEventId
                val repeated = event.id != null && known != null && event.id!! <= known
                if (repeated) continue
                passHead()
                answer.write(Unpooled.wrappedBuffer(event.bytes))
                event.id?.let { lastEventId = it }
            }
            if (route.idempotent && events.isNotEmpty()) watchForStall(STREAM_STALL_MS)
        }

        private fun notePace(events: Int) {
            val passMs = choice.passMs ?: return
            if (events == 0) return
            val now = context.timers.nowMs()
            if (lastEventMs == null) load.onFirst(now - begunMs, choice.predictedMs)
            lastEventMs?.let { load.onPass((now - it) / events, passMs) }
            lastEventMs = now
        }

        private fun markRead() {
            load.unreadTokens -= unread
            unread = 0
        }

        override fun onEnd() {
            if (ended) return
            if (isStream() && splitter.pendingBytes > 0) return drop("${load.id} ended its answer within an event")
            passHead()
            release()
            load.onServed()
            answer.finish()
            val status = head?.first ?: 0
            end(if (status < STATUS_SERVER_ERROR) "served" else "ran-and-failed", "status $status")
        }

        override fun onFailure(failure: HttpFailure, message: String) {
            if (ended) return
            val now = context.timers.nowMs()
            release()
            if (failure == HttpFailure.NOT_SENT) {
                sends--
                unsent++
                sent = false
                context.noteSilent(load)
                onAttemptEnd(AttemptEnd.NotSent, message)
            } else {
                load.onFailure(now)
                onAttemptEnd(if (answerStarted) AttemptEnd.BrokenOff else AttemptEnd.NoAnswer, message)
            }
        }

        /** Ends the attempt whose answer is not used; the connection stays for later requests. */
        private fun leave(end: AttemptEnd, detail: String) {
            release()
            onAttemptEnd(end, detail)
        }

        /** Ends the attempt after an answer that cannot be used. */
        private fun drop(detail: String) {
            call?.cancel()
            load.onFailure(context.timers.nowMs())
            leave(if (answerStarted) AttemptEnd.BrokenOff else AttemptEnd.NoAnswer, detail)
        }

        fun abandon() {
            call?.cancel()
            release()
        }

        fun pause(paused: Boolean) {
            call?.pauseReading(paused)
        }

        private fun release() {
            ended = true
            stallTimer?.cancel()
            if (!counted) return
            counted = false
            if (writes) load.writing--
            load.inFlight--
            load.contextTokens -= promptTokens
            markRead()
        }
    }

    private companion object {
        val SUCCESS = 200..299
        const val STATUS_SERVER_ERROR = 500
        const val STATUS_UNKNOWN = 502
        const val STATUS_NOT_RUN = 503
        const val STATUS_TIMEOUT = 504
        const val STATUS_MISDIRECTED = 421

        /** What a message to a backend server takes off its time. */
        const val TRANSIT_MS = 2L

        /** A group without a lost member is formed again in about two seconds; other groups have room sooner. */
        const val RETRY_AFTER_MS = 300L

        /** Several steps of a full batch; a head that works sends events much more often. */
        const val STREAM_STALL_MS = 450L
        const val STALL_RECHECK_MS = 100L
        const val MIN_PLAIN_STALL_MS = 150L
        const val PREDICTION_MARGIN = 2.0

        /** A first event after this many times its target is of little use, and keeps the others waiting. */
        const val LONGEST_WAIT_TARGETS = 1.5
    }
}

private const val MS_PER_SECOND = 1_000.0

private fun tokenCountsOf(header: String?): TokenCounts {
    val counts = header?.split(',')?.map { it.trim().toLongOrNull()?.coerceAtLeast(0) ?: 0 }.orEmpty()
    return TokenCounts(counts.getOrElse(0) { 0 }, counts.getOrElse(1) { 0 })
}

/** Running and waiting requests of a load report; null when there is none. */
private fun runningOf(load: String?): Int? {
    val numbers = load?.split(',')?.map { it.trim().toIntOrNull() ?: return null } ?: return null
    return if (numbers.size >= 2) numbers[0] + numbers[1] else null
}

private fun retryAfterMs(headers: HttpHeaders): Long? =
    headers.get(HttpHeaderNames.RETRY_AFTER)?.trim()?.toDoubleOrNull()?.let { (it * MS_PER_SECOND).toLong() }
