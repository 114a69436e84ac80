/*
 * Errors that callers see, in the shape of the OpenAI error object. Refusals of admitted requests carry their kind, so
 * that a caller knows whether it can safely send the request again.
 */
package org.bramleyspur.daemon.caller

import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject
import org.bramleyspur.core.model.Refusal

/**
 * An error for a caller.
 *
 * @property type `type` of the OpenAI error object
 * @property code `code` of the OpenAI error object
 * @property refusal what is known about the run
 * @property retryAfterMs time in milliseconds after which sending again is worthwhile; null when it never is
 */
data class CallerError(
    val status: Int,
    val type: String,
    val code: String,
    val message: String,
    val refusal: Refusal = Refusal.NOT_RUN,
    val retryAfterMs: Long? = null,
) {
    /** JSON text of the error object. */
    fun toJson(): String = buildJsonObject {
        putJsonObject("error") {
            put("message", message)
            put("type", type)
            put("param", JsonNull)
            put("code", code)
            putJsonObject("refusal") { put("kind", refusal.wireName) }
        }
    }.toString()

    /** Response headers of the error. */
    fun headers(): List<Pair<String, String>> = buildList {
        add("Content-Type" to "application/json")
        add(OUTCOME_HEADER to refusal.wireName)
        if (retryAfterMs != null) {
            add("Retry-After" to secondsRoundedUp(retryAfterMs).toString())
            add("Retry-After-Ms" to retryAfterMs.toString())
        }
        // OpenAI client libraries repeat failed requests on their own unless this header forbids it.
        if (refusal != Refusal.NOT_RUN) add("X-Should-Retry" to "false")
    }

    companion object {
        /** Header that carries the refusal kind. */
        const val OUTCOME_HEADER = "Bramleyspur-Outcome"

        private const val MS_PER_SECOND = 1_000L

        private fun secondsRoundedUp(ms: Long): Long = maxOf(1, (ms + MS_PER_SECOND - 1) / MS_PER_SECOND)

        /** The request is malformed or asks for something that is not supported. */
        fun invalid(message: String, status: Int = 400, code: String = "invalid_request") =
            CallerError(status, "invalid_request_error", code, message)

        /** The API key is missing or unknown. */
        fun unauthorized() = CallerError(
            401,
            "authentication_error",
            "invalid_api_key",
            "the API key is missing or unknown; send 'Authorization: Bearer KEY'",
        )

        /** The account may not call the service. */
        fun forbidden(service: String) =
            CallerError(403, "permission_error", "no_access", "this account may not call '$service'")

        /** Nothing is declared under the name. */
        fun notFound(what: String, code: String = "not_found") =
            CallerError(404, "invalid_request_error", code, "$what does not exist")

        /** The account is at its limit of concurrent requests. */
        fun overLimit(retryAfterMs: Long) = CallerError(
            429,
            "rate_limit_error",
            "account_limit",
            "the account has reached its limit of concurrent requests; the request was not run",
            retryAfterMs = retryAfterMs,
        )

        /** A request that was admitted ended without a whole answer. */
        fun refused(kind: Refusal, message: String, retryAfterMs: Long): CallerError = when (kind) {
            Refusal.NOT_RUN ->
                CallerError(503, "overloaded_error", "not_run", message, kind, retryAfterMs)

            Refusal.MAY_HAVE_RUN ->
                CallerError(502, "server_error", "may_have_run", message, kind)

            Refusal.RAN_AND_FAILED ->
                CallerError(500, "server_error", "ran_and_failed", message, kind)
        }
    }
}

/** Ends the exchange with [error]. */
fun CallerExchange.respond(error: CallerError) = respond(error.status, error.headers(), error.toJson().toByteArray())
