package org.bramleyspur.traffic.stream

/** Form of the response to a request. */
enum class RequestKind {
    /** Tokens with positions; a broken response can be continued by another attempt. */
    GENERATION,

    /** A head and a body that are forwarded unchanged; a broken response cannot be continued. */
    CALL,
}

/**
 * Properties of a request that are known when it is accepted.
 *
 * @property idempotent whether it may begin more than once
 * @property streaming whether tokens reach the caller as they arrive, so that a refusal is no longer possible after one
 * @property finishWithoutCaller whether the run continues when the caller disconnects, because its response is recorded
 * @property maxAttempts attempts before the first token, and attempts that may fail after it
 */
data class RequestFacts(
    val kind: RequestKind,
    val idempotent: Boolean,
    val streaming: Boolean = false,
    val finishWithoutCaller: Boolean = false,
    val maxAttempts: Int = DEFAULT_MAX_ATTEMPTS,
) {
    companion object {
        /** Bounds the load caused by a request that breaks each replica it runs on. */
        const val DEFAULT_MAX_ATTEMPTS = 4
    }
}
