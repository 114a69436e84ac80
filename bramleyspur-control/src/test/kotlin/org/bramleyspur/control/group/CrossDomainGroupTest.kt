package org.bramleyspur.control.group

import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toPersistentMap
import org.bramleyspur.core.backend.Announcement
import org.bramleyspur.core.backend.GroupId
import org.bramleyspur.core.backend.GroupMembership
import org.bramleyspur.core.backend.GroupState
import org.bramleyspur.core.backend.KnownBackend
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/**
 * Guards against a model that is served only by slow groups across domains for the rest of its uptime, although the
 * engines of one domain could form a group of their own.
 */
class CrossDomainGroupTest {
    /** [groups] has the domain of each member, [free] those of the free engines, all of the large model. */
    private class Case(val name: String, val groups: List<String>, val free: String, val closing: Int)

    private val cases = listOf(
        Case("the only group, with engines for a group in one domain", listOf("abbb"), free = "aaa", closing = 0),
        Case("two groups, with engines for a group in one domain", listOf("abbb", "accc"), free = "aaa", closing = 1),
        Case("two groups, without", listOf("abbb", "accc"), free = "aa", closing = 0),
        Case("two groups, fewer wanted after losses", listOf("abcc", "bbcc"), free = "", closing = 0),
        Case("another one is in one domain", listOf("cccc", "abbb"), free = "aaa", closing = 1),
    )

    private fun groupsOf(case: Case): Map<String, String> =
        case.groups.withIndex().associate { (number, domains) -> "large$number" to domains } +
            listOf("aa", "bb", "cc").associateBy { "small-$it" }

    private fun modelOf(group: String) = if (group.startsWith("large")) "large" else "small"

    private fun members(groups: Map<String, String>): List<Announcement> =
        groups.entries.flatMapIndexed { number, (name, domains) ->
            domains.mapIndexed { rank, domain ->
                val model = modelOf(name)
                val membership = GroupMembership(GroupId(name, 1), rank, GroupState.OPEN, model)
                readyEngine("$name-$rank", PORTS_PER_GROUP * (number + 1) + rank, listOf(model), "$domain", membership)
            }
        }

    private fun serving(name: String, domains: String) = PlannedGroup(
        GroupId(name, 1),
        "s",
        modelOf(name),
        domains.indices.map { EngineIncarnation("$name-$it", 1) }.toImmutableList(),
        GroupPhase.SERVING,
        NOW_MS - 5_000,
        PhaseReason(PhaseCause.OPENED),
    )

    @TestFactory
    fun `groups that close for one within a domain`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val groups = groupsOf(case)
            val members = members(groups)
            val free = case.free.mapIndexed { number, domain ->
                readyEngine("free-$number", number + 1, listOf("large"), "$domain")
            }
            val planned = groups.map { (name, domains) -> serving(name, domains) }
            val state = PlannerState(groups = planned.associateBy { it.id }.toPersistentMap())
            val known = (members + free).associate { it.id to KnownBackend(it, NOW_MS) }
            val evidence = members.associate { it.id to EngineEvidence(lastResponseMs = NOW_MS) }
            val step = planGroups(state, PlannerInput(NOW_MS, 1, DOCUMENT, known, evidence, trafficStarted = true))
            val closing = step.state.groups.values.filter { it.phase == GroupPhase.CLOSING }
            expectThat(closing.map { it.reason.cause }).isEqualTo(List(case.closing) { PhaseCause.REPLACED })
        }
    }

    private companion object {
        const val NOW_MS = 100_000L
        const val PORTS_PER_GROUP = 10
    }
}
