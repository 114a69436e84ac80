/*
 * One attempt of a request on a backend server: reads its response and passes on what is new for the caller.
 */
package org.bramleyspur.daemon.forward

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import org.bramleyspur.daemon.http.HttpCall
import org.bramleyspur.daemon.http.HttpFailure
import org.bramleyspur.daemon.http.HttpListener
import org.bramleyspur.daemon.http.ResponseFraming
import org.bramleyspur.traffic.forward.AttemptEnd
import org.bramleyspur.traffic.forward.NextStep
import org.bramleyspur.traffic.forward.ResponseUse
import org.bramleyspur.traffic.forward.STREAM_SILENCE_LIMIT_MS
import org.bramleyspur.traffic.forward.useOf

/** What an attempt tells its request. */
internal interface AttemptOwner {
    /** The attempt and its backend server have sent nothing for [silentMs]; repeated while this lasts. */
    fun onSilent(attempt: Attempt, silentMs: Long)

    /** [cause] was thrown while an event of the attempt was handled. */
    fun onFault(cause: Throwable)

    /** Data of the attempt arrived. */
    fun onData(attempt: Attempt)

    /** The attempt has something new for the caller; the other attempts of the request are cancelled. */
    fun takeOver(attempt: Attempt)

    /** Whether other attempts of the request are running besides [attempt]. */
    fun hasOthers(attempt: Attempt): Boolean

    /** What would follow if the attempt ended with [end]. */
    fun stepAfter(attempt: Attempt, end: AttemptEnd): NextStep?

    /** The attempt ended without a complete response. */
    fun onEnded(attempt: Attempt, end: AttemptEnd, detail: String)

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
    private val events = AttemptEvents(response, othersRunning = { owner.hasOthers(this) })
    private val silence = SilenceWatch(
        context.timers,
        lastServerDataMs = { if (request.streaming) load.lastResponseMs else null },
        onSilent = { silentMs -> guarded(owner::onFault) { owner.onSilent(this, silentMs) } },
    )
    private var call: HttpCall? = null
    private var ended = false
    private var responseHead: Pair<Int, HttpHeaders>? = null
    private var framing: ResponseFraming? = null
    private val startedAtMs = context.timers.nowMs()
    private var lastEventMs: Long? = null
    private val engine = context.engineLife(load.id)

    val backendId: String get() = load.id

    /** Whether the backend server was marked as unresponsive since it last sent data for this attempt. */
    private var markedUnresponsive = false

    /** Sends the request with [head]. */
    fun start(head: HttpRequest) {
        counters.onSent()
        context.cold.onSent(request.service, load.id)
        choice.longestEventIntervalMs?.let { load.longestEventIntervalMs = it }
        // A reused connection may already be closed by the peer; a request that may run only once gets a new one.
        // So does a request without an id, since only the first response on a connection needs none.
        val newConnection = !request.route.idempotent || request.id.isEmpty()
        val body = Unpooled.wrappedBuffer(request.caller.body)
        call = load.client.call(head, body, newConnection, GuardedListener(this, owner::onFault))
        if (!ended && request.route.idempotent) silence.start(firstDataTimeoutMs())
    }

    /** Time without any response data after which the attempt counts as silent. */
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
        context.availability.onResponseHead(engine, status, headers)
        if (status != STATUS_MISDIRECTED) context.cold.onResponseHead(engine, headers)
        val detail = "$status of ${load.id}"
        when (useOf(responseHeadOf(status, headers, context.headers), request.streaming, response.started)) {
            ResponseUse.REJECTION -> {
                if (status == STATUS_MISDIRECTED) context.markUnresponsive(load)
                endAttempt(AttemptEnd.Rejected(retryAfterMs(headers)), detail)
            }
            ResponseUse.INVALID -> discard("$detail without a seal")
            ResponseUse.FAILURE -> onServerError(status, headers)
            ResponseUse.NO_CONTINUATION -> endAttempt(AttemptEnd.BrokenOff, "$detail does not continue the stream")
            // Forwarded with the first data: until then, another backend server may answer.
            ResponseUse.EVENTS, ResponseUse.WHOLE -> {
                framing = ResponseFraming(request.caller.method, status, headers)
                responseHead = status to headers.copyEndToEndHeaders()
            }
        }
    }

    private fun onServerError(status: Int, headers: HttpHeaders) {
        load.onFailure(context.timers.nowMs())
        if (owner.stepAfter(this, AttemptEnd.Failed) is NextStep.PassFailure) {
            responseHead = status to headers.copyEndToEndHeaders()
            forwardHead()
        } else {
            call?.discard()
            release()
            owner.onEnded(this, AttemptEnd.Failed, "$status of ${load.id}")
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
        framing?.onData()
        if (!isStream()) {
            onResponseData()
            forwardHead()
            response.write(data.retain())
        } else {
            forwardEvents(ByteBufUtil.getBytes(data))
        }
        if (!ended && !response.writable) pauseReading(true)
    }

    private fun forwardEvents(bytes: ByteArray) {
        val begun = events.received >= EVENTS_PAST_START
        val received = events.split(bytes)
        // An engine that crashes under a request does so when it begins the response, so it sends no second event.
        if (!begun && events.received >= EVENTS_PAST_START) context.promptParts.onSurvived(request.parts)
        // A part of an event, or a comment, is no progress: a stalled server may send one now and then.
        if (received.any { !it.isComment }) onResponseData()
        recordEventInterval(received.size)
        if (received.isNotEmpty()) counters.onEvent()
        val wrong = events.forwardNew(received) {
            forwardHead()
            response.write(it)
        }
        if (wrong != null) return discard("${load.id} $wrong")
        if (request.route.idempotent && received.any { !it.isComment }) silence.start(STREAM_SILENCE_LIMIT_MS)
    }

    private fun recordEventInterval(events: Int) {
        val eventIntervalMs = choice.eventIntervalMs ?: return
        if (events == 0) return
        val now = context.timers.nowMs()
        if (lastEventMs == null) load.onFirstEvent(now - startedAtMs, choice.predictedMs, now)
        lastEventMs?.let { load.onEventInterval((now - it) / events, eventIntervalMs) }
        lastEventMs = now
    }

    override fun onEnd() {
        if (ended) return
        val wrong = when {
            framing?.maybeCut == true -> "closed the connection after the head of its answer"
            isStream() -> events.wrongEnd()
            else -> null
        }
        if (wrong != null) return discard("${load.id} $wrong")
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
            onBroken(failure)
            owner.onEnded(this, brokenEnd(), message)
        }
    }

    private fun onBroken(failure: HttpFailure) {
        if (failure == HttpFailure.UNATTRIBUTED) return context.metrics.onUnattributed(request.service.name)
        load.onFailure(context.timers.nowMs())
        if (events.received < EVENTS_PAST_START) context.promptParts.onEngineEnded(request.parts, engine)
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

        /** With its second event, an engine has gone past the beginning of its response. */
        const val EVENTS_PAST_START = 2
        const val MIN_PLAIN_SILENCE_LIMIT_MS = 150L
        const val PREDICTION_MARGIN_FACTOR = 2.0
    }
}
