package org.bramleyspur.control.group

import org.bramleyspur.core.backend.GroupState
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThanOrEqualTo
import java.util.Random

/**
 * Guards against a group that is taken apart, with all its streams, because its head or another member sent nothing for
 * a second or so, and against a group whose engine has crashed that waits as long.
 */
class SilentEngineTest {
    private fun serving() = EngineSimulation(Random(1), engines = 24, faults = false).also { it.run(45_000) }

    private fun EngineSimulation.largeHead() = servingHeads().first { it.model == "large" }

    private fun EngineSimulation.engine(id: String) = engines.first { it.id == id }

    /** Runs until [sinceAnnouncementMs] after an announcement of [engine]. */
    private fun EngineSimulation.runUntilAnnounced(engine: SimulatedEngine, sinceAnnouncementMs: Long) {
        val before = engine.sequence
        while (engine.sequence == before) run(STEP_MS)
        run(sinceAnnouncementMs)
    }

    private val silences = listOf(700L, 1_000L, 1_300L, 1_600L)
    private val sinceAnnouncements = listOf(0L, 300L, 550L, 800L, 1_000L, 1_150L)

    @TestFactory
    fun `a sound engine's silence takes no group apart`() = listOf("head" to 0, "member" to 2).flatMap { (name, rank) ->
        silences.flatMap { silentMs ->
            sinceAnnouncements.flatMap { sinceMs ->
                listOf(true, false).map { traffic ->
                    val title = "$name silent for $silentMs ms, $sinceMs ms after an announcement, traffic: $traffic"
                    DynamicTest.dynamicTest(title) { expectKept(rank, silentMs, sinceMs, traffic) }
                }
            }
        }
    }

    private fun expectKept(rank: Int, silentMs: Long, sinceAnnouncementMs: Long, traffic: Boolean) {
        val simulation = serving()
        simulation.traffic = traffic
        val head = simulation.largeHead()
        val group = head.group!!
        val engine = simulation.engine(head.members[rank])
        simulation.runUntilAnnounced(engine, sinceAnnouncementMs)
        val before = simulation.servingHeads().map { it.id to it.group }
        engine.silentUntilMs = simulation.nowMs + silentMs
        repeat(50) {
            simulation.run(100)
            expectThat(simulation.isTakenApart(group)).isFalse()
        }
        expectThat(simulation.servingHeads().map { it.id to it.group }).isEqualTo(before)
        expectThat(simulation.violations).isEmpty()
    }

    /** [limitMs] is the longest time until the group is taken apart. */
    private class Loss(val name: String, val rank: Int, val limitMs: Long, val strike: (SimulatedEngine, Long) -> Unit)

    private val losses = listOf(
        Loss("crashed head", 0, 400) { engine, _ -> engine.up = false },
        Loss("crashed member", 2, 400) { engine, _ -> engine.up = false },
        Loss("head without power", 0, DARK_LIMIT_MS) { engine, _ -> engine.loseHost() },
        Loss("member without power", 2, DARK_LIMIT_MS) { engine, _ -> engine.loseHost() },
        Loss("restarted head", 0, 100) { engine, nowMs -> engine.restart(nowMs) },
        Loss("restarted member", 2, 100) { engine, nowMs -> engine.restart(nowMs) },
        Loss("head that announces a broken group", 0, 100) { engine, nowMs ->
            engine.state = GroupState.BROKEN
            engine.nextAnnouncementMs = nowMs
        },
    )

    private fun SimulatedEngine.loseHost() {
        up = false
        dark = true
    }

    @TestFactory
    fun `a group with a lost engine is taken apart in time`() = losses.flatMap { loss ->
        sinceAnnouncements.map { sinceMs ->
            DynamicTest.dynamicTest("${loss.name}, $sinceMs ms after an announcement") {
                val simulation = serving()
                val head = simulation.largeHead()
                val group = head.group!!
                val engine = simulation.engine(head.members[loss.rank])
                simulation.runUntilAnnounced(engine, sinceMs)
                val startMs = simulation.nowMs
                loss.strike(engine, startMs)
                while (!simulation.isTakenApart(group) && simulation.nowMs < startMs + 10_000) simulation.run(STEP_MS)
                expectThat(simulation.nowMs - startMs).isLessThanOrEqualTo(loss.limitMs)
            }
        }
    }

    private companion object {
        /** The step of the simulation. */
        const val STEP_MS = 50L

        /** The tolerated silence, and the time to notice it and to probe. */
        const val DARK_LIMIT_MS = 2_100L
    }
}
