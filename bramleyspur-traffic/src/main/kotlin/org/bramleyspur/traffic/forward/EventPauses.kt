package org.bramleyspur.traffic.forward

/**
 * The pauses between the events of a stream, whichever backend servers they came from.
 *
 * @property lastEventMs time of the last event; null before the first one
 * @property longestMs longest time in milliseconds between two events; null before the second one
 */
data class EventPauses(val lastEventMs: Long? = null, val longestMs: Long? = null) {
    /** With an event that was forwarded at [nowMs]. */
    fun onEvent(nowMs: Long): EventPauses {
        val pauseMs = lastEventMs?.let { nowMs - it }
        return EventPauses(nowMs, listOfNotNull(longestMs, pauseMs).maxOrNull())
    }
}
