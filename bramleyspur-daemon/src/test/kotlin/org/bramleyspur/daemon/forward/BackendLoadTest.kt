package org.bramleyspur.daemon.forward

import io.netty.channel.nio.NioEventLoopGroup
import org.bramleyspur.core.settings.Address
import org.bramleyspur.daemon.http.HttpClient
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.TestInstance
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

/**
 * Guards against an unresponsive engine that is noticed only when a request to it times out, a slow engine that is
 * taken for an unresponsive one, and requests that are refused only because their prompt is long.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class BackendLoadTest {
    private val group = NioEventLoopGroup(1)

    @AfterAll
    fun close() {
        group.shutdownGracefully().sync()
    }

    private fun load() = BackendLoad("e1", "10.0.0.1:1", HttpClient(Address("10.0.0.1", 1), group))

    private class Case(
        val name: String,
        val activeStreams: Int,
        val sinceLastEventMs: Long,
        val slow: Boolean,
        val stalled: Boolean,
        val longestEventIntervalMs: Double? = null,
    )

    private val cases = listOf(
        Case("an event is late", activeStreams = 3, sinceLastEventMs = 200, slow = false, stalled = false),
        Case("streams have stalled", activeStreams = 1, sinceLastEventMs = 250, slow = false, stalled = true),
        Case(
            "only first events are awaited",
            activeStreams = 0,
            sinceLastEventMs = 2_000,
            slow = false,
            stalled = false,
        ),
        Case(
            "a slow engine keeps its usual interval",
            activeStreams = 3,
            sinceLastEventMs = 500,
            slow = true,
            stalled = false,
        ),
        Case("a slow engine has stalled", activeStreams = 3, sinceLastEventMs = 2_500, slow = true, stalled = true),
        Case(
            "an engine with short intervals has stalled",
            3,
            sinceLastEventMs = 130,
            slow = false,
            stalled = true,
            longestEventIntervalMs = 50.0,
        ),
        Case(
            "an engine prefills long prompts",
            3,
            sinceLastEventMs = 230,
            slow = false,
            stalled = false,
            longestEventIntervalMs = 180.0,
        ),
    )

    @TestFactory
    fun `stalled streams are distinguished from slow ones`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val load = load()
            if (case.slow) repeat(500) { load.onEventInterval(400, 50.0) }
            load.activeStreams = case.activeStreams
            load.longestEventIntervalMs = case.longestEventIntervalMs
            load.onResponseData(10_000)
            expectThat(load.isStalled(10_000 + case.sinceLastEventMs)).isEqualTo(case.stalled)
        }
    }

    @Test
    fun `a stalled engine is reported once until it responds again`() {
        val load = load().apply { activeStreams = 1 }
        load.onResponseData(10_000)
        load.onUnresponsive(10_300)
        expectThat(load.isStalled(10_400)).isEqualTo(false)
        load.onResponseData(10_500)
        expectThat(load.isStalled(10_800)).isEqualTo(true)
    }

    /** Guards against a report of a server whose streams are only not read. */
    @Test
    fun `an engine whose streams are not read has not stalled`() {
        val load = load().apply { activeStreams = 2 }
        load.onResponseData(10_000)
        load.pausedStreams = 2
        expectThat(load.isStalled(12_000)).isEqualTo(false)
        load.pausedStreams = 1
        load.lastReadResumedMs = 12_000
        expectThat(load.isStalled(12_200)).isEqualTo(false)
        expectThat(load.isStalled(12_300)).isEqualTo(true)
    }

    /** Guards against a server that gets no request for ever after a silence delayed its first events. */
    @Test
    fun `the excess of late first events fades without requests`() {
        val load = load()
        repeat(5) { load.onFirstEvent(latencyMs = 1_100, predictedMs = 100.0, nowMs = 10_000) }
        expectThat(load.firstEventExcessMs(10_000)).isGreaterThan(600.0)
        expectThat(load.firstEventExcessMs(15_000)).isLessThan(100.0)
    }

    @Test
    fun `the wait excludes the prefill of the request's own prompt`() {
        val shortPrompt = BackendChoice(load(), predictedMs = 120.0, eventIntervalMs = 50.0, prefillMs = 20.0)
        val longPrompt = BackendChoice(load(), predictedMs = 220.0, eventIntervalMs = 50.0, prefillMs = 120.0)
        expectThat(longPrompt.waitMs).isEqualTo(shortPrompt.waitMs)
        expectThat(shortPrompt.expectedMs).isLessThan(longPrompt.expectedMs)
    }
}
