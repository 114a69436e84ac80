package org.bramleyspur.daemon.caller.request

import com.google.protobuf.ByteString
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import org.bramleyspur.core.model.Service
import org.bramleyspur.daemon.caller.CallerError
import org.bramleyspur.daemon.caller.CallerExchange
import org.bramleyspur.daemon.caller.CallerHead
import org.bramleyspur.daemon.caller.CallerListener
import org.bramleyspur.daemon.caller.respond
import org.bramleyspur.protocol.Header
import org.bramleyspur.protocol.Start
import org.bramleyspur.traffic.routing.RoutingRequest
import org.bramleyspur.traffic.stream.RequestFacts
import org.bramleyspur.traffic.stream.RequestKind
import org.bramleyspur.traffic.stream.StartAttempt

/** Methods that HTTP defines as safe: they have no side effects and can be repeated. */
private val SAFE_METHODS = setOf(HttpMethod.GET, HttpMethod.HEAD, HttpMethod.OPTIONS, HttpMethod.TRACE)

/** Methods that HTTP defines as idempotent in addition to the safe ones. */
private val IDEMPOTENT_METHODS = setOf(HttpMethod.PUT, HttpMethod.DELETE)

/** Headers that apply to one connection only, or that the next hop sets itself. */
private val UNFORWARDED_HEADERS = setOf(
    "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "expect",
    "authorization", "traceparent", "host",
)

/** Starts a call to a plain service. */
internal fun beginPlainCall(
    entry: EntryServices,
    claims: ClaimClient,
    scope: RequestScope,
    head: CallerHead,
    exchange: CallerExchange,
): CallerListener {
    val idempotent = head.isIdempotent(scope.service)
    val key = head.headers[IDEMPOTENCY_KEY_HEADER].orEmpty()
    return if (!idempotent && key.isNotEmpty()) {
        KeyedPlainCall(entry, claims, scope, head, exchange, key)
    } else {
        StreamedPlainCall(entry, scope, head, exchange, idempotent)
    }
}

private fun CallerHead.isIdempotent(service: Service): Boolean = when {
    headers[IDEMPOTENT_HEADER]?.lowercase() == "false" -> false
    method in SAFE_METHODS -> true
    method in IDEMPOTENT_METHODS -> !service.nonIdempotent
    else -> false
}

private fun CallerHead.hasBody() =
    headers.contains(HttpHeaderNames.CONTENT_LENGTH) || headers.contains(HttpHeaderNames.TRANSFER_ENCODING)

/** Start message of a plain call, without the body. */
private fun RequestScope.plainStartMessage(head: CallerHead): Start.Builder {
    val fields = head.headers
        .filter { it.key.lowercase() !in UNFORWARDED_HEADERS }
        .map { Header.newBuilder().setName(it.key).setValue(it.value).build() }
    val path = head.path.removePrefix("/${service.name}").let { if (it.startsWith("/")) it else "/$it" }
    return startBuilder().setMethod(head.method.name()).setPath(path).addAllHeaders(fields)
}

private fun StartAttempt.plainRoutingRequest(scope: RequestScope) =
    RoutingRequest(scope.service.name, scope.account.name, excluded = excluded)

/** A call whose body and response are forwarded as they arrive. */
private class StreamedPlainCall(
    entry: EntryServices,
    scope: RequestScope,
    head: CallerHead,
    exchange: CallerExchange,
    idempotent: Boolean,
) : CallerListener {
    private val upload = if (head.hasBody()) BodyUpload(exchange) else null
    private val call: DirectCall

    init {
        val plan = CallPlan(
            facts = RequestFacts(RequestKind.CALL, idempotent),
            routingRequest = { it.plainRoutingRequest(scope) },
            startMessage = { _, _ -> scope.plainStartMessage(head).setBodyComplete(upload == null) },
            digest = { "" },
            upload = upload,
        )
        call = DirectCall(plan, entry, scope, ForwardingSink(exchange, scope))
        call.run()
    }

    override fun onBody(data: ByteBuf) {
        upload?.add(ByteString.copyFrom(data.nioBuffer()), false)
    }

    override fun onBodyEnd() {
        upload?.add(ByteString.EMPTY, true)
    }

    override fun onCallerDisconnected() = call.onCallerDisconnected()

    override fun onWritable(writable: Boolean) {
        if (writable) call.resume()
    }
}

/** A call with an idempotency key; the claim needs a digest of the complete body. */
private class KeyedPlainCall(
    private val entry: EntryServices,
    private val claims: ClaimClient,
    private val scope: RequestScope,
    private val head: CallerHead,
    private val exchange: CallerExchange,
    private val key: String,
) : CallerListener {
    private val body = Unpooled.buffer()
    private var refused = false
    private var running: ClaimRunner? = null

    override fun onBody(data: ByteBuf) {
        if (refused) return
        if (body.readableBytes() + data.readableBytes() > MAX_KEYED_BODY_BYTES) {
            refused = true
            scope.end("invalid", "body too large")
            val message = "the body of a call with an idempotency key must be below $MAX_KEYED_BODY_BYTES bytes"
            exchange.respond(CallerError.invalid(message, PAYLOAD_TOO_LARGE))
        } else {
            body.writeBytes(data)
        }
    }

    override fun onBodyEnd() {
        if (refused) return
        val content = ByteString.copyFrom(body.nioBuffer())
        val text = content.toString(Charsets.ISO_8859_1)
        val plan = CallPlan(
            facts = RequestFacts(RequestKind.CALL, idempotent = false),
            routingRequest = { it.plainRoutingRequest(scope) },
            startMessage = { _, _ ->
                scope.plainStartMessage(head).setBody(content).setBodyComplete(true).setIdempotencyKey(key)
            },
            digest = { digestOf("${head.method} ${head.path}\n$text") },
            upload = null,
        )
        running = ClaimRunner(plan, key, entry, claims, scope, exchange, PlainCallRecorder()).also { it.run() }
    }

    override fun onCallerDisconnected() {
        val call = running
        if (call == null) scope.end("abandoned", "the caller disconnected") else call.onCallerDisconnected()
    }

    override fun onWritable(writable: Boolean) {
        if (writable) running?.resume()
    }

    private companion object {
        const val MAX_KEYED_BODY_BYTES = 1024 * 1024
        const val PAYLOAD_TOO_LARGE = 413
    }
}
