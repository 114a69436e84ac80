package org.bramleyspur.control.group

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.bramleyspur.core.backend.GroupId
import org.bramleyspur.core.backend.GroupPlace
import org.bramleyspur.core.backend.GroupState
import org.bramleyspur.core.backend.KnownBackend
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/**
 * Guards against a lost member that is asked again only after the usual interval, and against a process that was paused
 * and takes engines for lost whose answers it has not read.
 */
class StalledGroupTest {
    private val group = GroupId("g1", 1)

    private val members = (0..1).map { rank ->
        readyEngine("e$rank", rank + 1, listOf("small"), place = GroupPlace(group, rank, GroupState.OPEN, "small"))
    }
    private val serving = PlannedGroup(
        group,
        "s",
        "small",
        persistentListOf(members[0].life, members[1].life),
        GroupPhase.SERVING,
        START_MS - 10_000,
    )

    private fun plan(state: PlannerState, nowMs: Long): PlanStep {
        val known = members.associate { it.id to KnownBackend(it, START_MS) }
        val evidence = mapOf("e0" to EngineEvidence(answeredMs = START_MS - 500, silentMs = START_MS))
        return planGroups(state, PlannerInput(nowMs, 1, DOCUMENT, known, evidence, trafficStarted = true))
    }

    private fun PlanStep.asked(rank: Int) = probes.count { it.life == members[rank].life }

    /** [answerMs] are the times after the question at which it is known that no answer came. */
    private class Case(val name: String, val answerMs: List<Long>, val phase: GroupPhase?)

    private val cases = listOf(
        Case("one missing answer is no verdict", listOf(110), GroupPhase.SERVING),
        Case("two are", listOf(110, 110), GroupPhase.RELEASING),
        Case("answers that waited in a paused process are not counted", listOf(900, 900), GroupPhase.SERVING),
    )

    @TestFactory
    fun `verdict on a stalled group`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            var step = plan(PlannerState(groups = persistentMapOf(group to serving)), START_MS)
            var now = START_MS
            for (answerMs in case.answerMs) {
                expectThat(step.asked(1)).isEqualTo(1)
                now += answerMs
                step = plan(onProbeResult(step.state, members[1].life, null, group, now - answerMs, now), now)
            }
            expectThat(step.state.groups[group]?.phase).isEqualTo(case.phase)
        }
    }

    private companion object {
        const val START_MS = 100_000L
    }
}
