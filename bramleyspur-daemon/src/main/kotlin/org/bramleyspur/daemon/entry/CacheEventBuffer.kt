package org.bramleyspur.daemon.entry

import org.bramleyspur.protocol.CacheEvent

/**
 * The latest cache events of an engine, and the last sequence number sent to each entry. Events are sent with load
 * reports, so that an entry without traffic causes no messages. Used by the traffic thread only.
 */
class CacheEventBuffer {
    private val events = ArrayDeque<CacheEvent>()
    private val sentSequences = HashMap<String, Long>()

    /** Adds the next event of the engine; a lower sequence number means that the engine has restarted. */
    fun add(event: CacheEvent) {
        val last = events.lastOrNull()
        if (last != null && event.sequence <= last.sequence) {
            events.clear()
            sentSequences.clear()
        }
        events.addLast(event)
        if (events.size > MAX_EVENTS) events.removeFirst()
    }

    /** Sequence number of the last event, 0 if there is none. */
    fun lastSequence(): Long = events.lastOrNull()?.sequence ?: 0

    /** Returns the events not yet sent to [entry], but only the latest if there are many; the entry detects the gap. */
    fun takeFor(entry: String): List<CacheEvent> {
        val last = events.lastOrNull()?.sequence ?: return emptyList()
        if (sentSequences.size > MAX_ENTRIES) sentSequences.clear()
        val lastSent = sentSequences.put(entry, last) ?: 0
        if (lastSent == last) return emptyList()
        return events.takeLast(EVENTS_PER_REPORT).filter { it.sequence > lastSent }
    }

    private companion object {
        const val MAX_EVENTS = 256

        /** More entry incarnations than connect to one agent; entries are sent events again after they are evicted. */
        const val MAX_ENTRIES = 2_048

        /** At 20 bytes each, small compared to the tokens of one response. */
        const val EVENTS_PER_REPORT = 128
    }
}
