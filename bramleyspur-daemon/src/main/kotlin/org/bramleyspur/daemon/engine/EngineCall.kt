/*
 * Model requests to an engine. The dialect of an engine is one [EngineExecutor]; the one here speaks the OpenAI
 * completions shapes with the resume extension.
 */
package org.bramleyspur.daemon.engine

/**
 * A request attempt as it is given to an engine.
 *
 * @property id request and attempt, `ID/N`
 * @property path `/v1/completions` or `/v1/chat/completions`
 * @property body OpenAI request with `stream` set
 * @property timeoutMs time left until the deadline
 * @property idempotent whether the engine may get the request twice
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
    /** The engine did not begin the request and will not. */
    fun onRefused(reason: EngineRefusal, message: String)

    /** The engine has begun the request. */
    fun onBegun()

    /** The engine generated the token at [position]. */
    fun onToken(position: Int, token: String)

    /** The engine finished the generation. */
    fun onEnd(finishReason: String, promptTokens: Int, completionTokens: Int)

    /** The call ended without a whole answer; [begun] is false only when the engine cannot have begun it. */
    fun onBroken(message: String, begun: Boolean)

    /** The engine rejected the request as wrong with HTTP [status]; it was not begun. */
    fun onRejected(status: Int, message: String)
}

/** Why an engine did not begin a request. */
enum class EngineRefusal {
    NOT_IN_ROLE,
    NO_SLOT,
    EXPIRED,
}

/** A call in progress. */
interface EngineCall {
    /** Stops or resumes reading of the tokens. */
    fun pauseReading(paused: Boolean)

    /** Cancels the call and frees its slot; [EngineListener] hears nothing more. */
    fun cancel()
}

/** Runs a request on an engine. */
typealias EngineExecutor = (EngineRequest, EngineListener) -> EngineCall
