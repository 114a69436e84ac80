package org.bramleyspur.daemon.forward

import org.bramleyspur.core.time.TimerHandle
import org.bramleyspur.core.time.TimerService
import org.bramleyspur.traffic.forward.SILENCE_RECHECK_INTERVAL_MS
import org.bramleyspur.traffic.forward.Silence
import org.bramleyspur.traffic.forward.SilenceCheck
import org.bramleyspur.traffic.forward.checkSilence

/**
 * Reports again and again that an attempt is silent, as long as it is.
 *
 * @property lastServerDataMs returns the time of the last data of the backend server; null if that does not count
 * @property onSilent receives the time without data in milliseconds
 */
internal class SilenceWatch(
    private val timers: TimerService,
    private val lastServerDataMs: () -> Long?,
    private val onSilent: (silentMs: Long) -> Unit,
) {
    private var limitMs = 0L
    private var paused = false
    private var lastDataMs = timers.nowMs()
    private var timer: TimerHandle? = null
    private var dueMs = 0L

    /** Checks from now on for silences of [limitMs]. */
    fun start(limitMs: Long) {
        this.limitMs = limitMs
        if (!paused) checkAfter(limitMs)
    }

    /** Pauses the checks while nothing is read, or begins anew. */
    fun pause(paused: Boolean) {
        this.paused = paused
        onData()
        if (paused) {
            timer?.cancel()
        } else if (limitMs > 0) {
            checkAfter(limitMs)
        }
    }

    fun onData() {
        lastDataMs = timers.nowMs()
    }

    fun stop() {
        timer?.cancel()
    }

    private fun checkAfter(delayMs: Long) {
        timer?.cancel()
        dueMs = timers.nowMs() + delayMs
        timer = timers.after(delayMs) { check() }
    }

    private fun check() {
        val now = timers.nowMs()
        // While this thread was late, data of the server may have arrived that it reads only after this check.
        if (now - dueMs > MAX_LATENESS_MS) return checkAfter(SILENCE_RECHECK_INTERVAL_MS)
        val silence = Silence(limitMs, now - lastDataMs, lastServerDataMs()?.let { now - it })
        when (val result = checkSilence(silence)) {
            is SilenceCheck.NotYet -> checkAfter(result.afterMs)
            SilenceCheck.Silent -> {
                checkAfter(SILENCE_RECHECK_INTERVAL_MS)
                onSilent(silence.attemptMs)
            }
        }
    }

    private companion object {
        /** A timer of a thread in time runs within a few milliseconds of its time. */
        const val MAX_LATENESS_MS = 40L
    }
}
