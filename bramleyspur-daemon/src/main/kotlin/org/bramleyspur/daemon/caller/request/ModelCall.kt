package org.bramleyspur.daemon.caller.request

import com.github.michaelbull.result.getOrElse
import com.google.protobuf.ByteString
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import org.bramleyspur.core.model.Account
import org.bramleyspur.core.model.Service
import org.bramleyspur.core.model.ServiceKind
import org.bramleyspur.daemon.caller.CallerError
import org.bramleyspur.daemon.caller.CallerExchange
import org.bramleyspur.daemon.caller.CallerHead
import org.bramleyspur.daemon.caller.CallerListener
import org.bramleyspur.daemon.caller.ModelEndpoint
import org.bramleyspur.daemon.caller.ModelRequest
import org.bramleyspur.daemon.caller.OpenAiResponseFormatter
import org.bramleyspur.daemon.caller.respond
import org.bramleyspur.protocol.Start
import org.bramleyspur.traffic.routing.RoutingRequest
import org.bramleyspur.traffic.stream.RequestFacts
import org.bramleyspur.traffic.stream.RequestKind
import org.bramleyspur.traffic.stream.StartAttempt

/** Receives a model request and runs it. */
internal class ModelCall(
    private val handler: EntryHandler,
    private val entry: EntryServices,
    private val claims: ClaimClient,
    private val endpoint: ModelEndpoint,
    private val head: CallerHead,
    private val account: Account,
    private val exchange: CallerExchange,
) : CallerListener {
    private val body: ByteBuf = Unpooled.buffer()
    private var inputClosed = false
    private var running: RunningCall? = null

    override fun onBody(data: ByteBuf) {
        if (inputClosed) return
        if (body.readableBytes() + data.readableBytes() > MAX_BODY_BYTES) {
            refuse(CallerError.invalid("the body is larger than $MAX_BODY_BYTES bytes", PAYLOAD_TOO_LARGE))
        } else {
            body.writeBytes(data)
        }
    }

    override fun onBodyEnd() {
        if (inputClosed) return
        val request = ModelRequest.parse(endpoint, body.toString(Charsets.UTF_8)).getOrElse { return refuse(it) }
        val service = serviceOf(request) ?: return refuse(modelNotFound(request))
        val scope = handler.admit(account, service, head).getOrElse { return refuse(it) }
        inputClosed = true
        run(request, service, scope)
    }

    private fun serviceOf(request: ModelRequest): Service? {
        val service = entry.snapshot().service(request.service)?.takeIf { it.kind == ServiceKind.MODEL }
        return service?.takeIf { request.adapter.isEmpty() || request.adapter in it.adapters }
    }

    private fun modelNotFound(request: ModelRequest) =
        CallerError.notFound("the model '${request.model}'", "model_not_found")

    override fun onCallerDisconnected() {
        inputClosed = true
        running?.onCallerDisconnected()
    }

    override fun onWritable(writable: Boolean) {
        if (writable) running?.resume()
    }

    private fun refuse(error: CallerError) {
        inputClosed = true
        exchange.respond(error)
    }

    private fun run(request: ModelRequest, service: Service, scope: RequestScope) {
        val createdS = System.currentTimeMillis() / MS_PER_SECOND
        val formatter = OpenAiResponseFormatter(endpoint, "cmpl-${scope.id.value}", request.model, createdS)
        val idempotent = head.headers[IDEMPOTENT_HEADER]?.lowercase() != "false" && !service.nonIdempotent
        val key = head.headers[IDEMPOTENCY_KEY_HEADER].orEmpty()
        val prefixes = prefixDigests(request.prompt)
        val plan = CallPlan(
            facts = RequestFacts(RequestKind.GENERATION, idempotent, streaming = request.stream),
            routingRequest = { attempt -> attempt.toRoutingRequest(request, service, prefixes) },
            startMessage = { attempt, route -> startMessage(attempt, request, service, scope, route.version) },
            digest = { digestOf("${head.method} ${head.path}\n${body.toString(Charsets.UTF_8)}") },
            upload = null,
        )
        if (!idempotent && key.isNotEmpty()) {
            val recorder = GenerationRecorder(formatter, request.stream)
            running = ClaimRunner(plan, key, entry, claims, scope, exchange, recorder).also { it.run() }
        } else {
            running = DirectCall(plan, entry, scope, sinkOf(request, formatter, scope)).also { it.run() }
        }
    }

    private fun sinkOf(request: ModelRequest, formatter: OpenAiResponseFormatter, scope: RequestScope): ResponseSink =
        if (request.stream) {
            EventStreamSink(exchange, formatter, scope)
        } else {
            JsonResponseSink(exchange, formatter, scope)
        }

    private fun StartAttempt.toRoutingRequest(request: ModelRequest, service: Service, prefixes: LongArray) =
        RoutingRequest(service.name, account.name, prefixes, version, request.adapter.ifEmpty { null }, excluded)

    private fun startMessage(
        attempt: StartAttempt,
        request: ModelRequest,
        service: Service,
        scope: RequestScope,
        version: String,
    ): Start.Builder = scope
        .startBuilder()
        .setMethod("POST")
        .setPath(endpoint.path)
        .setBody(ByteString.copyFromUtf8(request.engineBody(service.model, attempt.resumeTokens)))
        .setBodyComplete(true)
        .setResumePosition(attempt.resumePosition)
        .setVersion(version)
        .setAdapter(request.adapter)

    private companion object {
        const val MAX_BODY_BYTES = 4 * 1024 * 1024
        const val PAYLOAD_TOO_LARGE = 413
        const val MS_PER_SECOND = 1_000L
    }
}

/** Header whose value `false` marks a request as unsafe to run twice. */
internal const val IDEMPOTENT_HEADER = "Bramleyspur-Idempotent"

/** Header with the idempotency key of a call; a retry with the same key gets the recorded response. */
internal const val IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"

/** Start message with the fields that depend only on the request's scope. */
internal fun RequestScope.startBuilder(): Start.Builder = Start
    .newBuilder()
    .setService(service.name)
    .setAccount(account.name)
    .setWeight(account.weight)
    .setPriority(account.priority)
    .setPatienceMs(account.patienceMs.toInt())
    .setTraceparent(traceparent)
