package org.bramleyspur.traffic.stream

/** How the answer of a request is made up. */
enum class RequestKind {
    /** Tokens with positions; a broken answer can be continued by another attempt. */
    GENERATION,

    /** A head and a body that are passed on as they are; a broken answer cannot be continued. */
    CALL,
}

/**
 * What is known of a request when it is accepted.
 *
 * @property idempotent whether it may begin more than once
 * @property streaming whether tokens reach the caller as they arrive, so that a refusal is no longer possible after one
 * @property finishWithoutCaller whether the run continues when the caller leaves, because its answer is recorded
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
        /** Bounds the load that one request which breaks its replicas can cause. */
        const val DEFAULT_MAX_ATTEMPTS = 4
    }
}
