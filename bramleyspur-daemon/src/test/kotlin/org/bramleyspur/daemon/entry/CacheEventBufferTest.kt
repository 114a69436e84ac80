package org.bramleyspur.daemon.entry

import org.bramleyspur.protocol.CacheEvent
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against events that are sent twice, lost without a detectable gap, or retained after an engine's restart. */
class CacheEventBufferTest {
    data class Case(val name: String, val alreadySent: List<Long>, val added: List<Long>, val expected: List<Long>) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("cases")
    fun `an entry gets only events that were not sent to it before`(case: Case) {
        val buffer = CacheEventBuffer()
        case.alreadySent.forEach { buffer.add(event(it)) }
        buffer.takeFor("entry")
        case.added.forEach { buffer.add(event(it)) }
        expectThat(buffer.takeFor("entry").map { it.sequence }).isEqualTo(case.expected)
        expectThat(buffer.takeFor("entry").map { it.sequence }).isEqualTo(emptyList())
    }

    companion object {
        private fun event(sequence: Long) = CacheEvent.newBuilder().setSequence(sequence).build()

        @JvmStatic
        fun cases(): List<Case> = listOf(
            Case("nothing new", listOf(1, 2), emptyList(), emptyList()),
            Case("new events only", listOf(1, 2), listOf(3, 4), listOf(3, 4)),
            Case("a gap in the engine's sequence is preserved", listOf(1), listOf(5), listOf(5)),
            Case("only the latest of many new events", emptyList(), (1L..300L).toList(), (173L..300L).toList()),
            Case("a restarted engine starts a new sequence", listOf(7, 8), listOf(1, 2), listOf(1, 2)),
        )
    }
}
