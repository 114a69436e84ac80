package org.bramleyspur.daemon.evacuation

import org.bramleyspur.control.state.EvacuateDataCentre
import org.bramleyspur.traffic.evacuation.EvacuationView
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotNull
import java.util.Random

/**
 * Guards against an acknowledged start or finish that a member or an entry does not obey after resends, late copies,
 * leader changes, compaction, a lost disk, kills of all members, or events of members that are behind. All sequences of
 * steps of a small case are checked, and random sequences of a larger one.
 */
class EvacuationInterleavingTest {
    private fun start(dataCentre: String) = EvacuateDataCentre(dataCentre, evacuated = true, submittedAtMs = 1)

    private fun finish(dataCentre: String) = EvacuateDataCentre(dataCentre, evacuated = false, submittedAtMs = 1)

    private val small = listOf(start("a"), finish("a"))

    /** The first broken step, with the steps to it, and the number of worlds seen; all that can be reached if none. */
    private fun search(model: EvacuationModel): Pair<String?, Int> {
        val seen = hashSetOf(model.start)
        var frontier = listOf(model.start to emptyList<String>())
        while (frontier.isNotEmpty()) {
            val reached = frontier.flatMap { (world, path) -> model.steps(world).map { it to path + it.name } }
            val found = reached.firstOrNull { (step, _) -> step.broken != null }
            if (found != null) return "${found.first.broken} after ${found.second}" to seen.size
            frontier = reached.filter { (step, _) -> seen.add(step.world) }.map { (step, steps) -> step.world to steps }
        }
        return null to seen.size
    }

    @Test
    fun `every sequence of steps of a small case keeps what was acknowledged`() {
        val (broken, worlds) = search(EvacuationModel(small, copiesPerCall = 2, memberCount = 2))
        expectThat(broken).isEqualTo(null)
        expectThat(worlds).isGreaterThan(MIN_WORLDS)
    }

    @TestFactory
    fun `the search finds what each guard prevents`() = listOf(
        "late copies are carried out" to EvacuationModel(small, 2, 2, dropsLate = false),
        "the entry obeys the last word" to EvacuationModel(small, 2, 2) { told, byLeader ->
            EvacuationView().onEvent(told.revision, told.byDataCentre.keys, byLeader)
        },
    ).map { (name, model) ->
        DynamicTest.dynamicTest(name) { expectThat(search(model).first).isNotNull() }
    }

    /** More seeds: `-Devacuation.seeds=500`. */
    @TestFactory
    fun `random sequences of a larger case keep what was acknowledged`() = (1L..seeds).map { seed ->
        DynamicTest.dynamicTest("seed $seed") {
            val random = Random(seed)
            val calls = List(CALLS) { EvacuateDataCentre(if (it % 2 == 0) "a" else "b", random.nextBoolean(), 1) }
            val model = EvacuationModel(calls, copiesPerCall = 3, memberCount = 5, entryCount = 3)
            val path = ArrayList<String>()
            var world = model.start
            repeat(STEPS) {
                val steps = model.steps(world)
                val step = steps[random.nextInt(steps.size)]
                path += step.name
                expectThat(step.broken).describedAs { "after $path" }.isEqualTo(null)
                world = step.world
            }
        }
    }

    private companion object {
        const val MIN_WORLDS = 10_000
        val seeds = System.getProperty("evacuation.seeds", "60").toLong()
        const val STEPS = 1_200
        const val CALLS = 24
    }
}
