package org.bramleyspur.daemon.forward

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import org.bramleyspur.traffic.forward.EventPauses
import org.bramleyspur.traffic.forward.StreamEvent

/** The part of a response that the caller has received, whichever attempts it came from. */
internal class DeliveredResponse(
    private val context: ForwardContext,
    private val request: AdmittedRequest,
    private val response: CallerResponse,
) {
    /** Id of the last event that was forwarded, or that the caller had received before. */
    var lastEventId: Long? = request.lastEventId
        private set

    /** Whether the head was forwarded. */
    var started = false
        private set

    /** Whether the head was forwarded and is that of a stream of events, which another attempt can continue. */
    var isStream = false
        private set

    /** Time from the receipt of the request to the forwarding of the head. */
    var firstByteMs: Long? = null
        private set

    private var pauses = EventPauses()

    /** Longest time in milliseconds between two events that were forwarded; null before the second one. */
    val longestPauseMs: Long? get() = pauses.longestMs

    val writable: Boolean get() = response.writable

    /** Forwards the head, unless that of an earlier attempt was forwarded. */
    fun begin(status: Int, headers: HttpHeaders, stream: Boolean) {
        if (started) return
        started = true
        isStream = stream
        if (stream) headers.remove(HttpHeaderNames.CONTENT_LENGTH)
        firstByteMs = request.elapsedMs().also { context.metrics.onFirstByte(request.route.name, it) }
        response.begin(status, headers)
    }

    fun write(event: StreamEvent) {
        response.write(Unpooled.wrappedBuffer(event.bytes))
        event.id?.let { lastEventId = it }
        pauses = pauses.onEvent(context.timers.nowMs())
    }

    fun write(data: ByteBuf) = response.write(data)

    fun finish() = response.finish()

    fun abort() = response.abort()

    /** Responds with a short text, or closes the connection if a part of another response was forwarded. */
    fun refuse(status: Int, text: String, retryAfterMs: Long? = null) =
        if (started) response.abort() else response.refuse(status, text, retryAfterMs)
}
