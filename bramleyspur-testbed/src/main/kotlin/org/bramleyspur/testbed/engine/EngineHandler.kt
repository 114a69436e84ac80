/*
 * The HTTP interface of the stand-in engine: one handler for each connection, which runs one request at a time.
 */
package org.bramleyspur.testbed.engine

import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.QueryStringDecoder
import kotlinx.serialization.encodeToString
import org.bramleyspur.core.json.decodeBounded
import org.bramleyspur.testbed.http.RequestHandler
import org.bramleyspur.testbed.http.respondError
import org.bramleyspur.testbed.http.respondJson
import org.bramleyspur.testbed.http.testbedJson
import java.util.concurrent.atomic.AtomicLong

/** Number of requests without an `X-Request-Id` so far. */
private val anonymousRequests = AtomicLong()

/** Serves the engine interface on one connection. */
internal class EngineHandler(private val engine: Engine) : RequestHandler() {
    private var currentGeneration: Generation? = null
    private var busy = false
    private var subscriber: ((CacheEvent) -> Unit)? = null

    override fun handle(context: ChannelHandlerContext, request: FullHttpRequest) {
        if (busy) {
            context.close()
            return
        }
        val uri = QueryStringDecoder(request.uri())
        val body = request.content().toString(Charsets.UTF_8)
        when (request.method()) {
            HttpMethod.POST -> post(context, uri.path(), request, body)
            HttpMethod.GET -> get(context, uri)
            else -> notFound(context, uri.path())
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        currentGeneration?.let(engine::abandon)
        subscriber?.let(engine.cacheEvents::unsubscribe)
        super.channelInactive(context)
    }

    private fun post(context: ChannelHandlerContext, path: String, request: FullHttpRequest, body: String) {
        when (path) {
            "/v1/completions" -> complete(context, request, parseText(body))
            "/v1/chat/completions" -> complete(context, request, parseChat(body))
            "/admin/orders" -> order(context, testbedJson.decodeBounded(body))
            "/admin/cancel" -> {
                val attempt = testbedJson.decodeBounded<CancelRequest>(body).request
                context.respondJson(testbedJson.encodeToString(engine.cancel(attempt)))
            }
            "/testbed/settings" -> {
                engine.applyChange(testbedJson.decodeBounded(body))
                context.respondJson("{}")
            }
            else -> notFound(context, path)
        }
    }

    private fun get(context: ChannelHandlerContext, uri: QueryStringDecoder) {
        when (uri.path()) {
            "/admin/state" -> context.respondJson(testbedJson.encodeToString(engine.report()))
            "/admin/load" -> context.respondJson(testbedJson.encodeToString(engine.loadReport()))
            "/admin/runs" -> context.respondJson(testbedJson.encodeToString(engine.runsReport()))
            "/admin/cache-events" -> streamEvents(
                context,
                uri.parameters()["after"]?.firstOrNull()?.toLongOrNull() ?: 0,
            )
            else -> notFound(context, uri.path())
        }
    }

    private fun order(context: ChannelHandlerContext, order: Order) {
        val response = engine.order(order)
        if (response == null) {
            context.respondError(
                412,
                "old_fencing_number",
                "a higher fencing number than ${order.fencingNumber} was seen",
            )
        } else {
            context.respondJson(testbedJson.encodeToString(response))
        }
    }

    private fun complete(context: ChannelHandlerContext, http: FullHttpRequest, request: CompletionRequest) {
        val call = callHeaders(http)
        val onEnd = {
            busy = false
            currentGeneration = null
        }
        val sink =
            if (request.stream) {
                StreamSink(context, request, call.attempt, onEnd)
            } else {
                JsonBodySink(context, request, call.attempt, onEnd)
            }
        busy = true
        currentGeneration = engine.submit(call, request, sink)
    }

    private fun streamEvents(context: ChannelHandlerContext, after: Long) {
        busy = true
        context.startEventStream()
        context.flush()
        val send = { event: CacheEvent -> context.writeEvent(testbedJson.encodeToString(event)) }
        subscriber = send
        engine.cacheEvents.subscribe(after, send)
    }

    private fun notFound(context: ChannelHandlerContext, path: String) {
        context.respondError(404, "not_found", "no such call: $path")
    }
}

private fun callHeaders(http: FullHttpRequest): CallHeaders {
    val headers = http.headers()
    return CallHeaders(
        attempt = headers["X-Request-Id"] ?: "anonymous-${anonymousRequests.incrementAndGet()}/1",
        priority = integerHeader(http, "X-Priority")?.toInt() ?: 0,
        timeoutMs = integerHeader(http, "X-Timeout-Ms"),
        replica = headers["X-Replica"],
        fencingNumber = integerHeader(http, "X-Fencing-Number"),
    )
}

private fun integerHeader(http: FullHttpRequest, name: String): Long? {
    val text = http.headers()[name] ?: return null
    return requireNotNull(text.toLongOrNull()) { "header $name is '$text'; give an integer" }
}
