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
import strikt.assertions.isLessThan

/**
 * Guards against a dead head that is noticed only when one request gives it up, a slow head that is taken for a dead
 * one, and long prompts that are refused for their own length.
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
        val writing: Int,
        val pauseMs: Long,
        val slow: Boolean,
        val quiet: Boolean,
        val longestPassMs: Double? = null,
    )

    private val cases = listOf(
        Case("a pass ends late", writing = 3, pauseMs = 200, slow = false, quiet = false),
        Case("streams have stopped", writing = 1, pauseMs = 250, slow = false, quiet = true),
        Case("only first events are awaited", writing = 0, pauseMs = 2_000, slow = false, quiet = false),
        Case("a slow head pauses as usual", writing = 3, pauseMs = 500, slow = true, quiet = false),
        Case("a slow head has stopped", writing = 3, pauseMs = 2_500, slow = true, quiet = true),
        Case(
            "a head with short passes has stopped",
            3,
            pauseMs = 130,
            slow = false,
            quiet = true,
            longestPassMs = 50.0,
        ),
        Case("a head reads long prompts", 3, pauseMs = 230, slow = false, quiet = false, longestPassMs = 180.0),
    )

    @TestFactory
    fun `streams that pause`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val load = load()
            if (case.slow) repeat(500) { load.onPass(400, 50.0) }
            load.writing = case.writing
            load.longestPassMs = case.longestPassMs
            load.onAnswering(10_000)
            expectThat(load.isQuiet(10_000 + case.pauseMs)).isEqualTo(case.quiet)
        }
    }

    @Test
    fun `a stopped head is reported once until it answers again`() {
        val load = load().apply { writing = 1 }
        load.onAnswering(10_000)
        load.onSilent(10_300)
        expectThat(load.isQuiet(10_400)).isEqualTo(false)
        load.onAnswering(10_500)
        expectThat(load.isQuiet(10_800)).isEqualTo(true)
    }

    @Test
    fun `the wait leaves out the reading of the own prompt`() {
        val short = Choice(load(), predictedMs = 120.0, passMs = 50.0, readingMs = 20.0)
        val long = Choice(load(), predictedMs = 220.0, passMs = 50.0, readingMs = 120.0)
        expectThat(long.waitMs).isEqualTo(short.waitMs)
        expectThat(short.expectedMs).isLessThan(long.expectedMs)
    }
}
