package org.bramleyspur.control.group

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEmpty
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
                val simulation = EngineSimulation(random, ENGINES, faults = false)
                simulation.trafficStarted = false
                simulation.run(WARM_UP_MS)
                simulation.trafficStarted = true
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

    /** Members of the serving groups of the model that lie within the domain. */
    private fun EngineSimulation.groupsWithin(domain: String, model: String): List<List<SimulatedEngine>> =
        servingHeads().filter { it.model == model }
            .map { head -> engines.filter { it.id in head.members } }
            .filter { members -> members.all { it.fabricDomain == domain } }

    private companion object {
        const val SEEDS = 5L
        const val ENGINES = 24
        const val DOMAINS = 3
        const val WARM_UP_MS = 12_000L
        const val SETTLE_MS = 3_000L

        /** Time to notice the loss, join with staged weights and open, far below the load of either model. */
        const val RECOVERY_MS = 6_000L
    }
}
