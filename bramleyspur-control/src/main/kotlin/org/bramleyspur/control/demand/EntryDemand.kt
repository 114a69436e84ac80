/*
 * What entries count of the requests that arrive, as they report it: cumulative counts since the start of an entry, so
 * that a lost report loses nothing.
 */
package org.bramleyspur.control.demand

/** A model of a service. */
data class ServedModel(val service: String, val model: String)

/**
 * Counts of the requests for a model since the start of an entry.
 *
 * @property requests requests that arrived, with the refused ones
 * @property refused requests that were refused
 */
data class DemandCounts(
    val requests: Long = 0,
    val refused: Long = 0,
    val promptTokens: Long = 0,
    val outputTokens: Long = 0,
) {
    internal operator fun minus(other: DemandCounts) = DemandCounts(
        requests - other.requests,
        refused - other.refused,
        promptTokens - other.promptTokens,
        outputTokens - other.outputTokens,
    )

    companion object {
        /** Largest number of prompt or output tokens that is counted for a request. */
        const val MAX_REQUEST_TOKENS = 1L shl 24
    }
}

/**
 * A report of an [entry].
 *
 * @property startedAtMs start of the entry in Unix milliseconds, at which its counts were 0
 */
data class DemandReport(val entry: String, val startedAtMs: Long, val counts: Map<ServedModel, DemandCounts>)

/** Requests and tokens per millisecond. */
data class DemandRate(
    val requests: Double = 0.0,
    val refused: Double = 0.0,
    val promptTokens: Double = 0.0,
    val outputTokens: Double = 0.0,
) {
    internal operator fun times(factor: Double) =
        DemandRate(requests * factor, refused * factor, promptTokens * factor, outputTokens * factor)

    internal operator fun plus(other: DemandRate) = DemandRate(
        requests + other.requests,
        refused + other.refused,
        promptTokens + other.promptTokens,
        outputTokens + other.outputTokens,
    )
}
