package org.bramleyspur.traffic.forward

/** A complete server-sent event as received; [id] is null when it has none. */
class StreamEvent(val bytes: ByteArray, val id: Long?) {
    /** Whether it has comments only, which carry no content. */
    val isComment: Boolean
        get() = bytes.decodeToString().lineSequence().all { it.isBlank() || it.startsWith(':') }
}

/**
 * Splits a stream of server-sent events into complete events, so that the stream can be resumed from another backend
 * server without a partial event. Not thread-safe.
 */
class EventSplitter {
    private var buffer = ByteArray(INITIAL_BYTES)
    private var size = 0
    private var lineStart = 0
    private var eventStart = 0
    private var eventParts = 0

    /** Number of bytes of the incomplete event. */
    val pendingBytes: Int get() = size - eventStart

    /** Whether an event has exceeded [MAX_EVENT_BYTES] or [MAX_EVENT_PARTS]; further input is ignored. */
    var overflowed = false
        private set

    /** Adds the next bytes and returns the events that they complete. */
    fun feed(bytes: ByteArray): List<StreamEvent> {
        if (overflowed) return emptyList()
        append(bytes)
        val events = ArrayList<StreamEvent>()
        var position = size - bytes.size
        while (position < size) {
            if (buffer[position] == NEWLINE) {
                if (isBlank(lineStart, position) && position > eventStart) {
                    val event = buffer.copyOfRange(eventStart, position + 1)
                    events += StreamEvent(event, idOf(event))
                    eventStart = position + 1
                }
                lineStart = position + 1
            }
            position++
        }
        compact()
        if (events.isNotEmpty()) eventParts = 0
        if (pendingBytes > 0) eventParts++
        overflowed = pendingBytes > MAX_EVENT_BYTES || eventParts > MAX_EVENT_PARTS
        return events
    }

    private fun append(bytes: ByteArray) {
        if (size + bytes.size > buffer.size) buffer = buffer.copyOf(maxOf(buffer.size * 2, size + bytes.size))
        bytes.copyInto(buffer, size)
        size += bytes.size
    }

    private fun compact() {
        if (eventStart == 0) return
        buffer.copyInto(buffer, 0, eventStart, size)
        size -= eventStart
        lineStart -= eventStart
        eventStart = 0
    }

    private fun isBlank(start: Int, end: Int) = start == end || (end - start == 1 && buffer[start] == CARRIAGE_RETURN)

    private fun idOf(event: ByteArray): Long? = event.decodeToString()
        .lineSequence()
        .lastOrNull { it.startsWith(ID_FIELD) }
        ?.substring(ID_FIELD.length)
        ?.trim()
        ?.toLongOrNull()

    companion object {
        /** Far above the few hundred bytes of an event of a generation. */
        const val MAX_EVENT_BYTES = 1024 * 1024

        /**
         * Bounds the work for one event: in parts of one byte, an event of [MAX_EVENT_BYTES] occupies the traffic
         * thread for more than a second on a busy machine.
         */
        const val MAX_EVENT_PARTS = 16 * 1024
        private const val INITIAL_BYTES = 1024
        private const val NEWLINE = '\n'.code.toByte()
        private const val CARRIAGE_RETURN = '\r'.code.toByte()
        private const val ID_FIELD = "id:"
    }
}
