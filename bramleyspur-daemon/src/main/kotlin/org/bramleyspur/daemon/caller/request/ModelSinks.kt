/*
 * Sinks that send the events of a request to the caller in the requested format.
 */
package org.bramleyspur.daemon.caller.request

import com.google.protobuf.ByteString
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.PooledByteBufAllocator
import io.netty.buffer.Unpooled
import org.bramleyspur.daemon.caller.CallerError
import org.bramleyspur.daemon.caller.CallerExchange
import org.bramleyspur.daemon.caller.OpenAiResponseFormatter
import org.bramleyspur.daemon.caller.TokenUsage
import org.bramleyspur.daemon.caller.respond
import org.bramleyspur.protocol.Head
import org.bramleyspur.traffic.stream.Abandon
import org.bramleyspur.traffic.stream.FailStream
import org.bramleyspur.traffic.stream.Finish
import org.bramleyspur.traffic.stream.Refuse
import org.bramleyspur.traffic.stream.RequestEnding

/** Forwards the error response of an engine that rejected the request. */
internal class RejectionForwarder(private val exchange: CallerExchange) {
    private var head: Head? = null
    private var body = ByteString.EMPTY

    val isActive: Boolean get() = head != null

    fun head(head: Head) {
        this.head = head
    }

    fun body(data: ByteString) {
        body = body.concat(data)
    }

    fun end() {
        val rejected = head ?: return
        exchange.respond(rejected.status, rejected.headerPairs(), body.toByteArray())
    }
}

/** Sends each token as a server-sent event. */
internal class EventStreamSink(
    private val exchange: CallerExchange,
    private val formatter: OpenAiResponseFormatter,
    private val scope: RequestScope,
) : ResponseSink {
    private val rejection = RejectionForwarder(exchange)
    private var started = false

    override val writable: Boolean get() = exchange.writable

    override fun token(position: Int, token: String) {
        if (!started) start()
        scope.onToken()
        send(formatter.tokenEvent(position, token))
    }

    override fun head(head: Head) = rejection.head(head)

    override fun body(data: ByteString) = rejection.body(data)

    override fun end(ending: RequestEnding) {
        scope.end(ending)
        when (ending) {
            is Finish -> finish(ending)
            is Refuse -> exchange.respond(CallerError.refused(ending.kind, ending.message, ending.retryAfterMs))
            is FailStream -> fail(ending)
            is Abandon -> exchange.abort()
        }
    }

    private fun finish(ending: Finish) {
        if (rejection.isActive) return rejection.end()
        if (!started) start()
        val usage = TokenUsage(ending.promptTokens, ending.completionTokens)
        send(formatter.finishEvents(ending.finishReason.orEmpty(), usage))
        exchange.endStream()
    }

    /** Closes the connection after the error event, so that no client takes the truncated stream for a complete one. */
    private fun fail(ending: FailStream) {
        send(formatter.errorEvent(CallerError.refused(ending.kind, ending.message, 0)))
        exchange.abort()
    }

    private fun start() {
        started = true
        exchange.startStream(OK, EVENT_STREAM_HEADERS)
    }

    private fun send(text: String) = exchange.send(ByteBufUtil.writeUtf8(PooledByteBufAllocator.DEFAULT, text))

    private companion object {
        const val OK = 200
        val EVENT_STREAM_HEADERS =
            listOf("Content-Type" to "text/event-stream; charset=utf-8", "Cache-Control" to "no-cache")
    }
}

/** Collects all tokens and sends them as one JSON object. */
internal class JsonResponseSink(
    private val exchange: CallerExchange,
    private val formatter: OpenAiResponseFormatter,
    private val scope: RequestScope,
) : ResponseSink {
    private val rejection = RejectionForwarder(exchange)
    private val text = StringBuilder()

    override val writable: Boolean get() = true

    override fun token(position: Int, token: String) {
        scope.onToken()
        text.append(token)
    }

    override fun head(head: Head) = rejection.head(head)

    override fun body(data: ByteString) = rejection.body(data)

    override fun end(ending: RequestEnding) {
        scope.end(ending)
        when (ending) {
            is Finish -> finish(ending)
            is Refuse -> exchange.respond(CallerError.refused(ending.kind, ending.message, ending.retryAfterMs))
            is FailStream -> exchange.respond(CallerError.refused(ending.kind, ending.message, 0))
            is Abandon -> exchange.abort()
        }
    }

    private fun finish(ending: Finish) {
        if (rejection.isActive) return rejection.end()
        val usage = TokenUsage(ending.promptTokens, ending.completionTokens)
        val body = formatter.toJson(text.toString(), ending.finishReason.orEmpty(), usage)
        exchange.respond(OK, listOf("Content-Type" to "application/json"), body.toByteArray())
    }

    private companion object {
        const val OK = 200
    }
}

/** Forwards the response of a plain service as it arrives. */
internal class ForwardingSink(private val exchange: CallerExchange, private val scope: RequestScope) : ResponseSink {
    override val writable: Boolean get() = exchange.writable

    override fun token(position: Int, token: String) = Unit

    override fun head(head: Head) = exchange.startStream(head.status, head.headerPairs())

    override fun body(data: ByteString) {
        if (!data.isEmpty) exchange.send(Unpooled.wrappedBuffer(data.asReadOnlyByteBuffer()))
    }

    override fun end(ending: RequestEnding) {
        scope.end(ending)
        when (ending) {
            is Finish -> exchange.endStream()
            is Refuse -> exchange.respond(CallerError.refused(ending.kind, ending.message, ending.retryAfterMs))
            is FailStream -> exchange.abort()
            is Abandon -> exchange.abort()
        }
    }
}
