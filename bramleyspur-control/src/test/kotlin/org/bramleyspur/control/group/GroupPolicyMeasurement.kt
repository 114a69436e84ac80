/*
 * Compares policies for groups and spares by simulation: engines that are in groups are lost permanently, in each
 * domain in turn, and each is replaced by an engine without weights; a domain may fail for some seconds. Prints for
 * each model the share of its work that the groups can carry, as mean and minimum over the seeds, and for how many
 * seconds of a run a wanted group was missing, by cause. Run it with -Dtest=GroupPolicyMeasurement.
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
     * A deployment and its losses.
     *
     * @property demand number of groups that carry the model's work at moderate load
     * @property lossEveryMs mean time between two losses of an engine
     * @property outage whether a domain fails for some seconds
     * @property crossDomainFactor how many times slower a group across domains is
     */
    private class Scenario(
        val name: String,
        val domains: Int,
        val domainSize: Int,
        val models: List<ModelSpec>,
        val demand: Map<String, Double>,
        val lossEveryMs: Int,
        val outage: Boolean,
        val crossDomainFactor: Double,
    )

    private fun models(large: Int, small: Int, share: Double) = listOf(
        ModelSpec("large", large, share, 1.0, 16_000, 1_600),
        ModelSpec("small", small, 1 - share, 0.6, 12_000, 1_100),
    )

    private fun demand(large: Double, small: Double) = mapOf("large" to large, "small" to small)

    private val scenarios = listOf(false, true).flatMap { outage ->
        listOf(
            Scenario("3 x 8", 3, 8, models(4, 2, 0.67), demand(2.5, 2.5), 2_900, outage, 2.5),
            Scenario("3 x 11", 3, 11, models(6, 3, 0.67), demand(2.5, 2.5), 2_900, outage, 4.0),
            Scenario("4 x 19", 4, 19, models(8, 4, 0.5), demand(4.0, 8.0), 1_500, outage, 2.5),
            Scenario("3 x 27", 3, 27, models(12, 6, 0.5), demand(2.5, 5.0), 1_500, outage, 4.0),
        )
    }

    @Test
    fun `work that the groups can carry`() {
        for (scenario in scenarios) {
            val gapMs = HashMap<Pair<String, GapCause>, Long>()
            val results = (1L..SEEDS).map { simulate(scenario, it, gapMs) }
            val line = scenario.models.joinToString("  ") { model ->
                val shares = results.map { it.getValue(model.name) }
                val gaps = GapCause.entries.joinToString { cause ->
                    "%s %.1f".format(cause, (gapMs[model.name to cause] ?: 0L) / 1_000.0 / SEEDS)
                }
                "%s %.3f (worst seed %.3f, %s)".format(model.name, shares.average(), shares.min(), gaps)
            }
            val mean = results.map { it.values.average() }.average()
            println("${scenario.name}${if (scenario.outage) " with an outage" else ""}: %.3f $line".format(mean))
        }
    }

    private fun simulate(
        scenario: Scenario,
        seed: Long,
        gapMs: MutableMap<Pair<String, GapCause>, Long>,
    ): Map<String, Double> {
        val random = Random(seed)
        val simulation = simulationOf(scenario, random)
        simulation.trafficStarted = false
        simulation.run(WARM_UP_MS)
        simulation.trafficStarted = true
        val startMs = simulation.nowMs
        var faults = lossesOf(scenario, simulation, random)
        if (scenario.outage) faults = faults + outageOf("d" + random.nextInt(scenario.domains), simulation, random)
        val carriedWork = HashMap<String, Double>()
        while (simulation.nowMs < startMs + SCENARIO_MS) {
            simulation.run(STEP_MS)
            val (due, later) = faults.partition { it.atMs <= simulation.nowMs }
            due.forEach { it.happen() }
            faults = later
            simulation.gaps.forEach { gapMs.merge(it.place.model to it.cause, STEP_MS, Long::plus) }
            for (model in scenario.models) {
                val groups = simulation.servingHeads()
                    .filter { it.model == model.name }
                    .sumOf { relativeSpeed(simulation, it, scenario) }
                carriedWork.merge(model.name, minOf(1.0, groups / scenario.demand.getValue(model.name)), Double::plus)
            }
        }
        return carriedWork.mapValues { it.value * STEP_MS / SCENARIO_MS }
    }

    private fun simulationOf(scenario: Scenario, random: Random): EngineSimulation {
        val replacements = scenario.domains * ((SCENARIO_MS / scenario.lossEveryMs).toInt() / scenario.domains + 2)
        val engines = scenario.domains * scenario.domainSize
        return EngineSimulation(random, engines, faults = false, scenario.domains, replacements, documentOf(scenario))
    }

    private class Fault(val atMs: Long, val happen: () -> Unit)

    private fun lossesOf(scenario: Scenario, simulation: EngineSimulation, random: Random): List<Fault> = buildList {
        var atMs = simulation.nowMs + scenario.lossEveryMs
        val endMs = simulation.nowMs + LOSSES_MS
        var number = random.nextInt(scenario.domains)
        while (atMs < endMs) {
            val domain = "d" + number++ % scenario.domains
            add(Fault(atMs) { loseMember(simulation, domain, random) })
            add(Fault(atMs + REPLACEMENT_MS) { addEngine(simulation, domain) })
            atMs += scenario.lossEveryMs * 3L / 4 + random.nextInt(scenario.lossEveryMs / 2)
        }
    }

    private fun loseMember(simulation: EngineSimulation, domain: String, random: Random) {
        val members = simulation.engines.filter { it.up && it.group != null && it.fabricDomain == domain }
        val engine = members.randomOrNull(random.asKotlinRandom()) ?: return
        engine.up = false
        engine.dark = true
    }

    /** Starts an engine that has not run yet. */
    private fun addEngine(simulation: EngineSimulation, domain: String) {
        simulation.engines.first { !it.up && it.sequence == 0L && it.fabricDomain == domain }.restart(simulation.nowMs)
    }

    private fun outageOf(domain: String, simulation: EngineSimulation, random: Random): List<Fault> {
        val startMs = simulation.nowMs + OUTAGE_START_MS
        var failed = emptyList<SimulatedEngine>()
        val start = Fault(startMs) {
            failed = simulation.engines.filter { it.up && it.fabricDomain == domain }
            failed.forEach { it.up = false }
        }
        val end = Fault(startMs + OUTAGE_MS) {
            for (engine in failed) {
                engine.restart(simulation.nowMs)
                engine.nextAnnouncementMs += random.nextInt(ANNOUNCEMENTS_MS)
            }
        }
        return listOf(start, end)
    }

    private fun documentOf(scenario: Scenario): Document {
        val service = DOCUMENT.services.getValue("s").copy(models = scenario.models.toImmutableList())
        return DOCUMENT.copy(services = persistentMapOf("s" to service))
    }

    private fun relativeSpeed(simulation: EngineSimulation, head: SimulatedEngine, scenario: Scenario): Double {
        val domains = simulation.engines.filter { it.id in head.members }.map { it.fabricDomain }.distinct()
        return if (domains.size == 1) 1.0 else 1 / scenario.crossDomainFactor
    }

    private companion object {
        const val SEEDS = 40L

        /** Time to form groups and stage weights before the scenario starts. */
        const val WARM_UP_MS = 12_000L
        const val SCENARIO_MS = 40_000L
        const val LOSSES_MS = 30_000L
        const val OUTAGE_START_MS = 11_000L
        const val OUTAGE_MS = 7_400L

        /** Time over which the engines of a domain announce themselves after its outage. */
        const val ANNOUNCEMENTS_MS = 1_200

        /** Time from the loss of an engine to the announcement of a new one. */
        const val REPLACEMENT_MS = 5_500L
        const val STEP_MS = 100L
    }
}
