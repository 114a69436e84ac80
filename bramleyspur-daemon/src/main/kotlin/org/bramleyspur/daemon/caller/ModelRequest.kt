package org.bramleyspur.daemon.caller

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.intOrNull
import org.bramleyspur.core.json.MAX_JSON_DEPTH
import org.bramleyspur.core.json.MAX_JSON_VALUES
import org.bramleyspur.core.json.parseBounded

/** OpenAI endpoint, which determines the format of the request and of the response. */
enum class ModelEndpoint(val path: String) {
    COMPLETIONS("/v1/completions"),
    CHAT("/v1/chat/completions"),
}

/**
 * A parsed model request of a caller.
 *
 * @property service service name, the part of `model` before the colon
 * @property adapter adapter name, the part of `model` after the colon; empty for none
 * @property stream whether the caller wants server-sent events
 * @property prompt text whose prefixes are used for cache-aware routing
 * @property fields all JSON fields as the caller sent them
 */
data class ModelRequest(
    val endpoint: ModelEndpoint,
    val model: String,
    val service: String,
    val adapter: String,
    val stream: Boolean,
    val prompt: String,
    val fields: JsonObject,
) {
    /** Request body for an engine that serves [model]; generation resumes after [tokens]. */
    fun engineBody(model: String, tokens: List<String>): String {
        val name = if (adapter.isEmpty()) model else "$model:$adapter"
        val overridden = fields + mapOf("model" to JsonPrimitive(name), "stream" to JsonPrimitive(true))
        val resume =
            JsonObject(
                mapOf(
                    "position" to JsonPrimitive(tokens.size),
                    "tokens" to JsonArray(tokens.map { JsonPrimitive(it) }),
                ),
            )
        return JsonObject(if (tokens.isEmpty()) overridden else overridden + ("resume" to resume)).toString()
    }

    companion object {
        private const val INVALID_BODY_MESSAGE =
            "the body is not a JSON object of at most $MAX_JSON_DEPTH levels and $MAX_JSON_VALUES values"

        /** Parses the [body] of a request to [endpoint]. */
        fun parse(endpoint: ModelEndpoint, body: String): Result<ModelRequest, CallerError> {
            val fields = parseObject(body) ?: return Err(CallerError.invalid(INVALID_BODY_MESSAGE))
            val model = fields.stringField("model")
            val prompt = promptOf(endpoint, fields)
            val stream = streamOf(fields)
            return when {
                model == null -> Err(CallerError.invalid("'model' is missing; name a service"))
                prompt == null -> Err(CallerError.invalid(invalidPromptMessage(endpoint)))
                stream == null -> Err(CallerError.invalid("'stream' must be true or false"))
                !requestsOneChoice(fields) ->
                    Err(CallerError.invalid("'n' must be 1; send one request for each answer"))
                else -> Ok(requestOf(endpoint, model, stream, prompt, fields))
            }
        }

        private fun requestOf(
            endpoint: ModelEndpoint,
            model: String,
            stream: Boolean,
            prompt: String,
            fields: JsonObject,
        ): ModelRequest {
            val adapter = model.substringAfter(':', "")
            return ModelRequest(endpoint, model, model.substringBefore(':'), adapter, stream, prompt, fields)
        }

        /** Value of `stream`, false if missing; null if it is not a boolean. */
        private fun streamOf(fields: JsonObject): Boolean? {
            val value = fields["stream"] ?: JsonNull
            if (value is JsonNull) return false
            return (value as? JsonPrimitive)?.takeIf { !it.isString }?.booleanOrNull
        }

        private fun parseObject(body: String): JsonObject? = try {
            Json.parseBounded(body) as? JsonObject
        } catch (_: SerializationException) {
            null
        }

        private fun JsonObject.stringField(name: String): String? =
            (this[name] as? JsonPrimitive)?.takeIf { it.isString }?.contentOrNull

        private fun promptOf(endpoint: ModelEndpoint, fields: JsonObject): String? = when (endpoint) {
            ModelEndpoint.COMPLETIONS -> fields.stringField("prompt")
            ModelEndpoint.CHAT -> (fields["messages"] as? JsonArray)?.let { chatPrompt(it) }
        }

        private fun chatPrompt(messages: JsonArray): String? {
            val texts = messages.map { messageText(it) }
            return if (texts.isEmpty() || null in texts) null else texts.joinToString("")
        }

        private fun messageText(message: JsonElement): String? {
            val fields = message as? JsonObject
            val role = fields?.stringField("role")
            val content = fields?.get("content")
            return if (role == null || content == null) null else "$role: ${contentText(content)}\n"
        }

        private fun contentText(content: JsonElement): String =
            (content as? JsonPrimitive)?.contentOrNull ?: content.toString()

        private fun invalidPromptMessage(endpoint: ModelEndpoint): String = when (endpoint) {
            ModelEndpoint.COMPLETIONS -> "'prompt' is missing or not a string; send one prompt as a string"
            ModelEndpoint.CHAT -> "'messages' is missing or malformed; send objects with 'role' and 'content'"
        }

        private fun requestsOneChoice(fields: JsonObject): Boolean {
            val count = fields["n"] ?: JsonNull
            return count is JsonNull || (count is JsonPrimitive && !count.isString && count.intOrNull == 1)
        }
    }
}
