package org.bramleyspur.traffic.forward

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import net.jqwik.api.constraints.Size
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

/** Guards against a partial event, and against a lost or duplicate event wherever the bytes are split. */
class EventSplitterTest {
    private val text = "id: 1\ndata: a\n\nv: 2\nid: 2\r\ndata: b\r\n\r\ndata: none\n\nid: x\n\n"

    private fun feed(splitter: EventSplitter, splitPoints: List<Int>): List<StreamEvent> {
        val bytes = text.encodeToByteArray()
        val ends = (splitPoints.map { it.coerceIn(0, bytes.size) } + bytes.size).sorted()
        var start = 0
        return ends.flatMap { end -> splitter.feed(bytes.copyOfRange(start, end)).also { start = end } }
    }

    @Test
    fun `events with their ids`() {
        val events = feed(EventSplitter(), emptyList())
        expectThat(events.map { it.id }).containsExactly(1L, 2L, null, null)
    }

    @Property(tries = 300, seed = "17")
    fun `any split of the bytes gives the same events`(
        @ForAll @Size(max = 8) splitPoints: List<
            @IntRange(min = 0, max = 60)
            Int,
            >,
    ) {
        val splitter = EventSplitter()
        val events = feed(splitter, splitPoints)
        expectThat(events.joinToString("") { it.bytes.decodeToString() }).isEqualTo(text)
        expectThat(events.map { it.id }).containsExactly(1L, 2L, null, null)
        expectThat(splitter.pendingBytes).isEqualTo(0)
    }

    @Test
    fun `a partial event is held back`() {
        val splitter = EventSplitter()
        expectThat(splitter.feed("id: 7\ndata: par".encodeToByteArray())).isEmpty()
        expectThat(splitter.pendingBytes).isEqualTo(15)
    }

    @Test
    fun `an event above the size limit overflows`() {
        val splitter = EventSplitter()
        splitter.feed(ByteArray(EventSplitter.MAX_EVENT_BYTES + 1) { 'x'.code.toByte() })
        expectThat(splitter.overflowed).isTrue()
    }

    /** Guards against a server that costs a million steps before its event reaches the limit in bytes. */
    @Test
    fun `an event in more parts than the limit overflows`() {
        val splitter = EventSplitter()
        val part = byteArrayOf('x'.code.toByte())
        repeat(EventSplitter.MAX_EVENT_PARTS) { splitter.feed(part) }
        expectThat(splitter.overflowed).isFalse()
        splitter.feed(part)
        expectThat(splitter.overflowed).isTrue()
    }

    @Test
    fun `parts of events that end do not add up`() {
        val splitter = EventSplitter()
        val parts = "id: 1\n\n".encodeToByteArray().map { byteArrayOf(it) }
        repeat(2 * EventSplitter.MAX_EVENT_PARTS / parts.size) { parts.forEach { splitter.feed(it) } }
        expectThat(splitter.overflowed).isFalse()
    }
}
