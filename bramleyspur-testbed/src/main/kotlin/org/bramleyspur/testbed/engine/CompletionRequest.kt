/*
 * The body of a completion request in the OpenAI formats, extended by the field `resume`.
 */
package org.bramleyspur.testbed.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.bramleyspur.core.json.decodeBounded
import org.bramleyspur.testbed.http.testbedJson

/** Body of `POST /v1/completions`. */
@Serializable
private data class TextBody(
    val model: String,
    val prompt: String,
    val stream: Boolean = false,
    @SerialName("max_tokens") val maxTokens: Int? = null,
    val resume: Resume? = null,
)

/** Body of `POST /v1/chat/completions`. */
@Serializable
private data class ChatBody(
    val model: String,
    val messages: List<Message>,
    val stream: Boolean = false,
    @SerialName("max_tokens") val maxTokens: Int? = null,
    @SerialName("max_completion_tokens") val maxCompletionTokens: Int? = null,
    val resume: Resume? = null,
)

@Serializable
private data class Message(val role: String, val content: JsonElement = JsonNull)

/** Tokens that were already generated; [position] is that of the next one. */
@Serializable
internal data class Resume(val position: Int, val tokens: List<String>)

/** A text or chat completion request. */
internal data class CompletionRequest(
    val chat: Boolean,
    val model: String,
    val adapter: String?,
    val prompt: String,
    val stream: Boolean,
    val maxTokens: Int?,
    val resume: Resume?,
) {
    init {
        require(maxTokens == null || maxTokens > 0) { "max_tokens is $maxTokens; it must be at least 1" }
        if (resume != null) {
            require(resume.position >= 0) { "resume.position is ${resume.position}; it must not be negative" }
            require(resume.tokens.size == resume.position) {
                "resume has ${resume.tokens.size} tokens but position ${resume.position}; both must agree"
            }
        }
    }

    /** The model name as given by the caller. */
    val modelName: String get() = if (adapter == null) model else "$model:$adapter"
}

/** Parses a text completion request; throws [IllegalArgumentException] for malformed input. */
internal fun parseText(body: String): CompletionRequest {
    val parsed = testbedJson.decodeBounded<TextBody>(body)
    val (model, adapter) = splitModel(parsed.model)
    return CompletionRequest(
        chat = false,
        model = model,
        adapter = adapter,
        prompt = parsed.prompt,
        stream = parsed.stream,
        maxTokens = parsed.maxTokens,
        resume = parsed.resume,
    )
}

/** Parses a chat completion request; throws [IllegalArgumentException] for malformed input. */
internal fun parseChat(body: String): CompletionRequest {
    val parsed = testbedJson.decodeBounded<ChatBody>(body)
    val (model, adapter) = splitModel(parsed.model)
    return CompletionRequest(
        chat = true,
        model = model,
        adapter = adapter,
        prompt = chatPrompt(parsed.messages.map { it.role to textOf(it.content) }),
        stream = parsed.stream,
        maxTokens = parsed.maxTokens ?: parsed.maxCompletionTokens,
        resume = parsed.resume,
    )
}

private fun splitModel(name: String): Pair<String, String?> {
    val adapter = name.substringAfter(':', "")
    return name.substringBefore(':') to adapter.ifEmpty { null }
}

private fun textOf(content: JsonElement): String = when (content) {
    is JsonNull -> ""
    is JsonPrimitive -> content.content
    is JsonArray -> content.joinToString("") { it.jsonObject["text"]?.jsonPrimitive?.content.orEmpty() }
    else -> throw IllegalArgumentException("message content is an object; give a string or a list of text parts")
}
