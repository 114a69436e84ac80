/*
 * Compares policies for groups and spares by simulation: engines that are in groups are lost permanently, a domain
 * fails for some seconds, and engines without weights are added. Prints for each model the share of its work that the
 * groups can carry, as mean and minimum over the seeds. Run it with -Dtest=GroupPolicyMeasurement.
 */
package org.bramleyspur.control.group

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableList
import org.bramleyspur.core.document.Document
import org.bramleyspur.core.document.ModelSpec
import org.junit.jupiter.api.Test
import java.util.Random
import kotlin.random.asKotlinRandom

class GroupPolicyMeasurement {
    /**
     * A deployment and the rate of its engine losses.
     *
     * @property demand number of groups that carry the model's work at moderate load
     * @property lossEveryMs mean time between two losses of an engine
     */
    private class Scenario(
        val name: String,
        val engines: Int,
        val domains: Int,
        val models: List<ModelSpec>,
        val demand: Map<String, Double>,
        val lossEveryMs: Int,
    )

    private val smallDeployment =
        Scenario("24 engines", 24, 3, MODELS, mapOf("large" to 2.2, "small" to 2.8), lossEveryMs = 3_300)
    private val largeDeployment = Scenario(
        "76 engines",
        76,
        4,
        listOf(ModelSpec("large", 8, 0.5, 1.0, 16_000, 1_600), ModelSpec("small", 4, 0.5, 0.6, 12_000, 1_100)),
        mapOf("large" to 3.0, "small" to 6.5),
        lossEveryMs = 1_500,
    )

    @Test
    fun `work that the groups can carry`() {
        for (scenario in listOf(smallDeployment, largeDeployment)) {
            val results = (1L..SEEDS).map { simulate(scenario, it) }
            val line = scenario.models.joinToString("  ") { model ->
                val shares = results.map { it.getValue(model.name) }
                "%s %.3f (worst seed %.3f)".format(model.name, shares.average(), shares.min())
            }
            println("${scenario.name}: $line")
        }
    }

    private fun simulate(scenario: Scenario, seed: Long): Map<String, Double> {
        val random = Random(seed)
        val simulation =
            EngineSimulation(
                random,
                scenario.engines,
                faults = false,
                scenario.domains,
                ADDED_ENGINES,
                documentOf(scenario),
            )
        simulation.run(WARM_UP_MS)
        val startMs = simulation.nowMs
        val outageStartMs = startMs + 5_000 + random.nextInt(15_000)
        val outageDomain = "d" + random.nextInt(scenario.domains)
        val additionsAtMs = (0 until ADDED_ENGINES).map { startMs + 10_000 + random.nextInt(20_000) }
        var failedEngines = emptyList<SimulatedEngine>()
        var nextLossMs = startMs + 1_000
        val carriedWork = HashMap<String, Double>()
        while (simulation.nowMs < startMs + SCENARIO_MS) {
            val before = simulation.nowMs
            simulation.run(STEP_MS)
            val now = simulation.nowMs
            if (now >= nextLossMs) {
                simulation.engines.filter { it.up && it.group != null }.randomOrNull(random.asKotlinRandom())?.up =
                    false
                nextLossMs = now + scenario.lossEveryMs / 2 + random.nextInt(scenario.lossEveryMs)
            }
            if (outageStartMs in before + 1..now) {
                failedEngines = simulation.engines.filter { it.up && it.fabricDomain == outageDomain }
                failedEngines.forEach { it.up = false }
            }
            if (outageStartMs + OUTAGE_MS in before + 1..now) failedEngines.forEach { it.restart(now) }
            additionsAtMs.forEachIndexed { index, atMs ->
                if (atMs in before + 1..now) simulation.engines[scenario.engines + index].restart(now)
            }
            for (model in scenario.models) {
                val groups = simulation.servingHeads()
                    .filter { it.model == model.name }
                    .sumOf { relativeSpeed(simulation, it) }
                carriedWork.merge(model.name, minOf(1.0, groups / scenario.demand.getValue(model.name)), Double::plus)
            }
        }
        return carriedWork.mapValues { it.value * STEP_MS / SCENARIO_MS }
    }

    private fun documentOf(scenario: Scenario): Document {
        val service = DOCUMENT.services.getValue("s").copy(models = scenario.models.toImmutableList())
        return DOCUMENT.copy(services = persistentMapOf("s" to service))
    }

    private fun relativeSpeed(simulation: EngineSimulation, head: SimulatedEngine): Double {
        val domains = simulation.engines.filter { it.id in head.members }.map { it.fabricDomain }.distinct()
        return if (domains.size == 1) 1.0 else 1 / CROSS_DOMAIN_FACTOR
    }

    private companion object {
        const val SEEDS = 60L

        /** Time to form groups and stage weights before the scenario starts. */
        const val WARM_UP_MS = 60_000L
        const val SCENARIO_MS = 34_000L
        const val OUTAGE_MS = 7_400L
        const val STEP_MS = 100L
        const val ADDED_ENGINES = 6
        const val CROSS_DOMAIN_FACTOR = 2.5
    }
}
