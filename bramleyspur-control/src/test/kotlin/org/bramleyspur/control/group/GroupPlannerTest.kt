package org.bramleyspur.control.group

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import java.util.Random

/**
 * Guards against a group that serves without all its members, a member that is moved out of a serving group, and groups
 * that are not formed again after crashes, network failures, delayed orders and leader changes.
 */
class GroupPlannerTest {
    private fun simulation(seed: Long, engines: Int = 24, faults: Boolean = true) =
        EngineSimulation(Random(seed), engines, faults)

    @Test
    fun `groups of each model serve before traffic`() {
        val simulation = simulation(1, faults = false)
        simulation.run(45_000)
        val heads = simulation.servingHeads()
        expectThat(heads.count { it.model == "large" }).isEqualTo(3)
        expectThat(heads.count { it.model == "small" }).isGreaterThanOrEqualTo(3)
    }

    @Test
    fun `a lost member is replaced within two and a half seconds`() {
        val simulation = simulation(1, faults = false)
        simulation.run(45_000)
        val head = simulation.servingHeads().first { it.model == "large" }
        val before = simulation.servingHeads().size
        simulation.engines.first { it.id == head.members[2] }.up = false
        simulation.run(2_500)
        expectThat(simulation.servingHeads().size).isEqualTo(before)
    }

    @Test
    fun `a lost head is replaced within three seconds`() {
        val simulation = simulation(1, faults = false)
        simulation.run(45_000)
        val before = simulation.servingHeads().size
        simulation.servingHeads().first { it.model == "large" }.up = false
        simulation.run(3_000)
        expectThat(simulation.servingHeads().size).isEqualTo(before)
    }

    @Test
    fun `members of an unreachable head leave before they join another group`() {
        val simulation = simulation(1, faults = false)
        simulation.run(45_000)
        val before = simulation.servingHeads().size
        val head = simulation.servingHeads().first { it.model == "large" }
        simulation.disconnect(head, 6_000)
        simulation.run(3_000)
        expectThat(simulation.servingHeads().size).isEqualTo(before)
        simulation.run(12_000)
        expectThat(simulation.violations).isEmpty()
        expectThat(simulation.servingHeads().size).isGreaterThanOrEqualTo(before)
    }

    /** When two groups lose their head one after the other, leave orders for the two must not alternate forever. */
    @Test
    fun `members that have left two groups get no more orders`() {
        val simulation = simulation(1, faults = false)
        simulation.run(45_000)
        val first = simulation.servingHeads().first { it.model == "large" }
        val member = first.members.last()
        first.up = false
        simulation.run(4_000)
        simulation.servingHeads().first { member in it.members }.up = false
        simulation.run(4_000)
        val before = simulation.ordersSent
        simulation.run(10_000)
        expectThat(simulation.ordersSent - before).isLessThanOrEqualTo(30)
    }

    @Test
    fun `a spare with staged weights replaces a lost member as fast as a former member`() {
        val simulation = simulation(1, faults = false)
        simulation.run(45_000)
        val head = simulation.servingHeads().first { it.model == "large" }
        val before = simulation.servingHeads().size
        simulation.engines.first { it.id == head.members[2] }.up = false
        simulation.run(1_600)
        expectThat(simulation.servingHeads().size).isEqualTo(before)
    }

    @Test
    fun `a group that control cannot reach keeps serving`() {
        val simulation = simulation(1, faults = false)
        simulation.run(45_000)
        val head = simulation.servingHeads().first { it.model == "large" }
        simulation.engines.filter { it.id in head.members }.forEach {
            it.controlCutOffUntilMs =
                simulation.nowMs + 12_000
        }
        simulation.run(11_000)
        expectThat(simulation.servingHeads()).get { contains(head) }.isEqualTo(true)
    }

    /** Times after the restart at which heads and other members announce themselves. */
    private val announcements = listOf("members first" to (1_150L to null), "heads first" to (100L to 1_150L))

    @TestFactory
    fun `groups keep serving while control restarts`() = announcements.map { (name, times) ->
        DynamicTest.dynamicTest(name) {
            val simulation = simulation(1, faults = false)
            simulation.run(45_000)
            val before = simulation.servingHeads().map { it.id to it.group }
            val (heads, others) = simulation.engines.partition { it.rank == 0 }
            heads.forEach { it.nextAnnouncementMs = simulation.nowMs + times.first }
            times.second?.let { atMs -> others.forEach { it.nextAnnouncementMs = simulation.nowMs + atMs } }
            simulation.restartControl()
            simulation.run(6_000)
            expectThat(simulation.violations).isEmpty()
            expectThat(simulation.servingHeads().map { it.id to it.group }).isEqualTo(before)
        }
    }

    @Test
    fun `members of a deregistered head stay until it has left`() {
        val simulation = simulation(1, faults = false)
        simulation.run(45_000)
        simulation.servingHeads().forEach { simulation.deregister(it) }
        simulation.run(40_000)
        expectThat(simulation.violations).isEmpty()
        expectThat(simulation.servingHeads().count { it.model == "large" }).isGreaterThanOrEqualTo(2)
    }

    @TestFactory
    fun `no violation with random faults, and groups recover after them`() = (1L..150L).map { seed ->
        DynamicTest.dynamicTest("seed $seed") {
            val simulation = simulation(seed)
            simulation.run(120_000)
            simulation.faults = false
            simulation.run(60_000)
            if (simulation.violations.isNotEmpty()) println(simulation.history.joinToString("\n"))
            expectThat(simulation.violations).isEmpty()
            expectThat(simulation.servingHeads().count { it.model == "large" }).isGreaterThanOrEqualTo(2)
            expectThat(simulation.servingHeads().count { it.model == "small" }).isGreaterThanOrEqualTo(2)
        }
    }

    private val targets = listOf(
        Triple("three domains", mapOf("a" to 8, "b" to 8, "c" to 8), 3 to 3),
        Triple("four domains of nineteen", mapOf("a" to 19, "b" to 19, "c" to 19, "d" to 19), 12 to 12),
        Triple("no room for spares", mapOf("a" to 6), 1 to 1),
        Triple("two domains", mapOf("a" to 8, "b" to 8), 2 to 2),
        Triple("too few engines for all models", mapOf("a" to 5), 1 to 0),
        Triple("no engines", mapOf(), 0 to 0),
    )

    @TestFactory
    fun `wanted groups`() = targets.map { (name, engines, expected) ->
        DynamicTest.dynamicTest(name) {
            val wanted = wantedGroups(engines.mapValues { DomainEngines(it.value) }, MODELS)
            val large = wanted.values.sumOf { it["large"] ?: 0 }
            val small = wanted.values.sumOf { it["small"] ?: 0 }
            expectThat(large to small).isEqualTo(expected)
            expectThat(large * 4 + small * 2).isLessThanOrEqualTo(engines.values.sum())
        }
    }
}
