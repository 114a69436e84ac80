/*
 * Formats responses to model requests as the OpenAI API does, streamed or as one JSON object.
 */
package org.bramleyspur.daemon.caller

import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject

/** Token counts of a generation. */
data class TokenUsage(val promptTokens: Int, val completionTokens: Int)

/** Formats the response to one model request; [createdS] is its creation time in seconds since the Unix epoch. */
class OpenAiResponseFormatter(
    private val endpoint: ModelEndpoint,
    private val id: String,
    private val model: String,
    private val createdS: Long,
) {
    private val isChat = endpoint == ModelEndpoint.CHAT
    private val chunkPrefix =
        """data: {"id":${JsonPrimitive(id)},"object":"$chunkKind","created":$createdS,""" +
            """"model":${JsonPrimitive(model)},"choices":[{"index":0,"""

    /** Server-sent event with one token. */
    fun tokenEvent(position: Int, token: String): String {
        val text = JsonPrimitive(token).toString()
        val content =
            when {
                !isChat -> """"text":$text"""
                position == 0 -> """"delta":{"role":"assistant","content":$text}"""
                else -> """"delta":{"content":$text}"""
            }
        return """$chunkPrefix$content,"finish_reason":null}]}$EVENT_END"""
    }

    /** The last events of a complete stream. */
    fun finishEvents(finishReason: String, usage: TokenUsage): String {
        val reason = JsonPrimitive(finishReason)
        val empty = if (isChat) """"delta":{}""" else """"text":"""""
        val usageJson = JsonObject(usageFields(usage))
        return """$chunkPrefix$empty,"finish_reason":$reason}],"usage":$usageJson}$EVENT_END""" +
            "data: [DONE]$EVENT_END"
    }

    /** Final server-sent event of a stream that could not be completed. */
    fun errorEvent(error: CallerError): String = "data: ${error.toJson()}$EVENT_END"

    /** Complete response as one JSON object. */
    fun toJson(text: String, finishReason: String, usage: TokenUsage): String = buildJsonObject {
        put("id", id)
        put("object", if (isChat) "chat.completion" else "text_completion")
        put("created", createdS)
        put("model", model)
        putJsonArray("choices") { addJsonObject { choice(text, finishReason) } }
        put("usage", JsonObject(usageFields(usage)))
    }.toString()

    private val chunkKind: String get() = if (isChat) "chat.completion.chunk" else "text_completion"

    private fun JsonObjectBuilder.choice(text: String, finishReason: String) {
        put("index", 0)
        if (isChat) {
            putJsonObject("message") {
                put("role", "assistant")
                put("content", text)
            }
        } else {
            put("text", text)
        }
        put("logprobs", JsonNull)
        put("finish_reason", finishReason)
    }

    private fun usageFields(usage: TokenUsage): Map<String, JsonPrimitive> = mapOf(
        "prompt_tokens" to JsonPrimitive(usage.promptTokens),
        "completion_tokens" to JsonPrimitive(usage.completionTokens),
        "total_tokens" to JsonPrimitive(usage.promptTokens + usage.completionTokens),
    )

    private companion object {
        const val EVENT_END = "\n\n"
    }
}
