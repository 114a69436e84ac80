package org.bramleyspur.daemon.forward

import kotlinx.collections.immutable.persistentListOf
import org.bramleyspur.core.backend.GroupId
import org.bramleyspur.core.backend.GroupMembership
import org.bramleyspur.core.backend.GroupState
import org.bramleyspur.core.document.DocumentService
import org.bramleyspur.core.document.EngineCosts
import org.bramleyspur.core.document.ModelSpec
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
    private val costs = EngineCosts(
        slots = 8,
        kvCacheTokens = 1_000_000,
        stepsPerPass = 3,
        stepMs = 6.0,
        perRequestMs = 0.3,
        perThousandContextMs = 0.01,
        prefillTokensPerMs = 40.0,
        prefillChunkTokens = 2_048,
        loadsPerSecond = 3.0,
        fullSpeedLoads = 6,
        crossDomainFactor = 2.5,
        meanResponseTokens = 80.0,
    )
    private val service = DocumentService("s", 100, costs, persistentListOf(ModelSpec("m", 1, 1.0, 1.0, 1_000, 100)))

    private class Case(val name: String, val shared: Boolean, val waitMs: Long, val chosen: Set<String>)

    private val cases = listOf(
        Case("a recent view", shared = true, waitMs = 0, setOf("b1")),
        Case("control out of reach for longer than a view is valid", shared = true, waitMs = 1_100, setOf("b0")),
        Case("without the setting", shared = false, waitMs = 0, setOf("b0")),
    )

    @TestFactory
    fun `the nearer engine is full of other entries' requests`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val engines = listOf("127.0.0.1:1", "127.0.0.1:2").mapIndexed { index, address ->
                val group = GroupMembership(GroupId("g$index", 1), 0, GroupState.OPEN, "m")
                announcement(index, address).copy(groupMembership = group)
            }
            apply(document, engines)
            val log = DecisionLog(PrintStream(ByteArrayOutputStream()), { 0L })
            loops.traffic.submit {
                context.sharedLoad =
                    if (case.shared) SharedLoad(loops.trafficTimers, log, context.metrics) else null
                context.sharedLoad?.onLeaderEvent(mapOf("b0" to ServerLoad(12, 20_000, 20_000)))
            }.get()
            Thread.sleep(case.waitMs)
            val chosen = loops.traffic.submit<Set<String?>> {
                List(50) {
                    context.choose(service, "m", TokenCounts(500, 80), BackendFilter { true })?.load?.id
                }.toSet()
            }.get()
            expectThat(chosen).isEqualTo(case.chosen)
        }
    }
}
