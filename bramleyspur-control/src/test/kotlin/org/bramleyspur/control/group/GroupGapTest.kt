package org.bramleyspur.control.group

import org.bramleyspur.core.backend.Announcement
import org.bramleyspur.core.backend.GroupId
import org.bramleyspur.core.backend.GroupMembership
import org.bramleyspur.core.backend.GroupState
import org.bramleyspur.core.backend.KnownBackend
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against a log that does not tell why a domain lacks a large group. */
class GroupGapTest {
    /** Engines of domain `d`, some of them in a group with two engines of domain `other`. */
    private class Case(val name: String, val engines: List<Announcement>, val cause: GapCause?)

    private val inDomain = List(4) { "d" }

    private val cases = listOf(
        Case("a group serves", group(inDomain), null),
        Case("members are about to be free", group(inDomain, GroupState.BROKEN) + free(1), GapCause.FORMING),
        Case(
            "two engines are in a group across domains",
            group(listOf("d", "d", "other", "other")) + free(2, "large"),
            GapCause.ACROSS_DOMAINS,
        ),
        Case("two engines hold other weights", free(3, "large") + free(2, "small"), GapCause.WEIGHTS),
        Case("two engines hold no weights", free(3, "large") + free(2), GapCause.WEIGHTS),
    )

    @TestFactory
    fun `the cause of a missing group`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val engines = case.engines.associate { it.id to KnownBackend(it, NOW_MS) }
            val input = PlannerInput(NOW_MS, 1, DOCUMENT, engines, emptyMap(), trafficStarted = true)
            val gap = planGroups(PlannerState(), input).gaps.firstOrNull {
                it.place == ModelInDomain("s", "large", "d")
            }
            expectThat(gap?.cause).isEqualTo(case.cause)
        }
    }

    private fun free(count: Int, vararg stagedModels: String): List<Announcement> =
        List(count) { readyEngine("free-${stagedModels.joinToString()}-$it", 100 + it, stagedModels.toList()) }

    private fun group(domains: List<String>, state: GroupState = GroupState.OPEN): List<Announcement> =
        domains.mapIndexed { rank, domain ->
            val membership = GroupMembership(GroupId("g", 1), rank, if (rank == 0) state else GroupState.READY, "large")
            readyEngine("member-$rank", 200 + rank, listOf("large"), domain, membership)
        }

    private companion object {
        const val NOW_MS = 100_000L
    }
}
