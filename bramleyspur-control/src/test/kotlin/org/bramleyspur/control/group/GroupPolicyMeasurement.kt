/*
 * Compares policies for groups and spares without a bench: days on which engines that are in groups are lost for good,
 * a domain is dark for some seconds, and empty engines are added. Prints the part of the work that the groups could
 * carry, by model, the mean over the seeds. Run it with -Dtest=GroupPolicyMeasurement.
 */
package org.bramleyspur.control.group

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableList
import org.bramleyspur.core.document.Document
import org.bramleyspur.core.document.ModelShape
import org.junit.jupiter.api.Test
import java.util.Random
import kotlin.random.asKotlinRandom

class GroupPolicyMeasurement {
    /**
     * A deployment and its day.
     *
     * @property demand groups that carry the model's work at a comfortable load
     * @property lossEveryMs mean time between two losses of an engine
     */
    private class Day(
        val name: String,
        val engines: Int,
        val domains: Int,
        val models: List<ModelShape>,
        val demand: Map<String, Double>,
        val lossEveryMs: Int,
    )

    private val today = Day("24 engines", 24, 3, MODELS, mapOf("large" to 2.2, "small" to 2.8), lossEveryMs = 3_300)
    private val grown = Day(
        "76 engines",
        76,
        4,
        listOf(ModelShape("large", 8, 0.5, 1.0, 16_000, 1_600), ModelShape("small", 4, 0.5, 0.6, 12_000, 1_100)),
        mapOf("large" to 3.0, "small" to 6.5),
        lossEveryMs = 1_500,
    )

    @Test
    fun `work that the groups can carry`() {
        for (day in listOf(today, grown)) {
            val results = (1L..SEEDS).map { play(day, it) }
            val line = day.models.joinToString("  ") { model ->
                val shares = results.map { it.getValue(model.name) }
                "%s %.3f (worst day %.3f)".format(model.name, shares.average(), shares.min())
            }
            println("${day.name}: $line")
        }
    }

    private fun play(day: Day, seed: Long): Map<String, Double> {
        val random = Random(seed)
        val world = EngineWorld(random, day.engines, faults = false, day.domains, ADDED, documentOf(day))
        world.run(WARM_UP_MS)
        val startMs = world.nowMs
        val darkAtMs = startMs + 5_000 + random.nextInt(15_000)
        val darkDomain = "d" + random.nextInt(day.domains)
        val addedAtMs = (0 until ADDED).map { startMs + 10_000 + random.nextInt(20_000) }
        var dark = emptyList<SimulatedEngine>()
        var nextLossMs = startMs + 1_000
        val carried = HashMap<String, Double>()
        while (world.nowMs < startMs + DAY_MS) {
            val before = world.nowMs
            world.run(STEP_MS)
            val now = world.nowMs
            if (now >= nextLossMs) {
                world.engines.filter { it.up && it.group != null }.randomOrNull(random.asKotlinRandom())?.up = false
                nextLossMs = now + day.lossEveryMs / 2 + random.nextInt(day.lossEveryMs)
            }
            if (darkAtMs in before + 1..now) {
                dark = world.engines.filter { it.up && it.domain == darkDomain }
                dark.forEach { it.up = false }
            }
            if (darkAtMs + DARK_MS in before + 1..now) dark.forEach { it.restart(now) }
            addedAtMs.forEachIndexed { index, atMs ->
                if (atMs in before + 1..now) world.engines[day.engines + index].restart(now)
            }
            for (model in day.models) {
                val groups = world.servingHeads().filter { it.model == model.name }.sumOf { speed(world, it) }
                carried.merge(model.name, minOf(1.0, groups / day.demand.getValue(model.name)), Double::plus)
            }
        }
        return carried.mapValues { it.value * STEP_MS / DAY_MS }
    }

    private fun documentOf(day: Day): Document {
        val service = DOCUMENT.services.getValue("s").copy(models = day.models.toImmutableList())
        return DOCUMENT.copy(services = persistentMapOf("s" to service))
    }

    private fun speed(world: EngineWorld, head: SimulatedEngine): Double {
        val domains = world.engines.filter { it.id in head.members }.map { it.domain }.distinct()
        return if (domains.size == 1) 1.0 else 1 / CROSS_DOMAIN_FACTOR
    }

    private companion object {
        const val SEEDS = 60L

        /** Groups are formed and weights staged before the day. */
        const val WARM_UP_MS = 60_000L
        const val DAY_MS = 34_000L
        const val DARK_MS = 7_400L
        const val STEP_MS = 100L
        const val ADDED = 6
        const val CROSS_DOMAIN_FACTOR = 2.5
    }
}
