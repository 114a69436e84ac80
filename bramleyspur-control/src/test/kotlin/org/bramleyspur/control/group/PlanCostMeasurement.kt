/*
 * Measures the planner by the number of engines: the time of a planning run while groups form and while nothing
 * happens, and the orders and probes for each engine. Run it with -Dtest=PlanCostMeasurement.
 */
package org.bramleyspur.control.group

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.bramleyspur.core.document.ModelSpec
import org.junit.jupiter.api.Test
import java.util.Random

class PlanCostMeasurement {
    private class Deployment(val engines: Int, val domains: Int, val largeSize: Int, val smallSize: Int)

    private val deployments = listOf(
        Deployment(36, 3, 6, 3),
        Deployment(100, 4, 8, 4),
        Deployment(160, 5, 8, 4),
        Deployment(370, 10, 16, 8),
    )

    @Test
    fun `cost of planning by number of engines`() = deployments.forEach { deployment ->
        val simulation = simulationOf(deployment)
        simulation.run(FORMING_MS)
        val forming = describe(simulation, PlanTotals(0, 0, 0, 0), FORMING_MS, deployment.engines)
        val before = PlanTotals(simulation.plans, simulation.planNanos, simulation.ordersSent, simulation.probesSent)
        simulation.run(CALM_MS)
        val calm = describe(simulation, before, CALM_MS, deployment.engines)
        println("${deployment.engines} engines, ${simulation.servingHeads().size} groups: forming $forming; calm $calm")
    }

    private class PlanTotals(val plans: Int, val nanos: Long, val orders: Int, val probes: Int)

    private fun describe(simulation: EngineSimulation, before: PlanTotals, durationMs: Long, engines: Int): String {
        val microsPerPlan =
            (simulation.planNanos - before.nanos) / MICROSECOND_NANOS / (simulation.plans - before.plans)
        val perEngineSecond = engines * durationMs / SECOND_MS
        return "%d us a plan, %.3f orders and %.3f probes for an engine and second".format(
            microsPerPlan,
            (simulation.ordersSent - before.orders) / perEngineSecond,
            (simulation.probesSent - before.probes) / perEngineSecond,
        )
    }

    private fun simulationOf(deployment: Deployment): EngineSimulation {
        val models = persistentListOf(
            ModelSpec("large", deployment.largeSize, 0.5, 1.0, 16_000, 1_600),
            ModelSpec("small", deployment.smallSize, 0.5, 0.6, 12_000, 1_100),
        )
        val service = DOCUMENT.services.getValue("s").copy(models = models)
        val document = DOCUMENT.copy(services = persistentMapOf("s" to service))
        return EngineSimulation(Random(1), deployment.engines, faults = false, deployment.domains, document = document)
    }

    private companion object {
        const val FORMING_MS = 40_000L
        const val CALM_MS = 20_000L
        const val MICROSECOND_NANOS = 1_000L
        const val SECOND_MS = 1_000.0
    }
}
