package org.bramleyspur.daemon.entry

import org.bramleyspur.protocol.CacheEvent
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against events that are sent twice, lost without a visible gap, or kept from before an engine's restart. */
class CacheEventBufferTest {
    data class Case(val name: String, val first: List<Long>, val second: List<Long>, val expected: List<Long>) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("cases")
    fun `an entry gets what it does not have`(case: Case) {
        val buffer = CacheEventBuffer()
        case.first.forEach { buffer.add(event(it)) }
        buffer.takeFor("entry")
        case.second.forEach { buffer.add(event(it)) }
        expectThat(buffer.takeFor("entry").map { it.sequence }).isEqualTo(case.expected)
        expectThat(buffer.takeFor("entry").map { it.sequence }).isEqualTo(emptyList())
    }

    companion object {
        private fun event(sequence: Long) = CacheEvent.newBuilder().setSequence(sequence).build()

        @JvmStatic
        fun cases(): List<Case> = listOf(
            Case("nothing new", listOf(1, 2), emptyList(), emptyList()),
            Case("new events only", listOf(1, 2), listOf(3, 4), listOf(3, 4)),
            Case("a gap of the engine stays visible", listOf(1), listOf(5), listOf(5)),
            Case("the latest when far behind", emptyList(), (1L..300L).toList(), (173L..300L).toList()),
            Case("a restarted engine begins again", listOf(7, 8), listOf(1, 2), listOf(1, 2)),
        )
    }
}
