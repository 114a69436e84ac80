package org.bramleyspur.control.group

import kotlinx.collections.immutable.toPersistentMap
import org.bramleyspur.core.backend.Announcement
import org.bramleyspur.core.backend.GroupId
import org.bramleyspur.core.backend.GroupMembership
import org.bramleyspur.core.backend.GroupState
import org.bramleyspur.core.backend.KnownBackend
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import java.util.Random

class SpareWeightsTest {
    /** Losses of members of groups of these models in one domain, with the leader that changes before them or not. */
    private class Case(val lostModels: List<String>, val leaderChanges: Boolean)

    private val cases = listOf(listOf("large", "large"), listOf("large", "small"), listOf("small", "large"))
        .flatMap { models -> listOf(false, true).map { Case(models, it) } }

    // Guards against a large group that waits for a load beside a spare which holds the weights of the small model.
    @TestFactory
    fun `two lost members in a domain are replaced without a load`() = cases.flatMap { case ->
        (1L..SEEDS).map { seed ->
            DynamicTest.dynamicTest("${case.lostModels}, leader changes: ${case.leaderChanges}, seed $seed") {
                val random = Random(seed)
                val simulation = startedSimulation(random)
                if (case.leaderChanges) simulation.changeLeader()
                simulation.run(SETTLE_MS)
                val domain = "d${random.nextInt(DOMAINS)}"
                for (model in case.lostModels) {
                    val members = simulation.groupsWithin(domain, model).flatten()
                    members[random.nextInt(members.size)].run {
                        up = false
                        dark = true
                    }
                    simulation.run(RECOVERY_MS)
                    expectThat(simulation.groupsWithin(domain, model).isNotEmpty()).isTrue()
                }
                expectThat(simulation.violations).isEmpty()
            }
        }
    }

    // Guards against a domain whose hosts all hold the large model's weights when its engines restart.
    @TestFactory
    fun `only spares load a second model`() = listOf(0 to false, 2 to true).map { (smallMembers, loads) ->
        DynamicTest.dynamicTest("$smallMembers members of small groups") {
            val members = members("large", 4) + members("small", smallMembers)
            val free = List(SMALL_ENGINES - smallMembers) { readyEngine("free-$it", 1 + it, listOf("small")) }
            val known = members.associate { it.id to KnownBackend(it, NOW_MS) } +
                free.associate { it.id to KnownBackend(it, NOW_MS, lastModel = "small") }
            val state = PlannerState(firstSeenMs = known.mapValues { 0L }.toPersistentMap())
            val input = PlannerInput(NOW_MS, 1, DOCUMENT, known, emptyMap(), trafficStarted = false)
            val orders = planGroups(state, input).orders
            expectThat(orders.any { it.command == EngineCommand.Stage("large") }).isEqualTo(loads)
        }
    }

    /** Members of a serving group of the model. */
    private fun members(model: String, count: Int): List<Announcement> = List(count) { rank ->
        val groupState = if (rank == 0) GroupState.OPEN else GroupState.READY
        val membership = GroupMembership(GroupId(model, 1), rank, groupState, model)
        readyEngine("$model-$rank", model.length * PORTS + rank, listOf(model), groupMembership = membership)
    }

    /** Engines whose groups and spares were formed before traffic. */
    private fun startedSimulation(random: Random): EngineSimulation {
        val simulation = EngineSimulation(random, ENGINES, faults = false)
        simulation.trafficStarted = false
        simulation.run(WARM_UP_MS)
        simulation.trafficStarted = true
        return simulation
    }

    /** Members of the serving groups of the model that lie within the domain. */
    private fun EngineSimulation.groupsWithin(domain: String, model: String): List<List<SimulatedEngine>> =
        servingHeads().filter { it.model == model }
            .map { head -> engines.filter { it.id in head.members } }
            .filter { members -> members.all { it.fabricDomain == domain } }

    private companion object {
        const val NOW_MS = 100_000L
        const val PORTS = 100

        /** Engines of the domain that have served the small model last: a group and a spare. */
        const val SMALL_ENGINES = 3
        const val SEEDS = 5L
        const val ENGINES = 24
        const val DOMAINS = 3
        const val WARM_UP_MS = 12_000L
        const val SETTLE_MS = 3_000L

        /** Time to notice the loss, join with staged weights and open, far below the load of either model. */
        const val RECOVERY_MS = 6_000L
    }
}
