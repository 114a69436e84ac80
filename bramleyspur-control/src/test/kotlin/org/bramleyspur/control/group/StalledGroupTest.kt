package org.bramleyspur.control.group

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.bramleyspur.core.backend.GroupId
import org.bramleyspur.core.backend.GroupMembership
import org.bramleyspur.core.backend.GroupState
import org.bramleyspur.core.backend.KnownBackend
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/**
 * Guards against a slow second probe of a lost member in a stalled group, and against a control process that was paused
 * and counts unread probe responses as failures.
 */
class StalledGroupTest {
    private val group = GroupId("g1", 1)

    private val members = (0..1).map { rank ->
        readyEngine(
            "e$rank",
            rank + 1,
            listOf("small"),
            groupMembership = GroupMembership(group, rank, GroupState.OPEN, "small"),
        )
    }
    private val serving = PlannedGroup(
        group,
        "s",
        "small",
        persistentListOf(members[0].incarnation, members[1].incarnation),
        GroupPhase.SERVING,
        START_MS - 10_000,
        PhaseReason(PhaseCause.OPENED),
    )

    private fun plan(state: PlannerState, nowMs: Long): PlanStep {
        val known = members.associate { it.id to KnownBackend(it, START_MS) }
        val evidence = mapOf("e0" to EngineEvidence(lastResponseMs = START_MS - 500, lastUnresponsiveMs = START_MS))
        return planGroups(state, PlannerInput(nowMs, 1, DOCUMENT, known, evidence, trafficStarted = true))
    }

    private fun PlanStep.probesOf(rank: Int) = probes.count { it.incarnation == members[rank].incarnation }

    /** [resultDelaysMs] are the times after each probe at which its time-out is reported. */
    private class Case(val name: String, val resultDelaysMs: List<Long>, val phase: GroupPhase?)

    private val cases = listOf(
        Case("one failed probe keeps the group", listOf(110), GroupPhase.SERVING),
        Case("two failed probes release the group", listOf(110, 110), GroupPhase.RELEASING),
        Case("time-outs reported late by a paused process are not counted", listOf(900, 900), GroupPhase.SERVING),
    )

    @TestFactory
    fun `phase of a stalled group after failed probes`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            var step = plan(PlannerState(groups = persistentMapOf(group to serving)), START_MS)
            var now = START_MS
            for (resultDelayMs in case.resultDelaysMs) {
                expectThat(step.probesOf(1)).isEqualTo(1)
                now += resultDelayMs
                step =
                    plan(onProbeResult(step.state, members[1].incarnation, null, group, now - resultDelayMs, now), now)
            }
            expectThat(step.state.groups[group]?.phase).isEqualTo(case.phase)
        }
    }

    private companion object {
        const val START_MS = 100_000L
    }
}
