/*
 * Authentication, routing to a service, and admission of callers' requests.
 */
package org.bramleyspur.daemon.caller.request

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.bramleyspur.core.model.Account
import org.bramleyspur.core.model.RequestId
import org.bramleyspur.core.model.Service
import org.bramleyspur.core.model.ServiceKind
import org.bramleyspur.daemon.caller.CallerError
import org.bramleyspur.daemon.caller.CallerExchange
import org.bramleyspur.daemon.caller.CallerHead
import org.bramleyspur.daemon.caller.CallerListener
import org.bramleyspur.daemon.caller.DiscardingListener
import org.bramleyspur.daemon.caller.ModelEndpoint
import org.bramleyspur.daemon.caller.respond
import org.bramleyspur.traffic.forward.isTakenDuringStop
import org.bramleyspur.traffic.routing.AccountLimits
import java.util.UUID

private val logger = KotlinLogging.logger {}

/** Starts the requests of callers; used by the traffic thread only. */
class EntryHandler(private val entry: EntryServices, private val claims: ClaimClient) {
    /** Concurrency limits of the client accounts at this entry. */
    val limits = AccountLimits()

    /** Starts a request. */
    fun begin(head: CallerHead, exchange: CallerExchange): CallerListener {
        val path = head.path.substringBefore('?')
        val endpoint = ModelEndpoint.entries.firstOrNull { it.path == path }
        return when {
            path == "/v1/models" -> listModels(head, exchange)
            endpoint != null -> beginModel(endpoint, head, exchange)
            head.method == HttpMethod.CONNECT ->
                rejectRequest(exchange, CallerError.invalid("tunnels are not supported", METHOD_NOT_ALLOWED))

            else -> beginPlain(path, head, exchange)
        }
    }

    /**
     * The client account of the API key in [head]. Without a lease the configuration may be outdated or missing, so the
     * key cannot be checked.
     */
    internal fun accountOf(head: CallerHead): Result<Account, CallerError> {
        if (!hasLease()) return Err(configurationUnconfirmed())
        val value = head.headers[HttpHeaderNames.AUTHORIZATION].orEmpty()
        val key = if (value.startsWith(BEARER, ignoreCase = true)) value.substring(BEARER.length).trim() else ""
        val account = entry.snapshot().accountOf(key)
        return if (account == null) Err(CallerError.unauthorized()) else Ok(account)
    }

    /** Admits a request of [account] for [service], or returns why it was refused without being run. */
    internal fun admit(account: Account, service: Service, head: CallerHead): Result<RequestScope, CallerError> {
        refusalOf(account, service)?.let { return Err(recorded(it, service)) }
        if (!limits.tryAcquire(account.name, account.maxConcurrent, entry.timers.nowMs())) {
            return Err(recorded(CallerError.overLimit(RETRY_AFTER_MS), service))
        }
        val id = RequestId(UUID.randomUUID().toString())
        val span = entry.tracing.start("entry", head.headers["traceparent"].orEmpty())
        span.attribute("bramleyspur.request", id.value)
        span.attribute("bramleyspur.service", service.name)
        return Ok(RequestScope(id, account, service, entry, limits, span))
    }

    /** Why no request of [account] for [service] is taken now; null if there is no such reason. */
    private fun refusalOf(account: Account, service: Service): CallerError? {
        val remainingMs = entry.snapshot().endsAtMs?.let { it - entry.timers.nowMs() }
        return when {
            !hasLease() -> configurationUnconfirmed()
            account.name !in service.accounts -> CallerError.forbidden(service.name)
            !isTakenDuringStop(service.timeoutMs, remainingMs) -> stopping()
            else -> null
        }
    }

    /** Counts and logs the refusal of a request that is not admitted. */
    private fun recorded(error: CallerError, service: Service): CallerError {
        entry.metrics.requests.labelValues(service.name, error.code).inc()
        logger.atDebug {
            message = "request not admitted"
            payload = mapOf("service" to service.name, "code" to error.code)
        }
        return error
    }

    private fun hasLease() = entry.timers.nowMs() < entry.snapshot().leaseUntilMs

    private fun configurationUnconfirmed(): CallerError = CallerError(
        status = 503,
        type = "overloaded_error",
        code = "configuration_unconfirmed",
        message = "this entry cannot confirm its configuration; send the request again, if possible to another entry",
        retryAfterMs = RETRY_AFTER_MS,
    )

    private fun stopping(): CallerError = CallerError(
        status = 503,
        type = "overloaded_error",
        code = "entry_stopping",
        message = "this entry is stopping; send the request again on a new connection",
        retryAfterMs = 0,
    )

    private fun beginModel(endpoint: ModelEndpoint, head: CallerHead, exchange: CallerExchange): CallerListener {
        if (head.method != HttpMethod.POST) {
            val error = CallerError.invalid("${endpoint.path} takes POST only", METHOD_NOT_ALLOWED)
            return rejectRequest(exchange, error)
        }
        val account = accountOf(head).getOrElse { return rejectRequest(exchange, it) }
        return ModelCall(this, entry, claims, endpoint, head, account, exchange)
    }

    private fun beginPlain(path: String, head: CallerHead, exchange: CallerExchange): CallerListener {
        val account = accountOf(head).getOrElse { return rejectRequest(exchange, it) }
        val name = path.removePrefix("/").substringBefore('/')
        val service = entry.snapshot().service(name)?.takeIf { it.kind == ServiceKind.PLAIN }
            ?: return rejectRequest(exchange, CallerError.notFound("the path '/$name'"))
        val scope = admit(account, service, head).getOrElse { return rejectRequest(exchange, it) }
        return beginPlainCall(entry, claims, scope, head, exchange)
    }

    private fun listModels(head: CallerHead, exchange: CallerExchange): CallerListener {
        if (head.method != HttpMethod.GET && head.method != HttpMethod.HEAD) {
            return rejectRequest(exchange, CallerError.invalid("/v1/models takes GET only", METHOD_NOT_ALLOWED))
        }
        val account = accountOf(head).getOrElse { return rejectRequest(exchange, it) }
        val services = entry.snapshot().configuration.services.values
            .filter { it.kind == ServiceKind.MODEL && account.name in it.accounts }
            .sortedBy { it.name }
        val names = services.flatMap { service ->
            listOf(service.name) + service.adapters.map { "${service.name}:$it" }
        }
        val body = JsonObject(
            mapOf("object" to JsonPrimitive("list"), "data" to JsonArray(names.map { modelObject(it) })),
        )
        exchange.respond(OK, listOf("Content-Type" to "application/json"), body.toString().toByteArray())
        return DiscardingListener
    }

    private fun modelObject(name: String) = JsonObject(
        mapOf(
            "id" to JsonPrimitive(name),
            "object" to JsonPrimitive("model"),
            "created" to JsonPrimitive(0),
            "owned_by" to JsonPrimitive("bramleyspur"),
        ),
    )

    private companion object {
        const val BEARER = "Bearer "
        const val OK = 200
        const val METHOD_NOT_ALLOWED = 405
        const val RETRY_AFTER_MS = 1_000L
    }
}

/** Responds with [error] and discards the rest of the request. */
internal fun rejectRequest(exchange: CallerExchange, error: CallerError): CallerListener {
    exchange.respond(error)
    return DiscardingListener
}
