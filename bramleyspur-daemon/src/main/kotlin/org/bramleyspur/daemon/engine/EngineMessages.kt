/*
 * JSON messages of the model engine API, which is described in docs/engine-api.md.
 */
package org.bramleyspur.daemon.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** JSON format of engine messages; unknown fields are ignored for compatibility with other versions. */
internal val engineJson = Json { ignoreUnknownKeys = true }

@Serializable
internal data class EngineDelta(val content: String = "")

@Serializable
internal data class EngineChoice(
    val text: String = "",
    val delta: EngineDelta? = null,
    @SerialName("finish_reason") val finishReason: String? = null,
)

@Serializable
internal data class EngineUsage(
    @SerialName("prompt_tokens") val promptTokens: Int = 0,
    @SerialName("completion_tokens") val completionTokens: Int = 0,
)

@Serializable
internal data class EngineChunk(
    val position: Int = -1,
    val choices: List<EngineChoice> = emptyList(),
    val usage: EngineUsage? = null,
)

@Serializable
internal data class EngineErrorBody(val type: String = "", val message: String = "")

@Serializable
internal data class EngineError(val error: EngineErrorBody = EngineErrorBody())

/** Role of an engine in a group. */
@Serializable
enum class EngineRole {
    @SerialName("none")
    NONE,

    @SerialName("first")
    FIRST,

    @SerialName("member")
    MEMBER,
}

/** An order to take a role. [members] are the addresses of the engines, with the first member at index 0. */
@Serializable
data class EngineOrder(
    @SerialName("order_id") val orderId: String,
    @SerialName("fencing_number") val fencingNumber: Long,
    val replica: String,
    val role: EngineRole,
    val rank: Int,
    val model: String,
    val version: String,
    val adapters: List<String>,
    val members: List<String>,
)

/** State that a backend server reports in the response to a probe or an order. */
@Serializable
data class BackendStateResponse(
    @SerialName("boot_id") val bootId: String,
    val role: EngineRole = EngineRole.NONE,
    val state: String = "",
    val replica: String = "",
    @SerialName("fencing_number") val fencingNumber: Long = 0,
    val version: String = "",
    val running: Int = 0,
    val slots: Int = 1,
)
