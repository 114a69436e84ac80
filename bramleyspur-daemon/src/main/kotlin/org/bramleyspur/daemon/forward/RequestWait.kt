package org.bramleyspur.daemon.forward

import org.bramleyspur.core.time.TimerHandle

/**
 * The one wait of a request. A wait that begins ends the one before it, so that a request is never woken up by two.
 * Confined to the traffic thread.
 *
 * @property onOver runs when a wait is over that nothing has ended before
 */
internal class RequestWait(private val onOver: (AttemptCause) -> Unit) {
    private class Wait(var handle: TimerHandle?)

    private var current: Wait? = null

    /** Begins the wait for [cause]: [start] sets what runs the given action when it is over. */
    fun begin(cause: AttemptCause, start: (over: () -> Unit) -> TimerHandle) {
        end()
        val wait = Wait(null)
        current = wait
        wait.handle = start {
            if (current === wait) {
                end()
                onOver(cause)
            }
        }
    }

    /** Ends the wait, if there is one, without running [onOver]. */
    fun end() {
        val ended = current
        current = null
        ended?.handle?.cancel()
    }
}
