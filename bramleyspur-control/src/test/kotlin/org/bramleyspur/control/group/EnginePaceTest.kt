package org.bramleyspur.control.group

import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against groups that are formed again by a single report, or because of a pace near the limit. */
class EnginePaceTest {
    /** @property reports time in milliseconds and pace of each report */
    private class Case(val name: String, val reports: List<Pair<Long, Double>>, val slow: Boolean, val slowForMs: Long)

    private val cases = listOf(
        Case("sound", listOf(0L to 1.0, 4_000L to 1.0), slow = false, slowForMs = 0),
        Case("below the limit", listOf(0L to 1.2, 4_000L to 1.24), slow = false, slowForMs = 0),
        Case("one slow report", listOf(0L to 1.0, 4_000L to 2.0), slow = true, slowForMs = 0),
        Case("two slow reports", listOf(0L to 2.0, 4_000L to 2.0), slow = true, slowForMs = 4_000),
        Case("near the limit", listOf(0L to 1.3, 4_000L to 1.15, 6_000L to 1.3), slow = true, slowForMs = 6_000),
        Case("sound again", listOf(0L to 1.3, 4_000L to 1.1), slow = false, slowForMs = 0),
        Case("slow anew", listOf(0L to 2.0, 4_000L to 1.0, 6_000L to 2.0), slow = true, slowForMs = 0),
        Case("a gap between the reports", listOf(0L to 2.0, 10_001L to 2.0), slow = true, slowForMs = 0),
    )

    @TestFactory
    fun `reports of the pace`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val pace = case.reports.fold(null as EnginePace?) { last, (nowMs, factor) ->
                paceAfter(last, factor, nowMs)
            }
            expectThat(pace?.slowSinceMs != null).isEqualTo(case.slow)
            expectThat(pace?.slowForMs).isEqualTo(case.slowForMs)
        }
    }

    /** @property spares pace of each spare */
    private class Weighing(
        val name: String,
        val members: List<Pair<Double, Long>>,
        val spares: List<Double>,
        val gainMs: Double?,
    )

    private fun slow(factor: Double, forMs: Long) = listOf(factor to forMs, 1.0 to 0L, 1.0 to 0L, 1.0 to 0L)

    private val weighings = listOf(
        Weighing("slow for long", slow(2.0, 8_000), listOf(1.0), gainMs = 2_000.0),
        Weighing("slow for too short a time", slow(2.0, 3_000), listOf(1.0), gainMs = null),
        Weighing("hardly slow", slow(1.25, 8_000), listOf(1.0), gainMs = null),
        Weighing("no spare", slow(2.0, 60_000), emptyList(), gainMs = null),
        Weighing("a spare as slow", slow(2.0, 60_000), listOf(2.0), gainMs = null),
        Weighing("a faster spare", slow(2.0, 60_000), listOf(1.6, 3.0), gainMs = 60_000 * 0.2 - 2_000),
        Weighing("two slow, one spare", listOf(2.0 to 60_000L, 2.0 to 60_000L), listOf(1.0), gainMs = null),
        Weighing("two slow, two spares", listOf(2.0 to 9_000L, 2.0 to 8_000L), listOf(1.0, 1.0), gainMs = 2_000.0),
        Weighing("the rest is slow as well", listOf(2.0 to 60_000L, 1.9 to 0L), listOf(1.0), gainMs = 1_000.0),
    )

    @TestFactory
    fun `weighing of a replacement`() = weighings.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val members = case.members.mapIndexed { rank, (factor, forMs) ->
                EngineSpeed(EngineIncarnation("m$rank", 1), factor, forMs)
            }
            val spares = case.spares.mapIndexed { number, factor ->
                EngineSpeed(EngineIncarnation("s$number", 1), factor)
            }
            val gainMs = bestReplacement(members, spares, reformMs = 2_000.0)?.gainMs
            expectThat(gainMs?.let { Math.round(it) }).isEqualTo(case.gainMs?.let { Math.round(it) })
        }
    }

    @Test
    fun `the pace of a report is kept until the next one`() {
        val engine = EngineIncarnation("e", 1)
        val reports = persistentListOf(1.0, 2.0, 2.5)
        val state = reports.foldIndexed(PlannerState()) { number, state, pace ->
            val result = ProbeResult.Answered(EngineReport(0, null, pace))
            onProbeResult(state, engine, result, announced = null, sentMs = number * 3_000L, nowMs = number * 3_000L)
        }
        expectThat(state.paces[engine]).isEqualTo(EnginePace(2.5, reportedMs = 6_000, slowSinceMs = 3_000))
        val unanswered = onProbeResult(state, engine, ProbeResult.Unanswered, null, 8_000, 8_500)
        expectThat(unanswered.paces).isEqualTo(state.paces)
    }
}
