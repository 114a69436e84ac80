package org.bramleyspur.control.group

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toPersistentMap
import org.bramleyspur.core.backend.GroupId
import org.bramleyspur.core.backend.GroupMembership
import org.bramleyspur.core.backend.GroupState
import org.bramleyspur.core.backend.KnownBackend
import org.bramleyspur.core.document.Document
import org.bramleyspur.core.document.DocumentService
import org.bramleyspur.core.document.ModelSpec
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

/** Guards against a change of the configuration that takes a serving group apart and ends the streams on it. */
class DocumentChangeTest {
    private val group = GroupId("g1", 1)
    private val model = DOCUMENT.services.getValue("s").models.minBy { it.groupSize }

    private val members = (0 until model.groupSize).map { rank ->
        readyEngine(
            "e$rank",
            rank + 1,
            listOf(model.name),
            groupMembership = GroupMembership(group, rank, GroupState.OPEN, model.name),
        )
    }

    private fun Document.withService(change: DocumentService.() -> DocumentService) =
        copy(services = services.toPersistentMap().put("s", services.getValue("s").change()))

    private fun Document.withModel(change: ModelSpec.() -> ModelSpec) = withService {
        copy(models = models.map { if (it.name == model.name) it.change() else it }.toImmutableList())
    }

    private val changes = listOf<Pair<String, (Document) -> Document>>(
        "no change" to { it },
        "smaller share" to { it.withModel { copy(workShare = 0.01) } },
        "other speed" to { it.withModel { copy(timeFactor = 3.0, loadMs = 1) } },
        "other slots" to { it.withService { copy(costs = costs!!.copy(slots = 2)) } },
        "fewer connections" to { it.withService { copy(maxConnections = 1) } },
        "larger groups" to { it.withModel { copy(groupSize = groupSize + 1) } },
        "model dropped" to
            { it.withService { copy(models = models.filter { it.name != model.name }.toImmutableList()) } },
        "models dropped" to { it.withService { copy(models = emptyList<ModelSpec>().toImmutableList()) } },
        "costs dropped" to { it.withService { copy(costs = null) } },
        "service dropped" to { it.copy(services = persistentMapOf()) },
    )

    private val serving = PlannedGroup(
        group,
        "s",
        model.name,
        members.map { it.incarnation }.toImmutableList(),
        GroupPhase.SERVING,
        START_MS - 10_000,
        PhaseReason(PhaseCause.OPENED),
    )
    private val leaders =
        listOf(
            "same leader" to PlannerState(groups = persistentMapOf(group to serving)),
            "new leader" to PlannerState(),
            "leader that has just opened it" to
                PlannerState(groups = persistentMapOf(group to serving.copy(phase = GroupPhase.FORMING))),
        )

    @TestFactory
    fun `a serving group goes on`() = leaders.flatMap { (leader, state) ->
        // A new leader cannot tell a group that is smaller than the document wants from one that has lost a member.
        changes.filter { (name, _) -> state.groups.isNotEmpty() || name != "larger groups" }.map { (name, change) ->
            DynamicTest.dynamicTest("$leader, $name") { check(state, change(DOCUMENT)) }
        }
    }

    private fun check(initial: PlannerState, document: Document) {
        var state = initial
        val orders = ArrayList<EngineOrder>()
        for (nowMs in START_MS..START_MS + DURATION_MS step PLAN_INTERVAL_MS) {
            val known = members.associate { it.id to KnownBackend(it, nowMs) }
            val step = planGroups(state, PlannerInput(nowMs, 2, document, known, emptyMap(), trafficStarted = true))
            state = step.state
            orders += step.orders
        }
        expectThat(orders.map { it.command }).isEmpty()
        // A new leader leaves a group alone whose service the document does not name as one of engines.
        val named = document.services["s"]?.let { it.costs != null && it.models.isNotEmpty() } == true
        val left = initial.groups.isEmpty() && !named
        expectThat(state.groups[group]?.phase).isEqualTo(if (left) null else GroupPhase.SERVING)
    }

    private companion object {
        const val START_MS = 100_000L
        const val DURATION_MS = 12_000L
        const val PLAN_INTERVAL_MS = 100L
    }
}
