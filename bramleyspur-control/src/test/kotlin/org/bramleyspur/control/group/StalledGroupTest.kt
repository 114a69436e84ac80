package org.bramleyspur.control.group

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.bramleyspur.core.backend.BackendState
import org.bramleyspur.core.backend.GroupId
import org.bramleyspur.core.backend.GroupMembership
import org.bramleyspur.core.backend.GroupState
import org.bramleyspur.core.backend.KnownBackend
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/**
 * Guards against a slow second probe of a crashed member in a stalled group, against a group that is released because a
 * sound member sent nothing for a second or so, and against a control process that was paused and counts unread probe
 * responses, or the time of its pause, as the member's silence.
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

    /** A probe of the member with its [result] after [delayMs], sent at the earliest after a pause of control. */
    private class Probe(val result: ProbeResult, val delayMs: Long = 110, val pauseMs: Long = 0)

    private class Case(val name: String, val phase: GroupPhase, val probes: List<Probe>)

    private val refused = Probe(ProbeResult.Refused, delayMs = 10)
    private val timeOut = Probe(ProbeResult.Unanswered)
    private val lateTimeOut = Probe(ProbeResult.Unanswered, delayMs = 900)
    private val timeOutAfterPause = Probe(ProbeResult.Unanswered, pauseMs = 3_000)

    private val cases = listOf(
        Case("one refused probe", GroupPhase.SERVING, listOf(refused)),
        Case("two refused probes", GroupPhase.RELEASING, listOf(refused, refused)),
        Case("a time-out and a refused probe", GroupPhase.RELEASING, listOf(timeOut, refused)),
        Case("two time-outs", GroupPhase.SERVING, listOf(timeOut, timeOut)),
        Case("time-outs over 1.47 s", GroupPhase.SERVING, List(7) { timeOut }),
        Case("time-outs over 1.72 s", GroupPhase.RELEASING, List(8) { timeOut }),
        Case("time-outs reported late by a paused process", GroupPhase.SERVING, List(4) { lateTimeOut }),
        Case("time-outs before and after a pause", GroupPhase.SERVING, listOf(timeOut, timeOut, timeOutAfterPause)),
    )

    @TestFactory
    fun `phase of a stalled group after failed probes`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            var state = PlannerState(groups = persistentMapOf(group to serving))
            var now = START_MS
            for (probe in case.probes) {
                now += probe.pauseMs
                var step = plan(state, now)
                while (step.probesOf(1) == 0 && now < LATEST_PROBE_MS) {
                    now += PLAN_INTERVAL_MS
                    step = plan(step.state, now)
                }
                expectThat(step.probesOf(1)).isEqualTo(1)
                val sentMs = now
                now += probe.delayMs
                state = onProbeResult(step.state, members[1].incarnation, probe.result, group, sentMs, now)
            }
            expectThat(plan(state, now).state.groups[group]?.phase).isEqualTo(case.phase)
        }
    }

    /** Guards against a head that drains, no longer listens, and loses its last requests. */
    @Test
    fun `a closing group is kept while its draining head refuses connections`() {
        val draining = members.map { member ->
            member.copy(
                state = BackendState.LEAVING,
                groupMembership = member.groupMembership?.copy(state = GroupState.CLOSING),
            )
        }
        val known = draining.associate { it.id to KnownBackend(it, START_MS) }
        val evidence = mapOf("e0" to EngineEvidence(lastResponseMs = START_MS - 500, lastUnresponsiveMs = START_MS))
        val closing = serving.copy(phase = GroupPhase.CLOSING, sinceMs = START_MS)
        var state = PlannerState(groups = persistentMapOf(group to closing))
        for (sentMs in listOf(START_MS, START_MS + 20)) {
            val head = members[0].incarnation
            state = onProbeResult(state, head, ProbeResult.Refused, group, sentMs, sentMs + 10)
        }
        val input = PlannerInput(START_MS + 40, 1, DOCUMENT, known, evidence, trafficStarted = true)
        expectThat(planGroups(state, input).state.groups[group]?.phase).isEqualTo(GroupPhase.CLOSING)
    }

    private companion object {
        const val START_MS = 100_000L
        const val LATEST_PROBE_MS = START_MS + 10_000L
        const val PLAN_INTERVAL_MS = 10L
    }
}
