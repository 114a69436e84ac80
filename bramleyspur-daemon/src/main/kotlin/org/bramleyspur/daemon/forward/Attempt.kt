/*
 * One attempt of a request on a backend server: reads its response and passes on what is new for the caller.
 */
package org.bramleyspur.daemon.forward

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import org.bramleyspur.daemon.http.HttpCall
import org.bramleyspur.daemon.http.HttpFailure
import org.bramleyspur.daemon.http.HttpListener
import org.bramleyspur.traffic.forward.AttemptEnd
import org.bramleyspur.traffic.forward.EventSplitter
import org.bramleyspur.traffic.forward.NextStep
import org.bramleyspur.traffic.forward.STREAM_SILENCE_LIMIT_MS

/** What an attempt tells its request. */
internal interface AttemptOwner {
    /** The attempt and its backend server have sent nothing for [silentMs]; repeated while this lasts. */
    fun onSilent(attempt: Attempt, silentMs: Long)

    /** Data of the attempt arrived. */
    fun onData(attempt: Attempt)

    /** The attempt has something new for the caller; the other attempts of the request are cancelled. */
    fun takeOver(attempt: Attempt)

    /** What would follow if the attempt ended with [end]. */
    fun stepAfter(attempt: Attempt, end: AttemptEnd): NextStep

    /** The attempt ended without a complete response; [step] follows, or what [stepAfter] returns if it is null. */
    fun onEnded(attempt: Attempt, end: AttemptEnd, detail: String, step: NextStep? = null)

    /** The attempt ended with a complete response, which was forwarded. */
    fun onComplete(attempt: Attempt, status: Int)
}

/**
 * An attempt of [request] on the backend server of [choice]. Confined to the traffic thread.
 *
 * @property repeated whether the backend server had been asked before, in an attempt that was superseded
 */
internal class Attempt(
    private val context: ForwardContext,
    private val request: AdmittedRequest,
    private val choice: BackendChoice,
    val repeated: Boolean,
    private val response: DeliveredResponse,
    private val owner: AttemptOwner,
) : HttpListener {
    private val load = choice.load
    private val counters = AttemptLoad(load, request.tokens.prompt)
    private val splitter = EventSplitter()
    private val silence = SilenceWatch(
        context.timers,
        lastServerDataMs = { if (request.streaming) load.lastResponseMs else null },
        onSilent = { owner.onSilent(this, it) },
    )
    private var call: HttpCall? = null
    private var ended = false
    private var responseHead: Pair<Int, HttpHeaders>? = null
    private val startedAtMs = context.timers.nowMs()
    private var lastEventMs: Long? = null
    private var receivedEvents = 0
    private var repeatedBytes = 0L
    private val engine = context.engineLife(load.id)

    val backendId: String get() = load.id

    /** Whether the backend server was marked as unresponsive since it last sent data for this attempt. */
    private var markedUnresponsive = false

    fun start() {
        counters.onSent()
        choice.longestEventIntervalMs?.let { load.longestEventIntervalMs = it }
        // A reused connection may already be closed by the peer; a request that may run only once gets a new one.
        val newConnection = !request.route.idempotent
        val head = request.head(load.id, response.lastEventId)
        call = load.client.call(head, Unpooled.wrappedBuffer(request.caller.body), newConnection, this)
        if (!ended && request.route.idempotent) silence.start(firstDataTimeoutMs())
    }

    /** Time without any response data after which another backend server is tried. */
    private fun firstDataTimeoutMs(): Long = if (request.streaming) {
        (maxOf(choice.expectedMs, choice.predictedMs) * PREDICTION_MARGIN_FACTOR).toLong() + STREAM_SILENCE_LIMIT_MS
    } else {
        maxOf(MIN_PLAIN_SILENCE_LIMIT_MS, request.route.targetLatencyMs)
    }

    /** Marks the backend server as unresponsive, once for each silence. */
    fun markUnresponsive() {
        if (markedUnresponsive) return
        markedUnresponsive = true
        context.markUnresponsive(load)
    }

    private fun onResponseData() {
        silence.onData()
        markedUnresponsive = false
        context.onResponseData(load)
        owner.onData(this)
    }

    override fun onHead(status: Int, headers: HttpHeaders) {
        onResponseData()
        runningRequestsOf(headers.get(context.headers.load))?.let { load.onLoadReport(it, context.timers.nowMs()) }
        when {
            headers.contains(context.headers.notExecuted) || status == STATUS_MISDIRECTED -> {
                if (status == STATUS_MISDIRECTED) context.markUnresponsive(load)
                endAttempt(AttemptEnd.Rejected(retryAfterMs(headers)), "$status of ${load.id}")
            }
            !headers.contains(context.headers.seal) -> discard("$status of ${load.id} without a seal")
            status >= STATUS_SERVER_ERROR -> onServerError(status, headers)
            else -> {
                responseHead = status to headers.copyEndToEndHeaders()
                if (!isStream()) forwardHead()
            }
        }
    }

    private fun onServerError(status: Int, headers: HttpHeaders) {
        load.onFailure(context.timers.nowMs())
        val step = owner.stepAfter(this, AttemptEnd.Failed)
        if (step is NextStep.PassFailure) {
            responseHead = status to headers.copyEndToEndHeaders()
            forwardHead()
        } else {
            call?.discard()
            release()
            owner.onEnded(this, AttemptEnd.Failed, "$status of ${load.id}", step)
        }
    }

    private fun HttpHeaders.copyEndToEndHeaders(): HttpHeaders = DefaultHttpHeaders().also { copyEndToEnd(this, it) }

    private fun forwardHead() {
        val (status, headers) = responseHead ?: return
        owner.takeOver(this)
        response.begin(status, headers, isStream())
    }

    /** Whether the response is a stream of events; an error response of a streaming route is not. */
    private fun isStream(): Boolean = request.streaming && responseHead?.first in SUCCESS_STATUSES

    override fun onData(data: ByteBuf) {
        if (ended) return
        onResponseData()
        if (!isStream()) {
            response.write(data.retain())
        } else {
            forwardEvents(ByteBufUtil.getBytes(data))
        }
        if (!ended && !response.writable) pauseReading(true)
    }

    private fun forwardEvents(bytes: ByteArray) {
        val events = splitter.feed(bytes)
        onEventsReceived(events.size)
        recordEventInterval(events.size)
        if (splitter.overflowed) return discard("${load.id} sent an event above the limit")
        if (events.isNotEmpty()) counters.onEvent()
        for (event in events) {
            if (response.contains(event)) {
                repeatedBytes += event.bytes.size
                continue
            }
            forwardHead()
            response.write(event)
        }
        if (repeatedBytes > MAX_REPEATED_BYTES) return discard("${load.id} repeated its events without end")
        if (request.route.idempotent && events.isNotEmpty()) silence.start(STREAM_SILENCE_LIMIT_MS)
    }

    /** An engine that crashes under a request does so when it begins the response, so it sends no second event. */
    private fun onEventsReceived(count: Int) {
        val begun = receivedEvents >= EVENTS_PAST_START
        receivedEvents += count
        if (!begun && receivedEvents >= EVENTS_PAST_START) context.promptParts.onSurvived(request.parts)
    }

    private fun recordEventInterval(events: Int) {
        val eventIntervalMs = choice.eventIntervalMs ?: return
        if (events == 0) return
        val now = context.timers.nowMs()
        if (lastEventMs == null) load.onFirstEvent(now - startedAtMs, choice.predictedMs)
        lastEventMs?.let { load.onEventInterval((now - it) / events, eventIntervalMs) }
        lastEventMs = now
    }

    override fun onEnd() {
        if (ended) return
        if (isStream() && splitter.pendingBytes > 0) return discard("${load.id} ended its answer within an event")
        forwardHead()
        release()
        load.onSuccess()
        context.promptParts.onSurvived(request.parts)
        owner.onComplete(this, responseHead?.first ?: 0)
    }

    override fun onFailure(failure: HttpFailure, message: String) {
        if (ended) return
        release()
        if (failure == HttpFailure.NOT_SENT) {
            context.markUnresponsive(load)
            owner.onEnded(this, AttemptEnd.NotSent, message)
        } else {
            load.onFailure(context.timers.nowMs())
            if (receivedEvents < EVENTS_PAST_START) context.promptParts.onEngineEnded(request.parts, engine)
            owner.onEnded(this, brokenEnd(), message)
        }
    }

    private fun brokenEnd() = if (response.started) AttemptEnd.BrokenOff else AttemptEnd.NoAnswer

    /** Ends the attempt without using its response. */
    private fun endAttempt(end: AttemptEnd, detail: String) {
        call?.discard()
        release()
        owner.onEnded(this, end, detail)
    }

    /** Ends the attempt after an invalid response and closes the connection. */
    private fun discard(detail: String) {
        call?.cancel()
        load.onFailure(context.timers.nowMs())
        endAttempt(brokenEnd(), detail)
    }

    /** Closes the connection, which tells the backend server to stop. */
    fun cancel() {
        call?.cancel()
        release()
    }

    fun pauseReading(paused: Boolean) {
        call?.pauseReading(paused)
        silence.pause(paused)
        counters.onPaused(paused, context.timers.nowMs())
    }

    private fun release() {
        ended = true
        silence.stop()
        counters.release()
    }

    private companion object {
        val SUCCESS_STATUSES = 200..299
        const val STATUS_SERVER_ERROR = 500
        const val STATUS_MISDIRECTED = 421

        /** With its second event, an engine has gone past the beginning of its response. */
        const val EVENTS_PAST_START = 2

        /** Many times the events that a backend server repeats when it resumes a stream from its beginning. */
        const val MAX_REPEATED_BYTES = 256 * 1024L
        const val MIN_PLAIN_SILENCE_LIMIT_MS = 150L
        const val PREDICTION_MARGIN_FACTOR = 2.0
    }
}
