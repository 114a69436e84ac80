package org.bramleyspur.testbed.engine

import java.util.UUID

/** How the stand-in engine treats fencing numbers. */
enum class Fencing {
    /** Refuses orders with a lower number than the highest one seen, and requests with a different number. */
    HONOUR,

    /** Stores and reports numbers but does not compare them. */
    IGNORE,
}

/**
 * Settings of a stand-in engine.
 *
 * @property slots maximum number of concurrent generations
 * @property queueLimit maximum number of requests that wait for a slot, by priority; with 0 they are refused with 429
 * @property decodeMs milliseconds between the tokens of one generation
 * @property prefillMicrosPerByte microseconds of prefill for each prompt byte that is not in the prefix cache
 * @property cacheBlocks capacity of the prefix cache in blocks of 256 bytes
 * @property cacheEventDelayMs milliseconds by which the publication of cache events is delayed
 * @property cacheEventLoss probability that a cache event is lost
 * @property loadMs milliseconds from an order to the state `ready`
 * @property reportLagMs age of a load report in milliseconds
 * @property slowDown factor on decode and prefill times, above 1 for a straggler
 * @property model model that is loaded at start, for use without an agent; null to wait for an order
 */
data class EngineSettings(
    val slots: Int = 8,
    val queueLimit: Int = 0,
    val decodeMs: Double = 5.0,
    val prefillMicrosPerByte: Double = 1.0,
    val cacheBlocks: Int = 4096,
    val cacheEventDelayMs: Long = 200,
    val cacheEventLoss: Double = 0.0,
    val seed: Long = 1,
    val loadMs: Long = 1000,
    val failLoad: Boolean = false,
    val reportLagMs: Long = 500,
    val fencing: Fencing = Fencing.HONOUR,
    val slowDown: Double = 1.0,
    val defaultMaxTokens: Int = DEFAULT_MAX_TOKENS,
    val bootId: String = UUID.randomUUID().toString(),
    val groupCheckMs: Long = 100,
    val groupTimeoutMs: Long = 300,
    val model: String? = null,
    val version: String = "v1",
    val adapters: List<String> = emptyList(),
)
