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
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

/**
 * Guards against a model that is served only by slow groups across domains for the rest of its uptime, although the
 * engines of one domain could form a group of their own, and against a further slow group that takes these engines.
 */
class CrossDomainGroupTest {
    /**
     * [groups] has the domain of each member, [free] those of the free engines, all of the large model. [spares] has
     * the domains of spares of the small model, which make room for more groups.
     */
    private class Case(
        val name: String,
        val groups: List<String>,
        val free: String,
        val closing: Int,
        val spares: String = "",
    )

    private val cases = listOf(
        Case("the only group, with engines for a group in one domain", listOf("abbb"), free = "aaa", closing = 0),
        Case("the only group, none wanted within a domain", listOf("abcd"), free = "", closing = 0),
        Case("two groups, with engines for a group in one domain", listOf("abbb", "accc"), free = "aaa", closing = 1),
        Case("two groups, without", listOf("abbb", "accc"), free = "aa", closing = 0),
        Case("two groups, fewer wanted after losses", listOf("abcc", "bbcc"), free = "", closing = 0),
        Case(
            "two groups, engines for a third one across domains",
            listOf("aaab", "bbcc"),
            free = "bbcc",
            closing = 1,
            spares = "aaabbcc",
        ),
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

    private fun spares(domains: String): List<Announcement> = domains.mapIndexed { number, domain ->
        readyEngine("spare-$number", SPARE_PORTS + number, listOf("small"), "$domain")
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
            val known = (members + free + spares(case.spares)).associate { it.id to KnownBackend(it, NOW_MS) }
            val evidence = members.associate { it.id to EngineEvidence(lastResponseMs = NOW_MS) }
            val step = planGroups(state, PlannerInput(NOW_MS, 1, DOCUMENT, known, evidence, trafficStarted = true))
            val closing = step.state.groups.values.filter { it.phase == GroupPhase.CLOSING }
            expectThat(closing.map { it.reason.cause }).isEqualTo(List(case.closing) { PhaseCause.REPLACED })
        }
    }

    @Test
    fun `no group across domains takes the engines for the replacement of another one`() {
        val groups = mapOf("large0" to "abbb", "large1" to "aaab")
        val members = members(groups)
        val free = listOf("b", "c", "c", "c").mapIndexed { number, domain ->
            readyEngine("free-$number", number + 1, listOf("large"), domain)
        }
        val replaced = serving("large0", "abbb")
            .copy(phase = GroupPhase.CLOSING, reason = PhaseReason(PhaseCause.REPLACED))
        val planned = listOf(replaced, serving("large1", "aaab"))
        val orders = free.associate { it.incarnation to KnownOrders(0, 0, groupMismatch = false) }
        val state = PlannerState(
            groups = planned.associateBy { it.id }.toPersistentMap(),
            knownOrders = orders.toPersistentMap(),
        )
        val known = (members + free + spares("aaabbcc")).associate { it.id to KnownBackend(it, NOW_MS) }
        val step = planGroups(state, PlannerInput(NOW_MS, 1, DOCUMENT, known, emptyMap(), trafficStarted = true))
        val forming = step.state.groups.values.filter { it.phase == GroupPhase.FORMING && it.model == "large" }
        expectThat(forming).isEmpty()
    }

    @Test
    fun `a group across domains takes the place of none within its domains`() {
        val members = members(mapOf("large0" to "abcc"))
        val free = "aaaabbbb".mapIndexed { number, domain ->
            readyEngine("free-$number", number + 1, listOf("large"), "$domain")
        }
        val orders = free.associate { it.incarnation to KnownOrders(0, 0, groupMismatch = false) }
        val group = serving("large0", "abcc")
        val state = PlannerState(
            groups = mapOf(group.id to group).toPersistentMap(),
            knownOrders = orders.toPersistentMap(),
        )
        val known = (members + free + spares("aabbcc")).associate { it.id to KnownBackend(it, NOW_MS) }
        val step = planGroups(state, PlannerInput(NOW_MS, 1, DOCUMENT, known, emptyMap(), trafficStarted = true))
        val forming = step.state.groups.values.filter { it.phase == GroupPhase.FORMING && it.model == "large" }
        val domains = forming.map { group -> group.members.map { known.getValue(it.id).announcement.fabricDomain } }
        expectThat(domains.map { it.distinct() }.sortedBy { it.first() }).isEqualTo(listOf(listOf("a"), listOf("b")))
    }

    private companion object {
        const val NOW_MS = 100_000L
        const val PORTS_PER_GROUP = 10
        const val SPARE_PORTS = 900
    }
}
