package org.bramleyspur.control.group

import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toPersistentMap
import org.bramleyspur.core.backend.Announcement
import org.bramleyspur.core.backend.GroupId
import org.bramleyspur.core.backend.GroupMembership
import org.bramleyspur.core.backend.GroupState
import org.bramleyspur.core.backend.KnownBackend
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo

/**
 * Guards against groups that stay slow beside sound spares, and against groups that are closed for nothing: where the
 * whole domain is slow, where no other group serves the model, or without the setting.
 */
class SlowMembersTest {
    /**
     * @property groups number of serving groups of the large model, each in a domain of its own
     * @property slow paces by engine; `g0-3` is the last member of the group in the first domain, `s0` its spare
     * @property slowForMs for how long the slow engines have been found slow
     * @property closing group that closes, with the member that is named as the reason
     */
    private class Case(
        val name: String,
        val slow: Map<String, Double>,
        val closing: String?,
        val groups: Int = 2,
        val slowForMs: Long = 9_000,
        val reportAgeMs: Long = 500,
        val on: Boolean = true,
        val unreported: Set<String> = emptySet(),
    )

    private val cases = listOf(
        Case("none is slow", emptyMap(), closing = null),
        Case("a slow member", mapOf("g0-3" to 2.0), closing = "g0 g0-3"),
        Case("a slow head", mapOf("g1-0" to 2.0), closing = "g1 g1-0"),
        Case("the slower one of two", mapOf("g0-3" to 1.8, "g1-0" to 2.5), closing = "g1 g1-0"),
        Case("without the setting", mapOf("g0-3" to 2.0), closing = null, on = false),
        Case("slow for a short time", mapOf("g0-3" to 2.0), closing = null, slowForMs = 2_000),
        Case("an old report", mapOf("g0-3" to 2.0), closing = null, reportAgeMs = 10_001),
        Case("the spare is as slow", mapOf("g0-3" to 2.0, "s0" to 2.0), closing = null),
        Case("an unreported spare", mapOf("g0-3" to 2.0), closing = "g0 g0-3", unreported = setOf("s0")),
        Case(
            "an unreported spare in a slow domain",
            List(4) { "g0-$it" }.associateWith { 2.0 },
            closing = null,
            unreported = setOf("s0"),
        ),
        Case("no other group serves the model", mapOf("g0-3" to 2.0), closing = null, groups = 1),
    )

    private fun member(group: Int, rank: Int): Announcement {
        val membership = GroupMembership(GroupId("g$group", 1), rank, GroupState.OPEN, "large")
        return readyEngine("g$group-$rank", PORTS * (group + 1) + rank, listOf("large"), "d$group", membership)
    }

    private fun engines(groups: Int) = (0 until groups).flatMap { group ->
        List(GROUP_SIZE) { member(group, it) } + readyEngine("s$group", group + 1, listOf("large"), "d$group")
    }

    private fun serving(groups: Int) = (0 until groups).map { group ->
        PlannedGroup(
            GroupId("g$group", 1),
            "s",
            "large",
            List(GROUP_SIZE) { EngineIncarnation("g$group-$it", 1) }.toImmutableList(),
            GroupPhase.SERVING,
            NOW_MS - 60_000,
            PhaseReason(PhaseCause.OPENED),
        )
    }

    private fun input(engines: List<Announcement>, on: Boolean) = PlannerInput(
        NOW_MS,
        1,
        DOCUMENT,
        engines.associate { it.id to KnownBackend(it, NOW_MS) },
        engines.associate { it.id to EngineEvidence(lastResponseMs = NOW_MS) },
        trafficStarted = true,
        replacesSlowMembers = on,
    )

    private fun paces(engines: List<Announcement>, case: Case) = engines.filter { it.id !in case.unreported }
        .associate { engine ->
            val reportedMs = NOW_MS - case.reportAgeMs
            val factor = case.slow[engine.id]
            val sinceMs = if (factor == null) null else reportedMs - case.slowForMs
            engine.incarnation to EnginePace(factor ?: 1.0, reportedMs, sinceMs)
        }.toPersistentMap()

    private fun state(engines: List<Announcement>, groups: List<PlannedGroup>) = PlannerState(
        groups = groups.associateBy { it.id }.toPersistentMap(),
        knownOrders = engines.associate { it.incarnation to KnownOrders(0, 0, false) }.toPersistentMap(),
        lastModel = engines.associate { it.incarnation to "large" }.toPersistentMap(),
    )

    @TestFactory
    fun `groups that are closed for a slow member`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val engines = engines(case.groups)
            val state = state(engines, serving(case.groups)).copy(paces = paces(engines, case))
            val step = planGroups(state, input(engines, case.on))
            val closing = step.state.groups.values.filter { it.phase == GroupPhase.CLOSING }
            expectThat(closing.singleOrNull()?.let { "${it.id.name} ${it.reason.member}" }).isEqualTo(case.closing)
            if (case.closing == null) return@dynamicTest
            expectThat(closing.single().reason.cause).isEqualTo(PhaseCause.MEMBER_SLOW)
            expectThat(step.orders.map { it.command }).contains(EngineCommand.Close(closing.single().id))
        }
    }

    /** Without the order by pace, the engine that was a member before joins again as fast as the spare. */
    @Test
    fun `the slow engine is not a member of the next group`() {
        val free = List(GROUP_SIZE + 1) { readyEngine("f$it", it + 1, listOf("large"), "d0") }
        val engines = free + engines(2).filter { it.fabricDomain == "d1" }
        val slow = Case("", mapOf("f0" to 2.0), closing = null)
        val state = state(engines, serving(2).drop(1)).copy(paces = paces(engines, slow))
        fun members(on: Boolean) = planGroups(state, input(engines, on)).state.groups.values
            .single { it.phase == GroupPhase.FORMING }.members.map { it.id }.toSet()
        expectThat(members(on = true)).isEqualTo(setOf("f1", "f2", "f3", "f4"))
        expectThat(members(on = false)).contains("f0")
    }

    private companion object {
        const val NOW_MS = 100_000L
        const val PORTS = 100
        const val GROUP_SIZE = 4
    }
}
