package org.bramleyspur.control.group

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.bramleyspur.core.backend.KnownBackend
import org.bramleyspur.core.document.ModelSpec
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import java.util.Random

/**
 * Guards against a leader that takes its own delay for the silence of engines: it then probes all of them, gives up
 * groups that are whole, and forms them again. Hundreds of engines announce themselves to a leader that reads late, and
 * leaders are killed while groups form.
 */
class LateLeaderTest {
    private val models = persistentListOf(
        ModelSpec("large", 16, 0.5, 1.0, 16_000, 1_600),
        ModelSpec("small", 8, 0.5, 0.6, 12_000, 1_100),
    )
    private val document = DOCUMENT.copy(
        services = persistentMapOf("s" to DOCUMENT.services.getValue("s").copy(models = models)),
    )

    /** 370 engines in ten domains with the weights of one of the models, as after a start. */
    private fun simulation(seed: Long) = EngineSimulation(
        Random(seed),
        ENGINES,
        faults = false,
        domains = DOMAINS,
        document = document,
    ).apply { engines.forEachIndexed { index, engine -> engine.staged = models[index % 2].name } }

    private class Case(val name: String, val delayMs: Long, val minGroups: Int)

    private val cases = listOf(
        Case("a leader in time", delayMs = 0, minGroups = 25),
        Case("a leader 400 ms late", delayMs = 400, minGroups = 25),
        Case("a leader 800 ms late", delayMs = 800, minGroups = 25),
        Case("a leader 1,500 ms late", delayMs = 1_500, minGroups = 25),
    )

    @TestFactory
    fun `groups form and last however late the leader is`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val simulation = simulation(1)
            simulation.leaderDelayMs = case.delayMs
            simulation.run(FORMING_MS)
            val formed = simulation.servingHeads().map { it.group }
            expectThat(formed.size).isGreaterThanOrEqualTo(case.minGroups)
            val probesBefore = simulation.probesSent
            simulation.run(CALM_MS)
            expectThat(formed - simulation.servingHeads().map { it.group }.toSet()).isEmpty()
            expectThat(simulation.probesSent - probesBefore).isLessThanOrEqualTo(ENGINES)
            expectThat(simulation.violations).isEmpty()
        }
    }

    private class ProbeCase(val ageMs: Long, val lagMs: Long, val probes: Int)

    private val probeCases = listOf(
        ProbeCase(ageMs = 1_400, lagMs = 0, probes = 0),
        ProbeCase(ageMs = 1_600, lagMs = 0, probes = 1),
        ProbeCase(ageMs = 1_600, lagMs = 400, probes = 0),
        ProbeCase(ageMs = 2_300, lagMs = 800, probes = 0),
        ProbeCase(ageMs = 2_400, lagMs = 800, probes = 1),
    )

    /** Other instances pass announcements on with their age, which includes the time for which the leader was late. */
    @TestFactory
    fun `an announcement is overdue only beyond the lag of the leader`() = probeCases.map { case ->
        DynamicTest.dynamicTest("${case.ageMs} ms old, ${case.lagMs} ms late") {
            val engine = readyEngine("e", 1, emptyList())
            val known = mapOf(engine.id to KnownBackend(engine, NOW_MS - case.ageMs))
            val input = PlannerInput(NOW_MS, 1, document, known, emptyMap(), trafficStarted = true, lagMs = case.lagMs)
            expectThat(planGroups(PlannerState(), input).probes.size).isEqualTo(case.probes)
        }
    }

    @TestFactory
    fun `no group opens in part when leaders are killed while groups form`() = (1L..SEEDS).map { seed ->
        DynamicTest.dynamicTest("seed $seed") {
            val random = Random(seed)
            val simulation = simulation(seed)
            simulation.leaderDelayMs = DELAYS_MS[random.nextInt(DELAYS_MS.size)]
            repeat(KILLS) {
                simulation.run(500L + random.nextInt(2_500))
                simulation.restartControl()
            }
            simulation.run(FORMING_MS)
            expectThat(simulation.violations).isEmpty()
            expectThat(simulation.servingHeads().size).isGreaterThanOrEqualTo(MIN_GROUPS_AFTER_KILLS)
        }
    }

    private companion object {
        const val NOW_MS = 100_000L
        const val ENGINES = 370
        const val DOMAINS = 10
        const val FORMING_MS = 20_000L
        const val CALM_MS = 10_000L
        const val SEEDS = 8L
        const val KILLS = 4
        const val MIN_GROUPS_AFTER_KILLS = 20
        val DELAYS_MS = listOf(0L, 400L, 800L)
    }
}
