package org.bramleyspur.daemon.engine

import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpVersion
import kotlinx.serialization.SerializationException
import org.bramleyspur.core.json.decodeBounded
import org.bramleyspur.core.settings.Address
import org.bramleyspur.core.time.TimerService
import org.bramleyspur.daemon.http.HttpCall
import org.bramleyspur.daemon.http.HttpCallStarter
import org.bramleyspur.daemon.http.HttpFailure
import org.bramleyspur.daemon.http.HttpListener
import org.bramleyspur.daemon.http.MAX_SSE_LINE_BYTES
import org.bramleyspur.daemon.http.SseParser

private val logger = KotlinLogging.logger {}

private const val OK = 200
private const val CONFLICT = 409
private const val TOO_MANY_REQUESTS = 429
private const val REQUEST_TIMEOUT = 408
private const val FIRST_SERVER_ERROR = 500
private const val MAX_RESPONSE_BYTES = 16 * 1024

/** Longer than a pause of an engine; the response to a cancellation is not used. */
private const val CANCEL_TIMEOUT_MS = 2_000L

/** Client of an engine that implements the OpenAI API and the admin endpoints of docs/engine-api.md. */
class OpenAiEngine(private val address: Address, private val http: HttpCallStarter, private val timers: TimerService) {
    /** Starts [request]; this function is an [EngineExecutor]. */
    fun execute(request: EngineRequest, listener: EngineListener): EngineCall {
        val head = post(request.path)
        head.headers().set("X-Request-Id", request.id)
        head.headers().set("X-Priority", request.priority)
        head.headers().set("X-Timeout-Ms", request.timeoutMs)
        head.headers().set("X-Replica", request.replica)
        head.headers().set("X-Fencing-Number", request.fencingNumber)
        if (request.traceparent.isNotEmpty()) head.headers().set("traceparent", request.traceparent)
        val reader = StreamReader(listener)
        val call = http(head, withBody(head, request.body), !request.idempotent, reader)
        reader.call = call
        return RunningEngineCall(request.id, call)
    }

    private inner class RunningEngineCall(private val id: String, private val call: HttpCall) : EngineCall {
        override fun pauseReading(paused: Boolean) = call.pauseReading(paused)

        override fun cancel() = cancel(id, call)
    }

    /** Sends [order]; [onResponse] gets the HTTP status, null without a response, and the boot id of the engine. */
    fun sendOrder(order: EngineOrder, onResponse: (Int?, String) -> Unit): HttpCall {
        val head = post("/admin/orders")
        val body = engineJson.encodeToString(EngineOrder.serializer(), order)
        return http(
            head,
            withBody(head, body),
            true,
            BodyReader { status, response ->
                onResponse(status, bootId(response))
            },
        )
    }

    /** Queries the state of the backend server; [onResponse] gets null if it is not available. */
    fun state(onResponse: (BackendStateResponse?) -> Unit): HttpCall {
        val head = DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/admin/state")
        head.headers().set(HttpHeaderNames.HOST, address.toString())
        return http(
            head,
            Unpooled.EMPTY_BUFFER,
            false,
            BodyReader { status, body ->
                onResponse(stateOf(status, body))
            },
        )
    }

    private fun cancel(requestId: String, call: HttpCall) {
        call.cancel()
        val head = post("/admin/cancel")
        val body = """{"request":"$requestId"}"""
        val cancellation = http(head, withBody(head, body), false, BodyReader { _, _ -> })
        timers.after(CANCEL_TIMEOUT_MS) { cancellation.cancel() }
    }

    private fun stateOf(status: Int?, body: String): BackendStateResponse? = try {
        if (status == OK) engineJson.decodeBounded(BackendStateResponse.serializer(), body) else null
    } catch (e: SerializationException) {
        logger.warn { "backend server $address reported a state that cannot be parsed: ${e.message}" }
        null
    }

    private fun bootId(body: String): String = try {
        engineJson.decodeBounded(BackendStateResponse.serializer(), body).bootId
    } catch (_: SerializationException) {
        ""
    }

    private fun post(path: String): HttpRequest {
        val head = DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, path)
        head.headers().set(HttpHeaderNames.HOST, address.toString())
        head.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
        return head
    }

    private fun withBody(head: HttpRequest, body: String): ByteBuf {
        val buffer = Unpooled.copiedBuffer(body, Charsets.UTF_8)
        head.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, buffer.readableBytes())
        return buffer
    }
}

/** Collects a response of up to [MAX_RESPONSE_BYTES]; reports a null status if there was no response. */
internal class BodyReader(private val onResponse: (Int?, String) -> Unit) : HttpListener {
    private val body = Unpooled.buffer()
    private var status = 0

    override fun onHead(status: Int, headers: HttpHeaders) {
        this.status = status
    }

    override fun onData(data: ByteBuf) {
        if (body.readableBytes() < MAX_RESPONSE_BYTES) body.writeBytes(data)
    }

    override fun onEnd() = onResponse(status, body.toString(Charsets.UTF_8))

    override fun onFailure(failure: HttpFailure, message: String) = onResponse(null, message)
}

/** Reads the token stream of one engine call, which the owner sets as [call]. */
private class StreamReader(private val listener: EngineListener) : HttpListener {
    var call: HttpCall? = null
    private var status = 0
    private var ended = false
    private var begun = false
    private val errorBody = Unpooled.buffer()
    private val events = SseParser(::onEvent)
    private var finalChunk: EngineChunk? = null

    override fun onHead(status: Int, headers: HttpHeaders) {
        this.status = status
        if (status == OK) {
            begun = true
            listener.onBegun()
        }
    }

    override fun onData(data: ByteBuf) {
        if (status == OK) {
            events.feed(data)
            if (events.overflowed) {
                end {
                    listener.onBroken("the engine sent a line longer than $MAX_SSE_LINE_BYTES", true)
                }
            }
        } else if (errorBody.readableBytes() < MAX_RESPONSE_BYTES) {
            errorBody.writeBytes(data)
        }
    }

    override fun onEnd() {
        if (status != OK) {
            end { reportErrorStatus() }
        } else {
            end { listener.onBroken("the engine ended the stream before its finish", true) }
        }
    }

    override fun onFailure(failure: HttpFailure, message: String) =
        end { listener.onBroken(message, failure != HttpFailure.NOT_SENT) }

    private fun onEvent(data: String) {
        if (ended) return
        if (data == "[DONE]") {
            end { onDone() }
            call?.pauseReading(false)
            call?.discard()
            return
        }
        val chunk =
            try {
                engineJson.decodeBounded(EngineChunk.serializer(), data)
            } catch (e: SerializationException) {
                end { listener.onBroken("the engine sent an event that cannot be read: ${e.message}", true) }
                return
            }
        val choice = chunk.choices.firstOrNull() ?: return
        if (choice.finishReason != null) {
            finalChunk = chunk
        } else {
            listener.onToken(chunk.position, choice.delta?.content ?: choice.text)
        }
    }

    private fun onDone() {
        val last = finalChunk
        val reason = last?.choices?.first()?.finishReason
        if (reason == null) {
            listener.onBroken("the engine ended the stream without a finish reason", true)
        } else {
            listener.onEnd(reason, last.usage?.promptTokens ?: 0, last.usage?.completionTokens ?: 0)
        }
    }

    private fun reportErrorStatus() {
        val message = errorMessage()
        when (status) {
            CONFLICT -> listener.onRefused(EngineRefusal.NOT_IN_ROLE, message)
            TOO_MANY_REQUESTS -> listener.onRefused(EngineRefusal.NO_SLOT, message)
            REQUEST_TIMEOUT -> listener.onRefused(EngineRefusal.EXPIRED, message)
            in 0 until FIRST_SERVER_ERROR -> listener.onRejected(status, message)
            else -> listener.onBroken("the engine failed with status $status: $message", true)
        }
    }

    private fun errorMessage(): String {
        val text = errorBody.toString(Charsets.UTF_8)
        return try {
            engineJson.decodeBounded(EngineError.serializer(), text).error.message
        } catch (_: SerializationException) {
            text
        }
    }

    private fun end(notify: () -> Unit) {
        if (ended) return
        ended = true
        notify()
    }
}
