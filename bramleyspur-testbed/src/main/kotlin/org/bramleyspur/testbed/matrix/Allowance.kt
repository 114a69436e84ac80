package org.bramleyspur.testbed.matrix

/**
 * What a row may do to callers.
 *
 * @property stallMs longest allowed time in milliseconds without a token: 2 s to find a dead peer, and the resumption
 */
internal data class Allowance(
    val brokenConnections: Boolean = false,
    val refusals: Boolean = true,
    val cutStreams: Boolean = true,
    val stallMs: Long = 3_000,
)
