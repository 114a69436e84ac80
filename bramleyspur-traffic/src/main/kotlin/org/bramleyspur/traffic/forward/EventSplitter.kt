package org.bramleyspur.traffic.forward

/** A whole server-sent event as it was received; [id] is null when it has none. */
class StreamEvent(val bytes: ByteArray, val id: Long?)

/**
 * Splits a stream of server-sent events into whole events, so that a stream can continue from another backend server
 * without a piece of an event. Used by one thread.
 */
class EventSplitter {
    private var buffer = ByteArray(INITIAL_BYTES)
    private var size = 0
    private var lineStart = 0
    private var eventStart = 0

    /** Bytes of an event that is not complete. */
    val pendingBytes: Int get() = size - eventStart

    /** Whether an event has exceeded [MAX_EVENT_BYTES]; nothing more is read then. */
    var overflowed = false
        private set

    /** Takes the next bytes; returns the events that they complete. */
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
        overflowed = pendingBytes > MAX_EVENT_BYTES
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
        /** An event of a generation has some hundred bytes. */
        const val MAX_EVENT_BYTES = 1024 * 1024
        private const val INITIAL_BYTES = 1024
        private const val NEWLINE = '\n'.code.toByte()
        private const val CARRIAGE_RETURN = '\r'.code.toByte()
        private const val ID_FIELD = "id:"
    }
}
