/*
 * Decides when an attempt counts as silent. Silence never ends an attempt; it permits another one beside it.
 */
package org.bramleyspur.traffic.forward

/**
 * How long nothing has arrived for an attempt.
 *
 * @property limitMs time without data after which the attempt counts as silent
 * @property attemptMs time since data of this attempt arrived
 * @property serverMs time since any data of its backend server arrived; null if that does not count
 */
data class Silence(val limitMs: Long, val attemptMs: Long, val serverMs: Long?)

/** Result of a check of an attempt for silence. */
sealed interface SilenceCheck {
    /** Nothing is missing yet; the next check is due in [afterMs]. */
    data class NotYet(val afterMs: Long) : SilenceCheck

    /** The attempt and its backend server are silent. */
    data object Silent : SilenceCheck
}

/** Checks an attempt for silence. A backend server that responds to other requests is alive; only this one waits. */
fun checkSilence(silence: Silence): SilenceCheck = when {
    silence.attemptMs < silence.limitMs -> SilenceCheck.NotYet(silence.limitMs - silence.attemptMs)
    silence.serverMs != null && silence.serverMs < minOf(silence.limitMs, STREAM_SILENCE_LIMIT_MS) ->
        SilenceCheck.NotYet(SILENCE_RECHECK_INTERVAL_MS)
    else -> SilenceCheck.Silent
}

/** Several steps of a full batch; a working engine sends events much more often. */
const val STREAM_SILENCE_LIMIT_MS = 450L

/** Time between two checks of an attempt that has exceeded its limit. */
const val SILENCE_RECHECK_INTERVAL_MS = 100L
