/*
 * Probes of engines that may be down. A refused connection and a missing response are counted apart: a sound engine
 * refuses no connection, but may send nothing for a second or so.
 */
package org.bramleyspur.control.group

/** Result of a probe. */
sealed interface ProbeResult {
    /** The engine responded with [report]. */
    data class Answered(val report: EngineReport) : ProbeResult

    /** The host of the engine is up and refused the connection, so no process listens at the engine's address. */
    data object Refused : ProbeResult

    /**
     * No readable response: none in time, or the connection was closed, which an engine with a long queue does to new
     * connections.
     */
    data object Unanswered : ProbeResult
}

/**
 * Probes of an engine that may be down.
 *
 * @property failures consecutive probes without a response
 * @property refused whether the last of them was refused
 * @property lastResponseMs when the engine last responded to a probe; null for never
 * @property awaitingResult whether the last probe has no result yet
 * @property unansweredSinceMs when the first of these failures was sent; null for no failure
 * @property silentMs how long the engine has been seen silent since then, without the time in which no probe ran
 * @property lastResultMs when the last result arrived; null for never
 */
data class ProbeRecord(
    val sentMs: Long,
    val failures: Int = 0,
    val refused: Boolean = false,
    val lastResponseMs: Long? = null,
    val awaitingResult: Boolean = false,
    val unansweredSinceMs: Long? = null,
    val silentMs: Long = 0,
    val lastResultMs: Long? = null,
) {
    /** Whether repeated probes show that the engine has crashed. */
    val crashed: Boolean get() = refused && failures >= UNREACHABLE_PROBE_FAILURES

    /** The record after the engine responded at [nowMs]. */
    fun responded(nowMs: Long): ProbeRecord = ProbeRecord(sentMs, lastResponseMs = nowMs, lastResultMs = nowMs)

    /** The record after the probe that was sent at [probeSentMs] got no response until [nowMs]. */
    fun failed(probeSentMs: Long, refused: Boolean, nowMs: Long): ProbeRecord {
        val result = copy(awaitingResult = false, lastResultMs = nowMs)
        // A time-out that is reported late is ignored: this process may have been paused with the response unread.
        if (nowMs - probeSentMs > PROBE_RESULT_MAX_AGE_MS) return result
        val sinceMs = if (failures == 0) probeSentMs else lastResultMs ?: probeSentMs
        return result.copy(
            failures = failures + 1,
            refused = refused,
            unansweredSinceMs = unansweredSinceMs ?: probeSentMs,
            silentMs = silentMs + minOf(nowMs - sinceMs, MAX_UNOBSERVED_MS),
        )
    }
}

/** Engines respond to probes within milliseconds; two failures on separate connections are unlikely by chance. */
internal const val UNREACHABLE_PROBE_FAILURES = 2

/** Longer than any probe time-out, with a margin for a delayed timer. */
private const val PROBE_RESULT_MAX_AGE_MS = 700L

/**
 * Most of the time between two failures that counts as silence; twice the probe interval. This process may have been
 * paused for the rest.
 */
private const val MAX_UNOBSERVED_MS = 500L
