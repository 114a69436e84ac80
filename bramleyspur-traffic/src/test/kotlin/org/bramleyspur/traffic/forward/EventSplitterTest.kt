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
import strikt.assertions.isTrue

/** Guards against a part of an event that is passed on, and against a lost or doubled event at any cut of the bytes. */
class EventSplitterTest {
    private val text = "id: 1\ndata: a\n\nv: 2\nid: 2\r\ndata: b\r\n\r\ndata: none\n\nid: x\n\n"

    private fun feed(splitter: EventSplitter, cuts: List<Int>): List<StreamEvent> {
        val bytes = text.encodeToByteArray()
        val ends = (cuts.map { it.coerceIn(0, bytes.size) } + bytes.size).sorted()
        var start = 0
        return ends.flatMap { end -> splitter.feed(bytes.copyOfRange(start, end)).also { start = end } }
    }

    @Test
    fun `events with their ids`() {
        val events = feed(EventSplitter(), emptyList())
        expectThat(events.map { it.id }).containsExactly(1L, 2L, null, null)
    }

    @Property(tries = 300, seed = "17")
    fun `any cut gives the same events`(
        @ForAll @Size(max = 8) cuts: List<
            @IntRange(min = 0, max = 60)
            Int,
            >,
    ) {
        val splitter = EventSplitter()
        val events = feed(splitter, cuts)
        expectThat(events.joinToString("") { it.bytes.decodeToString() }).isEqualTo(text)
        expectThat(events.map { it.id }).containsExactly(1L, 2L, null, null)
        expectThat(splitter.pendingBytes).isEqualTo(0)
    }

    @Test
    fun `a part of an event is kept back`() {
        val splitter = EventSplitter()
        expectThat(splitter.feed("id: 7\ndata: par".encodeToByteArray())).isEmpty()
        expectThat(splitter.pendingBytes).isEqualTo(15)
    }

    @Test
    fun `an endless event overflows`() {
        val splitter = EventSplitter()
        splitter.feed(ByteArray(EventSplitter.MAX_EVENT_BYTES + 1) { 'x'.code.toByte() })
        expectThat(splitter.overflowed).isTrue()
    }
}
