package org.bramleyspur.daemon.forward

import org.bramleyspur.core.time.ManualTimers
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against an entry that takes its own delay for the silence of a backend server. */
class LateEntryTest {
    /**
     * @property blockedMs time for which the thread of the entry is busy, with data of the server unread
     * @property reports whether a silence is reported in the time after that, if data is read after [readAfterMs]
     */
    private class Case(val name: String, val blockedMs: Long, val readAfterMs: Long?, val reports: Boolean)

    private val cases = listOf(
        Case("in time, no data", blockedMs = 0, readAfterMs = null, reports = true),
        Case("in time, data before the limit", blockedMs = 0, readAfterMs = 400, reports = false),
        Case("late, data is read at once", blockedMs = 900, readAfterMs = 1, reports = false),
        Case("late, no data", blockedMs = 900, readAfterMs = null, reports = true),
    )

    @TestFactory
    fun `silence counts only while the thread reads`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val timers = ManualTimers()
            var reported = false
            val watch = SilenceWatch(timers, lastServerDataMs = { null }, onSilent = { reported = true })
            watch.start(LIMIT_MS)
            timers.block(case.blockedMs)
            case.readAfterMs?.let { readAfterMs -> timers.after(readAfterMs) { watch.onData() } }
            timers.advance(LIMIT_MS)
            expectThat(reported).isEqualTo(case.reports)
        }
    }

    private companion object {
        const val LIMIT_MS = 450L
    }
}
