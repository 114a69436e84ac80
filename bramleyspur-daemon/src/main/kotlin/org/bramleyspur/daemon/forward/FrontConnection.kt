/*
 * A caller's connection: reads one request at a time and writes the responses in order.
 */
package org.bramleyspur.daemon.forward

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.WriteBufferWaterMark
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.util.ReferenceCountUtil
import org.bramleyspur.traffic.forward.CallerStall
import org.bramleyspur.traffic.forward.OUTAGE_POLL_INTERVAL_MS
import org.bramleyspur.traffic.forward.isTakenDuringStop
import org.bramleyspur.traffic.forward.waitsForOutage
import java.io.IOException

/** Server side of a caller's connection. Confined to the traffic thread. */
internal class FrontConnection(
    private val server: FrontServer,
    private val context: ForwardContext,
    private val channel: Channel,
) : ChannelInboundHandlerAdapter() {
    /** Observes bytes before the HTTP codec, so that the time limit also covers an incomplete request head. */
    val byteObserver = object : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            if (discardingInput) return ReferenceCountUtil.release(message).let { }
            reader.onBytes((message as? ByteBuf)?.readableBytes() ?: 0, awaited = !responding)
            context.fireChannelRead(message)
            if (reader.headTooLong) guarded(::onFault) { onHeadTooLong() }
        }
    }

    private val faults = FaultLog(context)
    private val reader = RequestReader({ server.limits }, context.timers::nowMs, server::takesBody)
    private val pendingMessages = ArrayDeque<HttpObject>()
    private var discardingInput = false
    private var currentRequest: ForwardedRequest? = null
    private var currentId: String? = null

    /** The response to the request that was read last; null while the next one is awaited or read. */
    private var response: ConnectionResponse? = null
    private var lastResponse: ConnectionResponse? = null

    /** The response to the last request that waited for the configuration. */
    private var waitingFor: ConnectionResponse? = null
    private var keepAlive = true
    private var idleSinceMs = context.timers.nowMs()
    private var idleTimeoutMs = server.limits.idleTimeoutMs

    /** Bytes of the body of the request that is being read or forwarded. */
    val bodyBytes: Long get() = reader.bodyBytes + (currentRequest?.bodyBytes ?: 0).toLong()

    /** Bytes of responses that the caller's connection has not taken. */
    val unsentBytes: Long get() = channel.unsafe().outboundBuffer()?.totalPendingWriteBytes() ?: 0L

    private var stall = CallerStall()

    private val responding: Boolean get() = response != null

    /** Whether a request is being read or a response is being sent. */
    val busy: Boolean
        get() = responding || reader.started || pendingMessages.isNotEmpty() || lastResponse?.sent == false

    override fun channelActive(handler: ChannelHandlerContext) {
        server.onOpen(this)
    }

    override fun channelInactive(handler: ChannelHandlerContext) {
        server.onClosed(this)
        discardInput()
        val running = currentRequest
        currentRequest = null
        running?.onCallerDisconnected()
    }

    override fun channelWritabilityChanged(handler: ChannelHandlerContext) {
        stall = stall.onWritable(channel.isWritable, context.timers.nowMs())
        currentRequest?.onCallerWritable(channel.isWritable)
    }

    @Deprecated("Deprecated in Netty's handler interface, which still calls it.")
    override fun exceptionCaught(handler: ChannelHandlerContext, cause: Throwable) {
        if (cause is IOException) channel.close() else onFault(cause)
    }

    private val progress: String
        get() = currentRequest?.stage ?: when {
            responding -> "waiting"
            reader.started -> "read"
            else -> "idle"
        }

    /** Ends the request with the answer that its progress allows after [cause] was thrown. */
    private fun onFault(cause: Throwable) {
        val faulty = response
        guarded(::closeUnanswered) {
            faults.onFault(currentId, progress, cause)
            if (faulty?.begun == false) faulty.keepAlive = false
            currentRequest?.endEarly("internal error: ${cause::class.simpleName}")
        }
        guarded(::closeUnanswered) {
            if (faulty == null) {
                refuseFaultyInput()
            } else if (response === faulty) {
                endFaulty(faulty, cause)
            }
        }
    }

    private fun refuseFaultyInput() {
        if (reader.started) refuseInput(HttpResponseStatus.SERVICE_UNAVAILABLE, NOT_RUN) else channel.close()
    }

    /** Ends a response after a fault before the request was forwarded, or while its end was recorded. */
    private fun endFaulty(faulty: ConnectionResponse, cause: Throwable) {
        if (faulty.begun && !faulty.ended) return closeUnanswered(cause)
        if (!faulty.ended) faulty.refuse(STATUS_UNAVAILABLE, NOT_RUN, retryAfterMs(STATUS_UNAVAILABLE))
        onResponded()
    }

    /** Closes the connection although the request has no complete response, because none can be sent. */
    private fun closeUnanswered(cause: Throwable) {
        channel.close()
        faults.onUnanswered(currentId, progress, cause)
    }

    /** Limits the bytes of responses that are held before backend servers are not read any more. */
    fun limitUnsent(bytes: Int) {
        channel.config().writeBufferWaterMark = WriteBufferWaterMark(bytes / 2, bytes)
    }

    private fun endIfStalled() {
        val stalledMs = stall.endsResponseAfterMs(context.timers.nowMs()) ?: return
        currentRequest?.endForStalledCaller(stalledMs, unsentBytes)
    }

    /** Ends the connection when it has been idle, or an incomplete request has been arriving, for too long. */
    fun closeIfTimedOut() = guarded(::onFault) {
        endIfStalled()
        val idleMs = context.timers.nowMs() - idleSinceMs
        when {
            responding || lastResponse?.sent == false -> Unit
            reader.overdue ->
                refuseInput(HttpResponseStatus.REQUEST_TIMEOUT, "the request was not sent within the time limit")
            // A lowered limit does not apply to a caller that may have learned the one before.
            !reader.started && idleMs > maxOf(idleTimeoutMs, server.limits.idleTimeoutMs) -> channel.close()
        }
    }

    fun close() {
        channel.close()
    }

    /** Ends a running request with the answer that its progress allows, since the process is about to end. */
    fun endRunning() = guarded(::onFault) {
        val waiting = response?.takeIf { currentRequest == null && !it.begun }
        currentRequest?.endEarly("the entry stops")
        waiting?.let { rejectRequest(HttpResponseStatus.SERVICE_UNAVAILABLE, "not run: the entry stops", it) }
    }

    override fun channelRead(handler: ChannelHandlerContext, message: Any) = guarded(::onFault) { receive(message) }

    private fun receive(message: Any) {
        if (message !is HttpObject) return ReferenceCountUtil.release(message).let { }
        if (discardingInput) return ReferenceCountUtil.release(message).let { }
        reader.onDecoded()
        if (responding || pendingMessages.isNotEmpty()) {
            pendingMessages.addLast(message)
            // Bounds the memory for a caller that pipelines requests without reading the responses.
            if (pendingMessages.size > MAX_PENDING_MESSAGES) channel.config().isAutoRead = false
        } else {
            process(message)
        }
    }

    private fun process(message: HttpObject) {
        try {
            val result = message.decoderResult()
            if (result.isFailure) onMalformed(result.cause()) else onPart(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun onMalformed(cause: Throwable) = if (cause is TooLongHttpHeaderException) {
        refuseInput(HEAD_TOO_LARGE.status, HEAD_TOO_LARGE.text)
    } else {
        refuseInput(HttpResponseStatus.BAD_REQUEST, "the request is not HTTP/1.1: ${cause.message}")
    }

    /** Refuses a head whose end has not arrived, after the response to the request before it. */
    private fun onHeadTooLong() {
        if (responding) channel.config().isAutoRead = false
        val malformed = DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/")
        malformed.decoderResult = DecoderResult.failure(TooLongHttpHeaderException())
        receive(malformed)
    }

    private fun onPart(message: HttpObject) {
        if (message is HttpRequest) {
            keepAlive = HttpUtil.isKeepAlive(message)
            currentId = message.headers().get(context.headers.attemptId)
        }
        when (val step = reader.read(message)) {
            ReadStep.Incomplete -> Unit
            ReadStep.ContinueExpected ->
                channel.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
            is ReadStep.Refused -> refuseInput(step.status, step.text)
            is ReadStep.Whole -> onRequest(step.head, step.body)
        }
    }

    private fun onRequest(request: HttpRequest, body: ByteArray) {
        val newResponse = newResponse()
        val now = context.timers.nowMs()
        val callerRequest =
            CallerRequest(request.method().name(), request.uri(), request.headers(), body, now)
        admitOrWait(callerRequest, newResponse)
    }

    private fun admitOrWait(callerRequest: CallerRequest, newResponse: ConnectionResponse) {
        when (val admission = admit(context.admissionRoutes, callerRequest, context::randomFraction)) {
            is Admission.Rejected -> if (waitsForConfiguration(callerRequest)) {
                awaitConfiguration(callerRequest, newResponse)
            } else {
                rejectRequest(admission.status, admission.text, newResponse)
            }
            is Admission.Admitted -> {
                val (route, service, account) = admission
                val admitted = AdmittedRequest(context, callerRequest, route, service, account)
                if (!isTakenDuringStop(admitted.remainingMs(), server.remainingMs)) {
                    context.metrics.onRequestEnd(route.name, "refused-at-stop")
                    return rejectRequest(HttpResponseStatus.SERVICE_UNAVAILABLE, STOPPING, newResponse)
                }
                val forwarded = ForwardedRequest(context, admitted, newResponse, ::onFault, ::onResponded)
                currentRequest = forwarded
                forwarded.start()
            }
        }
    }

    /** Whether the request waits for the configuration, which an entry receives soon after its start. */
    private fun waitsForConfiguration(request: CallerRequest): Boolean {
        if (context.admissionRoutes != null) return false
        val waitedMs = context.timers.nowMs() - request.receivedAtMs
        val limitMs = request.headers.get(context.headers.remainingMs)?.trim()?.toLongOrNull() ?: DEFAULT_LIMIT_MS
        return waitsForOutage(waitedMs, limitMs - waitedMs, context.outages.uptimeMs)
    }

    private fun awaitConfiguration(request: CallerRequest, newResponse: ConnectionResponse) {
        if (waitingFor !== newResponse) {
            waitingFor = newResponse
            context.metrics.onWait(route = "", "configuration")
            context.log.write("request-waits", "request" to currentId, "for" to "configuration")
        }
        context.timers.after(OUTAGE_POLL_INTERVAL_MS) {
            // The response has begun if the process has ended the request meanwhile.
            val waiting = response === newResponse && !newResponse.begun && channel.isActive
            if (waiting) guarded(::onFault) { admitOrWait(request, newResponse) }
        }
    }

    private fun newResponse() = ConnectionResponse(channel, keepAlive, {
        server.closesConnections
    }, server::onWritten, ::closeIfStopping).also {
        response =
            it
    }

    private fun rejectRequest(status: HttpResponseStatus, text: String, response: CallerResponse) {
        context.log.write(
            "request",
            "request" to currentId,
            "outcome" to "rejected",
            "status" to status.code(),
            "config" to context.routes?.version,
            "detail" to text,
        )
        response.refuse(status.code(), text, retryAfterMs(status.code()))
        onResponded()
    }

    /** Responds to input that is no valid request, and closes the connection. */
    private fun refuseInput(status: HttpResponseStatus, text: String) {
        context.log.write(
            "unreadable-request",
            "status" to status.code(),
            "config" to context.routes?.version,
            "detail" to text,
        )
        reader.reset()
        keepAlive = false
        newResponse().refuse(status.code(), text, retryAfterMs(status.code()))
        onResponded()
    }

    private fun retryAfterMs(status: Int): Long? =
        if (status == STATUS_UNAVAILABLE) context.retryAfterMs(RETRY_AFTER_MS) else null

    private fun onResponded() {
        currentRequest = null
        lastResponse = response
        response = null
        // The caller was told that the connection closes, so it has to send what follows on another one.
        if (lastResponse?.keepAlive == false) discardInput()
        idleSinceMs = context.timers.nowMs()
        idleTimeoutMs = server.limits.idleTimeoutMs
        // Scheduled as a separate task, since this request may have ended while it was being started.
        channel.eventLoop().execute { guarded(::onFault) { processPending() } }
    }

    private fun processPending() {
        while (!responding && pendingMessages.isNotEmpty()) process(pendingMessages.removeFirst())
        if (pendingMessages.size <= MAX_PENDING_MESSAGES && channel.isActive) channel.config().isAutoRead = true
        closeIfStopping()
    }

    private fun closeIfStopping() {
        if (server.closesIdle && !busy) channel.close()
    }

    private fun discardInput() {
        discardingInput = true
        pendingMessages.forEach { ReferenceCountUtil.release(it) }
        pendingMessages.clear()
    }

    private companion object {
        const val MAX_PENDING_MESSAGES = 64

        const val STATUS_UNAVAILABLE = 503

        /** Time limit of a request that names none. */
        const val DEFAULT_LIMIT_MS = 1_000L
        const val NOT_RUN = "not run: internal error"
        const val STOPPING = "not run: this entry stops before the request could end; send it to another one"

        /** An entry receives the configuration within some hundred milliseconds of its start. */
        const val RETRY_AFTER_MS = 200L
    }
}
