package org.bramleyspur.testbed.matrix

/**
 * The effects on callers that a fault case may have.
 *
 * @property maxTokenGapMs longest allowed time without a token: 2 s to detect a failed peer, and the time to resume
 */
internal data class AllowedImpact(
    val brokenConnections: Boolean = false,
    val refusals: Boolean = true,
    val interruptedStreams: Boolean = true,
    val maxTokenGapMs: Long = 3_000,
)
