package org.bramleyspur.daemon.forward

import org.bramleyspur.core.telemetry.DecisionLog
import org.bramleyspur.traffic.load.ServerLoad
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.io.ByteArrayOutputStream
import java.io.PrintStream

/** Guards against a request to an engine that other entries have filled, and against a choice by an outdated view. */
class SharedLoadTest : ForwardTest() {
    private class Case(val name: String, val shared: Boolean, val waitMs: Long, val chosen: Set<String>)

    private val cases = listOf(
        Case("a recent view", shared = true, waitMs = 0, setOf("b1")),
        Case("control out of reach for longer than a view is valid", shared = true, waitMs = 1_100, setOf("b0")),
        Case("without the setting", shared = false, waitMs = 0, setOf("b0")),
    )

    @TestFactory
    fun `the nearer engine is full of other entries' requests`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            apply(document, listOf("127.0.0.1:1", "127.0.0.1:2").mapIndexed(this::engine))
            val log = DecisionLog(PrintStream(ByteArrayOutputStream()), { 0L })
            loops.traffic.submit {
                context.sharedLoad =
                    if (case.shared) SharedLoad(loops.trafficTimers, log, context.metrics) else null
                context.sharedLoad?.onLeaderEvent(mapOf("b0" to ServerLoad(12, 20_000, 20_000)))
            }.get()
            Thread.sleep(case.waitMs)
            val chosen = loops.traffic.submit<Set<String?>> {
                List(50) {
                    context.choose(engineService, "m", TokenCounts(500, 80), BackendFilter { true })?.load?.id
                }.toSet()
            }.get()
            expectThat(chosen).isEqualTo(case.chosen)
        }
    }
}
