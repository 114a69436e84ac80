package org.bramleyspur.control.group

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.bramleyspur.core.backend.Announcement
import org.bramleyspur.core.backend.GroupId
import org.bramleyspur.core.backend.GroupMembership
import org.bramleyspur.core.backend.GroupState
import org.bramleyspur.core.backend.KnownBackend
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against members that count as free without a proof that they or the head of their group have left it. */
class ReleaseProofTest {
    private enum class Outcome { ENDED, FORGOTTEN, MEMBER_ORDERED_TO_LEAVE, WAITING }

    private class Case(
        val name: String,
        val head: Announcement?,
        val member: Announcement? = announcement(MEMBER, 1, GROUP),
        val left: List<EngineIncarnation> = emptyList(),
        val absent: List<EngineIncarnation> = emptyList(),
        val expected: Outcome,
        val proof: FreeReason? = null,
    )

    private val cases = listOf(
        Case("open head", announcement(HEAD, 0, GROUP), expected = Outcome.WAITING),
        Case(
            "head in no group",
            announcement(HEAD, 0, null),
            expected = Outcome.ENDED,
            proof = FreeReason.HEAD_ANNOUNCED,
        ),
        Case(
            "head in another group",
            announcement(HEAD, 0, OTHER_GROUP),
            expected = Outcome.ENDED,
            proof = FreeReason.HEAD_ANNOUNCED,
        ),
        Case(
            "head that confirmed a leave",
            announcement(HEAD, 0, GROUP),
            left = listOf(HEAD),
            expected = Outcome.ENDED,
            proof = FreeReason.HEAD_LEFT,
        ),
        Case(
            "restarted head",
            announcement(HEAD.copy(startedAtMs = 2), 0, null),
            expected = Outcome.ENDED,
            proof = FreeReason.HEAD_RESTARTED,
        ),
        Case(
            "head known from before its restart",
            announcement(HEAD.copy(startedAtMs = 0), 0, null),
            expected = Outcome.MEMBER_ORDERED_TO_LEAVE,
        ),
        Case("unknown head", null, expected = Outcome.MEMBER_ORDERED_TO_LEAVE),
        Case(
            "head at whose address another responds",
            announcement(HEAD, 0, GROUP),
            absent = listOf(HEAD),
            expected = Outcome.MEMBER_ORDERED_TO_LEAVE,
        ),
        Case("unknown head and a member that left", null, left = listOf(MEMBER), expected = Outcome.WAITING),
        Case(
            "unknown head and a member that left and announced it",
            null,
            announcement(MEMBER, 1, null),
            left = listOf(MEMBER),
            expected = Outcome.FORGOTTEN,
        ),
        Case("unknown head and member", null, member = null, expected = Outcome.FORGOTTEN),
    )

    // A head that was not in the directory, or answered an order with 421, counted as ended.
    @TestFactory
    fun `a released group ends only when its head is known to be out of it`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val group = PlannedGroup(
                GROUP,
                "s",
                "small",
                persistentListOf(HEAD, MEMBER),
                GroupPhase.RELEASING,
                NOW_MS - 100,
                PhaseReason(PhaseCause.MEMBER_ENDED, HEAD.id),
            )
            val state = PlannerState(
                groups = persistentMapOf(GROUP to group),
                leftMembers = case.left.fold(persistentMapOf()) { map, left -> map.put(GROUP, persistentSetOf(left)) },
                absent = case.absent.fold(persistentMapOf()) { map, engine -> map.put(engine.id, engine.startedAtMs) },
            )
            val known = listOfNotNull(case.head, case.member).associate { it.id to KnownBackend(it, NOW_MS) }
            val step = planGroups(state, PlannerInput(NOW_MS, 1, DOCUMENT, known, emptyMap(), trafficStarted = true))
            val leaves = step.orders.filter { it.command == EngineCommand.Leave(GROUP) }.map { it.engineId }
            val outcome = when {
                GROUP in step.state.endedGroups -> Outcome.ENDED
                GROUP !in step.state.groups -> Outcome.FORGOTTEN
                MEMBER.id in leaves -> Outcome.MEMBER_ORDERED_TO_LEAVE
                else -> Outcome.WAITING
            }
            expectThat(outcome).isEqualTo(case.expected)
            expectThat(step.state.endedGroups[GROUP]).isEqualTo(case.proof)
        }
    }

    private companion object {
        const val NOW_MS = 100_000L
        val GROUP = GroupId("g1", 1)
        val OTHER_GROUP = GroupId("g2", 2)
        val HEAD = EngineIncarnation("e0", 1)
        val MEMBER = EngineIncarnation("e1", 1)

        fun announcement(incarnation: EngineIncarnation, rank: Int, group: GroupId?) = readyEngine(
            incarnation.id,
            port = rank + 1,
            stagedModels = emptyList(),
            groupMembership = group?.let { GroupMembership(it, rank, GroupState.OPEN, "small") },
        ).copy(startedAtMs = incarnation.startedAtMs)
    }
}
