package org.bramleyspur.core.time

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo

/** Guards against a busy thread that takes its own delay for the silence of others, or has no time to read. */
class LateThreadTest {
    private class TimeoutCase(val name: String, val blockedMs: Long, val expiresAfterMs: Long)

    private val timeoutCases = listOf(
        TimeoutCase("a thread that is never late", blockedMs = 0, expiresAfterMs = 200),
        TimeoutCase("a thread that is late for the whole timeout", blockedMs = 200, expiresAfterMs = 350),
        TimeoutCase("a thread that is late for much longer", blockedMs = 5_000, expiresAfterMs = 5_150),
    )

    @TestFactory
    fun `time in which the thread was late does not count for a timeout`() = timeoutCases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val timers = ManualTimers()
            var expiredMs = 0L
            timers.afterObserved(200) { expiredMs = timers.nowMs() }
            timers.block(case.blockedMs)
            timers.advance(1_000)
            expectThat(expiredMs).isEqualTo(case.expiresAfterMs)
        }
    }

    @Test
    fun `a cancelled timeout does not expire`() {
        val timers = ManualTimers()
        var expired = false
        val timeout = timers.afterObserved(200) { expired = true }
        timers.advance(100)
        timeout.cancel()
        timers.advance(1_000)
        expectThat(expired).isEqualTo(false)
    }

    @Test
    fun `the lag is measured, reported and forgotten`() {
        val timers = ManualTimers()
        val reported = mutableListOf<Long>()
        val lag = LoopLag(timers) { reported += it }
        lag.start()
        timers.advance(1_000)
        expectThat(lag.recentMs()).isEqualTo(0)
        timers.block(450)
        expectThat(lag.recentMs()).isEqualTo(400)
        timers.advance(60)
        expectThat(lag.recentMs()).isEqualTo(400)
        expectThat(reported.toList()).isEqualTo(listOf(400L))
        timers.advance(LoopLag.WINDOW_MS)
        expectThat(lag.recentMs()).isEqualTo(0)
    }

    private class LoadCase(val name: String, val requests: Int, val everyMs: Long, val runMs: Long)

    private val loadCases = listOf(
        LoadCase("short runs", requests = 1_000, everyMs = 1, runMs = 1),
        LoadCase("long runs", requests = 1_000, everyMs = 1, runMs = 40),
    )

    @TestFactory
    fun `a task takes at most a quarter of the time`() = loadCases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val timers = ManualTimers()
            var runs = 0
            val task = CoalescedTask(timers) {
                runs++
                timers.block(case.runMs)
            }
            repeat(case.requests) {
                task.request()
                timers.advance(case.everyMs)
            }
            val share = runs * case.runMs / timers.nowMs().toDouble()
            expectThat(share).isLessThanOrEqualTo(0.27)
            expectThat(runs).isGreaterThanOrEqualTo(1)
        }
    }

    @Test
    fun `a task that fails runs again`() {
        val timers = ManualTimers()
        var runs = 0
        val task = CoalescedTask(timers) { if (++runs == 1) error("first run") }
        task.request()
        runCatching { timers.advance(10) }
        task.request()
        timers.advance(10)
        expectThat(runs).isEqualTo(2)
    }
}
