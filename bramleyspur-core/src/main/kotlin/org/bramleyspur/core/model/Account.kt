package org.bramleyspur.core.model

/**
 * A client account.
 *
 * @property keyDigest lower-case hexadecimal SHA-256 digest of the API key
 * @property maxConcurrent limit of concurrent requests over all entries; 0 means no limit
 * @property weight share of contended capacity relative to other accounts, at least 1
 * @property priority priority passed to the engine; higher values are served first
 * @property patienceMs longest predicted queueing time in milliseconds that the account accepts
 */
data class Account(
    val name: String,
    val keyDigest: String,
    val maxConcurrent: Int = 0,
    val weight: Int = 1,
    val priority: Int = 0,
    val patienceMs: Long = DEFAULT_PATIENCE_MS,
) {
    companion object {
        /** Leaves most of the 0.39 s first-token target to the engine's prefill. */
        const val DEFAULT_PATIENCE_MS = 300L
    }
}
