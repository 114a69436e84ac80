/*
 * The JSON bodies of the engine's admin interface, as specified in docs/engine-api.md.
 */
package org.bramleyspur.testbed.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Role of an engine in a replica. */
@Serializable
internal enum class EngineRole {
    @SerialName("first")
    FIRST,

    @SerialName("member")
    MEMBER,

    @SerialName("none")
    NONE,
}

/** Progress of an engine towards its role. */
@Serializable
internal enum class EngineState {
    @SerialName("idle")
    IDLE,

    @SerialName("loading")
    LOADING,

    @SerialName("ready")
    READY,

    @SerialName("failed")
    FAILED,
}

/** Body of `POST /admin/orders`. */
@Serializable
internal data class Order(
    @SerialName("order_id") val orderId: String = "",
    @SerialName("fencing_number") val fencingNumber: Long,
    val replica: String = "",
    val role: EngineRole,
    val rank: Int = 0,
    val model: String = "",
    val version: String = "",
    val adapters: List<String> = emptyList(),
    val members: List<String> = emptyList(),
) {
    /** Whether running generations can continue under [other]. */
    fun hasSameAssignmentAs(other: Order): Boolean =
        replica == other.replica && role == other.role && rank == other.rank && hasSameWeightsAs(other) &&
            members == other.members

    private fun hasSameWeightsAs(other: Order): Boolean = model == other.model && version == other.version
}

/** Response to an accepted order. */
@Serializable
internal data class OrderResponse(val accepted: Boolean, @SerialName("boot_id") val bootId: String)

/** Response to `GET /admin/state`. */
@Serializable
internal data class StateReport(
    @SerialName("boot_id") val bootId: String,
    val role: EngineRole,
    val state: EngineState,
    val replica: String,
    @SerialName("fencing_number") val fencingNumber: Long,
    val model: String,
    val version: String,
    val adapters: List<String>,
    val running: Int,
    val slots: Int,
)

/** Body of `POST /admin/cancel`. */
@Serializable
internal data class CancelRequest(val request: String)

/** Response to `POST /admin/cancel`. */
@Serializable
internal data class CancelResponse(val known: Boolean, val began: Boolean)

/** Response to `GET /admin/load`. */
@Serializable
internal data class LoadReport(
    val running: Int,
    val queued: Int,
    val slots: Int,
    @SerialName("tokens_per_second") val tokensPerSecond: Double,
    @SerialName("age_ms") val ageMs: Long,
)

/** Response to `GET /admin/runs`. */
@Serializable
internal data class RunsReport(val total: Long, @SerialName("by_request") val byRequest: Map<String, Int>)

/** Data of one event of `GET /admin/cache-events`. */
@Serializable
internal data class CacheEvent(val sequence: Long, val kind: String, val prefix: String)

/** Body of `POST /testbed/settings`: changes settings during a test; absent fields leave the setting unchanged. */
@Serializable
internal data class SettingsChange(
    @SerialName("slow_down") val slowDown: Double? = null,
    @SerialName("fail_load") val failLoad: Boolean? = null,
)

/** Token counts at the end of a completion. */
@Serializable
internal data class Usage(
    @SerialName("prompt_tokens") val promptTokens: Int,
    @SerialName("completion_tokens") val completionTokens: Int,
    @SerialName("total_tokens") val totalTokens: Int = promptTokens + completionTokens,
)
