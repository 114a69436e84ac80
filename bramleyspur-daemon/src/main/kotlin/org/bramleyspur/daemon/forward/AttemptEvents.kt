package org.bramleyspur.daemon.forward

import org.bramleyspur.traffic.forward.EventSplitter
import org.bramleyspur.traffic.forward.EventUse
import org.bramleyspur.traffic.forward.StreamEvent
import org.bramleyspur.traffic.forward.completesResponse
import org.bramleyspur.traffic.forward.useOf

/**
 * The events of one attempt's stream.
 *
 * @property othersRunning returns whether other attempts of the request are running
 */
internal class AttemptEvents(private val response: DeliveredResponse, private val othersRunning: () -> Boolean) {
    private val splitter = EventSplitter()

    /** Whether the caller has received a part of another attempt's response. */
    private val continues = response.started
    private var addedEvents = false
    private var repeatedLast = false
    private var repeatedBytes = 0L

    /** Number of events that were received. */
    var received = 0
        private set

    /** Adds the next bytes and returns the events that they complete. */
    fun split(bytes: ByteArray): List<StreamEvent> = splitter.feed(bytes).also { received += it.size }

    /** Passes those of [events] that are new for the caller to [forward]; returns what is wrong with the stream. */
    fun forwardNew(events: List<StreamEvent>, forward: (StreamEvent) -> Unit): String? {
        if (splitter.overflowed) return "sent an event above the limit"
        for (event in events) {
            when (useOf(event, response.lastEventId, continues, othersRunning())) {
                EventUse.FORWARD -> {
                    addedEvents = addedEvents || !event.isComment
                    forward(event)
                }
                EventUse.SKIP -> {
                    repeatedBytes += event.bytes.size
                    if (event.id != null) repeatedLast = event.id == response.lastEventId
                }
                EventUse.INVALID -> return "continued the stream without event ids"
            }
        }
        return if (repeatedBytes > MAX_REPEATED_BYTES) "repeated its events without end" else null
    }

    /** What is wrong with the stream if it ends here; null if its end completes the response. */
    fun wrongEnd(): String? = when {
        splitter.pendingBytes > 0 -> "ended its answer within an event"
        !completesResponse(continues || othersRunning(), addedEvents, repeatedLast) ->
            "ended its answer without an event that continues the stream"
        else -> null
    }

    private companion object {
        /** Many times the events that a backend server repeats when it resumes a stream from its beginning. */
        const val MAX_REPEATED_BYTES = 256 * 1024L
    }
}
