/*
 * One call of the load: builds its request, verifies its response and measures its latency.
 */
package org.bramleyspur.testbed.bench

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import org.bramleyspur.core.json.decodeBounded
import org.bramleyspur.testbed.engine.TokenFunction
import org.bramleyspur.testbed.engine.chatPrompt
import org.bramleyspur.testbed.http.testbedJson

/**
 * The requested model, and the version used to verify its text.
 *
 * @property engineModel name under which the engines serve the model; may differ from the name of the service
 */
internal data class BenchModel(
    val model: String,
    val version: String,
    val adapter: String?,
    val engineModel: String = model,
) {
    /** The model name sent in requests. */
    val requestName: String get() = if (adapter == null) model else "$model:$adapter"
}

@Serializable
private data class Chunk(val choices: List<ChunkChoice> = emptyList(), val error: JsonElement? = null)

@Serializable
private data class ChunkChoice(
    val text: String? = null,
    val delta: ChunkDelta? = null,
    @SerialName("finish_reason") val finishReason: String? = null,
)

@Serializable
private data class ChunkDelta(val content: String? = null)

/** Builds the HTTP request of [call]. */
internal fun httpRequestOf(call: PlannedCall, model: BenchModel, host: String, seed: Long): FullHttpRequest {
    val path = if (call.chat) "/v1/chat/completions" else "/v1/completions"
    val body = Unpooled.copiedBuffer(testbedJson.encodeToString(bodyOf(call, model)), Charsets.UTF_8)
    val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, path, body)
    request.headers()
        .set(HttpHeaderNames.HOST, host)
        .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
        .setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
    call.account.key?.let { request.headers().set(HttpHeaderNames.AUTHORIZATION, "Bearer $it") }
    if (call.side == Side.DIRECT) request.headers().set("X-Request-Id", "bench-$seed-${call.index}/1")
    return request
}

private fun bodyOf(call: PlannedCall, model: BenchModel): JsonObject = buildJsonObject {
    put("model", model.requestName)
    put("stream", true)
    put("max_tokens", call.maxTokens)
    if (call.chat) {
        putJsonArray("messages") { messagesOf(call.prompt).forEach { (role, text) -> add(message(role, text)) } }
    } else {
        put("prompt", call.prompt.system + call.prompt.user)
    }
}

private fun message(role: String, text: String) =
    JsonObject(mapOf("role" to JsonPrimitive(role), "content" to JsonPrimitive(text)))

private fun messagesOf(prompt: PlannedPrompt) = listOf("system" to prompt.system, "user" to prompt.user)

/** Returns the text of a complete response to [call]. */
internal fun expectedText(call: PlannedCall, model: BenchModel): String {
    val prompt = if (call.chat) chatPrompt(messagesOf(call.prompt)) else call.prompt.system + call.prompt.user
    return TokenFunction(model.engineModel, model.version, model.adapter, prompt).text(call.maxTokens)
}

/** Reads the response to one call; [intendedNanos] is the planned start, by [System.nanoTime]. */
internal class ResponseReader(
    private val call: PlannedCall,
    private val model: BenchModel,
    private val intendedNanos: Long,
    private val recorder: GroupRecorder,
) {
    private val text = StringBuilder()
    private val line = StringBuilder()
    private var refusal: String? = null
    private var lastTokenNanos = 0L
    private var doneReceived = false
    private var finishReasonReceived = false
    private var errorReceived = false

    /** Whether the outcome has been recorded. */
    var ended = false
        private set

    /** Processes the status and headers. */
    fun head(response: HttpResponse) {
        val status = response.status().code()
        if (status != 200) refusal = response.headers()["Bramleyspur-Outcome"] ?: "http_$status"
    }

    /** Processes a part of the body. */
    fun body(bytes: ByteBuf) {
        if (refusal != null) return
        val now = System.nanoTime()
        for (byte in bytes.toString(Charsets.UTF_8)) {
            if (byte == '\n') {
                readLine(line.toString(), now)
                line.setLength(0)
            } else {
                line.append(byte)
            }
        }
    }

    /** Processes the end of the body and records the outcome. */
    fun complete() {
        val expected = expectedText(call, model)
        val textMatches = text.contentEquals(expected)
        end(
            when {
                refusal != null -> checkNotNull(refusal)
                errorReceived && !doneReceived -> Outcomes.ERROR_EVENT
                !doneReceived -> if (expected.startsWith(text)) Outcomes.BROKEN else Outcomes.WRONG_TEXT
                textMatches && finishReasonReceived && !errorReceived -> Outcomes.COMPLETE
                else -> Outcomes.WRONG_TEXT
            },
        )
    }

    /** Records [outcome], unless the call has already ended. */
    fun end(outcome: String) {
        if (ended) return
        ended = true
        recorder.ended(outcome, System.nanoTime() - intendedNanos)
    }

    private fun readLine(line: String, now: Long) {
        val data = line.removePrefix("data: ").trimEnd('\r')
        if (data.length == line.length) return
        if (data == "[DONE]") doneReceived = true else readChunk(data, now)
    }

    @Suppress("SwallowedException") // An unreadable event counts as an error event of the response.
    private fun readChunk(data: String, now: Long) {
        val chunk =
            try {
                testbedJson.decodeBounded<Chunk>(data)
            } catch (e: SerializationException) {
                errorReceived = true
                return
            }
        if (chunk.error != null) errorReceived = true
        val choice = chunk.choices.firstOrNull() ?: return
        if (choice.finishReason != null) finishReasonReceived = true
        val tokenText = choice.text ?: choice.delta?.content ?: ""
        if (tokenText.isNotEmpty()) recordToken(tokenText, now)
    }

    private fun recordToken(tokenText: String, now: Long) {
        if (lastTokenNanos == 0L) recorder.firstToken(now - intendedNanos) else recorder.nextToken(now - lastTokenNanos)
        lastTokenNanos = now
        text.append(tokenText)
    }
}
