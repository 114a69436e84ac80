package org.bramleyspur.control.placement

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.ShrinkingMode
import net.jqwik.api.constraints.LongRange
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isLessThan

private const val TRACE_S = 6 * 3_600
private val SEEDS = 1L..8L
private val RAGUSA =
    DeploymentSize(dataCentres = 3, domains = 1, perDomain = 8, groupSize = 4, wanted = listOf(2, 2, 1))
private val KERHERVE =
    DeploymentSize(dataCentres = 3, domains = 2, perDomain = 4, groupSize = 2, wanted = listOf(4, 3, 3))

/**
 * Guards against a preset that costs more than immediate repair by first fit, and against a placement that uses an
 * assigned or unresponsive instance or spans fabric domains.
 */
class PlacementReplayTest {
    @ParameterizedTest
    @CsvSource("ragusa", "kerherve")
    fun `a preset beats the baseline on its own weighted measure`(name: String) {
        val (size, preset) = if (name == "ragusa") RAGUSA to RepairPolicy.ragusa else KERHERVE to RepairPolicy.kerherve
        val own = SEEDS.map { replay(size, preset, it) }
        val baseline = SEEDS.map { replay(size, RepairPolicy.baseline, it) }
        val weight = preset.downtimeWeight
        val wins = own.zip(baseline).count { (a, b) -> a.cost(weight, size.groupSize) < b.cost(weight, size.groupSize) }
        println(row(name, own, weight, size) + " | lower cost in $wins of ${own.size} seeds")
        println(row("$name baseline", baseline, weight, size))
        val sums = listOf(own, baseline).map { all -> all.sumOf { it.cost(weight, size.groupSize) } }
        expectThat(sums[0]).isLessThan(sums[1])
    }

    @Property(tries = 12, seed = "20261204", shrinking = ShrinkingMode.OFF)
    fun everyPlacementUsesFreeResponsiveInstancesOfOneDomain(@ForAll @LongRange(min = 1_000) seed: Long) {
        val policies = listOf(RepairPolicy.ragusa, RepairPolicy.kerherve, RepairPolicy.baseline)
        policies.forEach { policy -> replay(KERHERVE, policy, seed, 7_200) }
    }

    private fun replay(size: DeploymentSize, policy: RepairPolicy, seed: Long, seconds: Int = TRACE_S): Measures {
        val replay = PlacementReplay(size, policy, seed)
        replay.run(seconds, faultTrace(size, seconds, seed))
        return replay.measures
    }

    private fun row(name: String, all: List<Measures>, weight: Double, size: DeploymentSize): String {
        val down = all.sumOf { it.downReplicas } / MILLIS_PER_SECOND / all.size
        val stranded = all.sumOf { it.strandedAccelerators } / MILLIS_PER_SECOND / all.size
        val cost = all.sumOf { it.cost(weight, size.groupSize) } / MILLIS_PER_SECOND / all.size
        return "REPLAY %-18s | downtime %6d s | stranded %8d accelerator-s | cost %9.0f".format(
            name,
            down,
            stranded,
            cost,
        )
    }
}
