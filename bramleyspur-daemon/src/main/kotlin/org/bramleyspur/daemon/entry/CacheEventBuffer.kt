package org.bramleyspur.daemon.entry

import org.bramleyspur.protocol.CacheEvent

/**
 * The latest cache events of an engine, and up to where each entry has them. They go to the entries with load reports,
 * so that an entry without traffic costs nothing. Used by the traffic thread only.
 */
class CacheEventBuffer {
    private val events = ArrayDeque<CacheEvent>()
    private val sent = HashMap<String, Long>()

    /** Adds the next event of the engine; a lower sequence number means that the engine has restarted. */
    fun add(event: CacheEvent) {
        val last = events.lastOrNull()
        if (last != null && event.sequence <= last.sequence) {
            events.clear()
            sent.clear()
        }
        events.addLast(event)
        if (events.size > KEPT_EVENTS) events.removeFirst()
    }

    /** Sequence number of the last event, 0 before the first. */
    fun lastSequence(): Long = events.lastOrNull()?.sequence ?: 0

    /** Events that [entry] does not have; when it is far behind only the latest, which it sees as a gap. */
    fun takeFor(entry: String): List<CacheEvent> {
        val last = events.lastOrNull()?.sequence ?: return emptyList()
        if (sent.size > MAX_ENTRIES) sent.clear()
        val after = sent.put(entry, last) ?: 0
        if (after == last) return emptyList()
        return events.takeLast(EVENTS_PER_REPORT).filter { it.sequence > after }
    }

    private companion object {
        const val KEPT_EVENTS = 256

        /** More entry incarnations than connect to one agent; one that is forgotten sees its events again. */
        const val MAX_ENTRIES = 2_048

        /** At 20 bytes each, small beside the tokens of one answer. */
        const val EVENTS_PER_REPORT = 128
    }
}
