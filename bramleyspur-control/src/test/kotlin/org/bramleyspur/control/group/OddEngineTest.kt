package org.bramleyspur.control.group

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.bramleyspur.core.backend.Announcement
import org.bramleyspur.core.backend.BackendDirectory
import org.bramleyspur.core.backend.BackendState
import org.bramleyspur.core.backend.GroupId
import org.bramleyspur.core.backend.GroupMembership
import org.bramleyspur.core.backend.GroupState
import org.bramleyspur.core.backend.KnownBackend
import org.bramleyspur.core.document.DocumentService
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull

/** Guards against an odd entry among the engines that ends the planning, or that ends the groups of the others. */
class OddEngineTest {
    private val group = GroupId("g1", 1)
    private val sound = (0..1).map { rank ->
        readyEngine("e$rank", rank + 1, listOf("small"), groupMembership = member(rank, GroupState.OPEN))
    }
    private val odd = readyEngine("odd", 99, emptyList()).copy(startedAtMs = 0)

    private fun member(rank: Int, state: GroupState, id: GroupId = group, model: String? = "small") =
        GroupMembership(id, rank, state, model)

    private val entries = listOf(
        "unknown service" to odd.copy(service = "nobody"),
        "unknown service, names the group as its head" to
            odd.copy(service = "nobody", groupMembership = member(0, GroupState.READY)),
        "unknown service, names the group as broken" to
            odd.copy(service = "nobody", groupMembership = member(0, GroupState.BROKEN)),
        "unknown service, names the group as a member" to
            odd.copy(service = "nobody", groupMembership = member(1, GroupState.READY)),
        "service without a cost model" to odd.copy(service = "plain", groupMembership = member(0, GroupState.READY)),
        "service without models" to odd.copy(service = "bare", groupMembership = member(0, GroupState.READY)),
        "another service of engines" to odd.copy(service = "other", groupMembership = member(0, GroupState.READY)),
        "unknown domain" to odd.copy(fabricDomain = "elsewhere"),
        "no domain" to odd.copy(fabricDomain = ""),
        "unknown staged model" to odd.copy(stagedModels = persistentListOf("nothing")),
        "unknown group, unknown model" to
            odd.copy(groupMembership = member(0, GroupState.OPEN, GroupId("x", 7), "nothing")),
        "unknown group, no model" to odd.copy(groupMembership = member(0, GroupState.OPEN, GroupId("x", 7), null)),
        "unknown group without a head" to odd.copy(groupMembership = member(3, GroupState.READY, GroupId("x", 7))),
        "highest epoch and rank" to
            odd.copy(groupMembership = member(9_999, GroupState.JOINING, GroupId("x", Long.MAX_VALUE))),
        "leaving" to odd.copy(state = BackendState.LEAVING),
        "deregistered" to odd.copy(state = BackendState.GONE),
        "port in use by no engine" to odd.copy(address = "10.0.0.1:1024", slots = 1_000_000),
    )

    private val document = DOCUMENT.let { document ->
        val service = document.services.getValue("s")
        document.copy(
            services = persistentMapOf(
                "s" to service,
                "plain" to DocumentService("plain", 10, null, persistentListOf()),
                "other" to service.copy(name = "other"),
                "bare" to DocumentService("bare", 10, service.costs, persistentListOf()),
            ),
        )
    }

    /** The odd entry arrives first, so that it is found first wherever the order of the entries matters. */
    private fun directory(entry: Announcement, nowMs: Long): BackendDirectory =
        (listOf(entry) + sound).fold(BackendDirectory()) { directory, next -> directory.withAnnouncement(next, nowMs) }

    @TestFactory
    fun `the group of the others serves on`() = entries.map { (name, entry) ->
        DynamicTest.dynamicTest(name) {
            var state = PlannerState()
            for (nowMs in START_MS..START_MS + RUN_MS step STEP_MS) {
                val engines = directory(entry, nowMs)
                val evidence = sound.associate { it.id to EngineEvidence(lastResponseMs = nowMs) }
                val input = PlannerInput(nowMs, 1, document, engines.backends, evidence, trafficStarted = true)
                state = planGroups(state, input).state
                val planned = state.groups[group]
                expectThat(planned).isNotNull().get { phase }.isEqualTo(GroupPhase.SERVING)
                expectThat(planned!!.members.map { it.id }).containsExactly("e0", "e1")
                val heads = engines.openGroupHeads("s", "small", groupSize = 2).map { it.announcement.id }
                expectThat(heads).containsExactly("e0")
            }
        }
    }

    /** Guards against a planner state that grows with every id that was ever announced. */
    @Test
    fun `entries that are gone leave nothing behind`() {
        var state = PlannerState()
        for (round in 0L..49L) {
            val nowMs = START_MS + round * RUN_MS
            val engines = (1..20).map { odd.copy(id = "odd-$round-$it") }
                .associate { it.id to KnownBackend(it, nowMs - RUN_MS) }
            state =
                planGroups(state, PlannerInput(nowMs, 1, document, engines, emptyMap(), trafficStarted = true)).state
        }
        expectThat(state.firstSeenMs.size).isLessThanOrEqualTo(PRUNE_THRESHOLD + 20)
        expectThat(state.probes.size).isLessThanOrEqualTo(PRUNE_THRESHOLD + 20)
    }

    private companion object {
        const val START_MS = 100_000L
        const val RUN_MS = 6_000L
        const val STEP_MS = 100L
    }
}
