/*
 * Interface for model requests to an engine. An [EngineExecutor] implements the protocol of one kind of engine;
 * [OpenAiEngine] implements the OpenAI completions API with the resume extension.
 */
package org.bramleyspur.daemon.engine

/**
 * A request attempt to run on an engine.
 *
 * @property id request and attempt, `ID/N`
 * @property path `/v1/completions` or `/v1/chat/completions`
 * @property body OpenAI request with `stream` set
 * @property timeoutMs remaining time in milliseconds until the deadline
 * @property idempotent whether the request may be sent to the engine twice
 */
data class EngineRequest(
    val id: String,
    val path: String,
    val body: String,
    val priority: Int,
    val timeoutMs: Long,
    val replica: String,
    val fencingNumber: Long,
    val traceparent: String,
    val idempotent: Boolean = true,
)

/** Receives the events of one engine call on the traffic thread. */
interface EngineListener {
    /** The engine has not begun the request and will not begin it. */
    fun onRefused(reason: EngineRefusal, message: String)

    /** The engine has begun the request. */
    fun onBegun()

    /** The engine generated the token at [position]. */
    fun onToken(position: Int, token: String)

    /** The engine finished the generation. */
    fun onEnd(finishReason: String, promptTokens: Int, completionTokens: Int)

    /** The call ended without a complete response; [begun] is false only if the engine cannot have begun it. */
    fun onBroken(message: String, begun: Boolean)

    /** The engine rejected the request as invalid with HTTP [status]; it was not begun. */
    fun onRejected(status: Int, message: String)
}

/** Reason for which an engine did not begin a request. */
enum class EngineRefusal {
    NOT_IN_ROLE,
    NO_SLOT,
    EXPIRED,
}

/** A call in progress. */
interface EngineCall {
    /** Pauses or resumes reading of the tokens. */
    fun pauseReading(paused: Boolean)

    /** Cancels the call and frees its slot; the [EngineListener] receives no further events. */
    fun cancel()
}

/** Runs a request on an engine. */
typealias EngineExecutor = (EngineRequest, EngineListener) -> EngineCall
