package org.bramleyspur.control.demand

import org.bramleyspur.control.group.DOCUMENT
import org.bramleyspur.control.group.EngineSimulation
import org.bramleyspur.control.group.MODELS
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isLessThanOrEqualTo
import java.util.Random

/**
 * Guards against groups that stay where the configuration put them when the demand has moved, and against moves that a
 * burst, noise, an entry or a new leader causes. Prints the number of moves and the work beyond the engines' capacity.
 */
class DemandMovesTest {
    /** Engines that the requests for each model keep busy, by the time since the start in milliseconds. */
    private class Pattern(
        val name: String,
        val closedGroups: IntRange,
        val busyEngines: (ms: Long) -> Map<String, Double>,
    )

    private fun busy(large: Double, small: Double) = mapOf("large" to large, "small" to small)

    private val configured = busy(8.0, 4.0)
    private val turned = busy(3.0, 17.0)

    private val patterns = listOf(
        Pattern("demand as configured", 0..0) { configured },
        Pattern("demand moves to the small model", 1..2) { if (it < 20_000) configured else turned },
        Pattern("demand moves and returns much later", 1..4) { if (it in 20_000..120_000) turned else configured },
        Pattern("a burst of six seconds", 0..0) { if (it in 20_000..26_000) busy(8.0, 16.0) else configured },
        Pattern("bursts of four seconds in turn", 0..0) {
            if (it / 4_000 % 2 ==
                0L
            ) {
                busy(4.0, 12.0)
            } else {
                busy(12.0, 2.0)
            }
        },
        Pattern("little demand, all for one model", 0..0) { busy(0.0, 2.0) },
    )

    @TestFactory
    fun `groups follow the demand where it earns more than it costs`() = patterns.flatMap { pattern ->
        (1L..SEEDS).map { seed ->
            DynamicTest.dynamicTest("${pattern.name}, seed $seed") {
                val run = Run(seed, busyEngines = pattern.busyEngines)
                run.play(DURATION_MS)
                println(run.summary(pattern.name))
                expectThat(run.simulation.violations).isEmpty()
                expectThat(run.closedGroups).isIn(pattern.closedGroups)
                if (pattern.closedGroups.last == 0) expectThat(run.changes).isEqualTo(0)
                expectThat(run.fewestGroups).isGreaterThan(0)
            }
        }
    }

    @Test
    fun `moved groups carry more of the work`() {
        val pattern = patterns[1]
        val moving = Run(1, busyEngines = pattern.busyEngines).also { it.play(DURATION_MS) }
        val fixed = Run(1, measured = false, pattern.busyEngines).also { it.play(DURATION_MS) }
        println(fixed.summary("${pattern.name}, configured shares"))
        expectThat(moving.excess).isLessThanOrEqualTo(fixed.excess * 0.75)
    }

    @Test
    fun `a new leader keeps the groups and does not move them back`() {
        val run = Run(2) { if (it < 20_000) configured else turned }
        run.play(DURATION_MS)
        val before = run.closedGroups
        expectThat(before).isGreaterThan(0)
        repeat(4) {
            run.simulation.changeLeader()
            run.play(15_000)
        }
        expectThat(run.closedGroups).isEqualTo(before)
    }

    @Test
    fun `an entry that restarts or is cut off moves no group`() {
        val run = Run(3) { configured }
        run.play(20_000)
        run.restart(entry = 1)
        run.play(10_000)
        run.silent += 2
        run.play(20_000)
        run.silent -= 2
        run.play(20_000)
        expectThat(run.closedGroups).isEqualTo(0)
    }

    /** Four entries, each with its part of the clients and noise, and a leader that weighs moves. */
    private class Run(
        seed: Long,
        private val measured: Boolean = true,
        private val busyEngines: (ms: Long) -> Map<String, Double>,
    ) {
        private val random = Random(seed)
        private val service = DOCUMENT.services.getValue("s")
        private val counts = List(ENTRIES) { HashMap<ServedModel, DemandCounts>() }
        private val startedAtMs = LongArray(ENTRIES) { 1 }
        private var meter = DemandMeter()
        private var state = DemandState()
        private var startMs = 0L
        val silent = HashSet<Int>()
        val simulation = EngineSimulation(random, ENGINES, faults = false)

        /** Number of changes of the shares in use. */
        var changes = 0
            private set

        /** Engine milliseconds of work beyond the serving groups. */
        var excess = 0.0
            private set
        var fewestGroups = Int.MAX_VALUE
            private set

        /** Number of groups that were closed for a move. */
        val closedGroups: Int get() = simulation.history.count { it.contains("DEMAND_MOVED") }

        init {
            simulation.trafficStarted = false
            simulation.run(WARM_UP_MS)
            simulation.trafficStarted = true
            startMs = simulation.nowMs
            if (measured) {
                simulation.demand = { term, planner, nowMs ->
                    if (nowMs % DECISION_INTERVAL_MS == 0L) {
                        val step = decideDemand(state, term, DOCUMENT, planner, meter, nowMs)
                        state = step.state
                        changes += step.changes.size
                    }
                    state.targets
                }
            }
        }

        fun restart(entry: Int) {
            counts[entry].clear()
            startedAtMs[entry]++
        }

        fun play(durationMs: Long) {
            val endMs = simulation.nowMs + durationMs
            while (simulation.nowMs < endMs) {
                arrive(busyEngines(simulation.nowMs - startMs))
                simulation.run(INTERVAL_MS)
                observe(busyEngines(simulation.nowMs - startMs))
            }
        }

        private fun arrive(busy: Map<String, Double>) {
            for (entry in 0 until ENTRIES) {
                for (model in MODELS) addRequests(entry, ServedModel("s", model.name), busy.getValue(model.name))
                val name = "entry$entry"
                if (entry in silent) continue
                meter = meter.with(DemandReport(name, startedAtMs[entry], counts[entry].toMap()), simulation.nowMs)
            }
        }

        /** Adds requests of random number and length that keep, on average, a part of [engines] busy. */
        private fun addRequests(entry: Int, key: ServedModel, engines: Double) {
            val model = MODELS.first { it.name == key.model }
            val mean = engineWork(DemandRate(1.0, 0.0, PROMPT, OUTPUT), model, service.costs!!)
            val expected = engines * INTERVAL_MS / mean / ENTRIES
            val requests = (expected * 2 * random.nextDouble() + random.nextDouble()).toLong()
            val before = counts[entry][key] ?: DemandCounts()
            val length = 0.5 + random.nextDouble()
            counts[entry][key] = DemandCounts(
                before.requests + requests,
                before.refused,
                before.promptTokens + (requests * PROMPT * length).toLong(),
                before.outputTokens + (requests * OUTPUT * length).toLong(),
            )
        }

        private fun observe(busy: Map<String, Double>) {
            val heads = simulation.servingHeads()
            for (model in MODELS) {
                val groups = heads.count { it.model == model.name }
                fewestGroups = minOf(fewestGroups, groups)
                excess += maxOf(0.0, busy.getValue(model.name) - groups * model.groupSize) * INTERVAL_MS
            }
        }

        fun summary(name: String): String =
            "$name: $changes changes, $closedGroups groups moved, ${excess.toLong()} engine ms beyond capacity, " +
                MODELS.joinToString { m -> "${m.name} ${simulation.servingHeads().count { it.model == m.name }}" }
    }

    private companion object {
        const val SEEDS = 5L
        const val ENTRIES = 4
        const val ENGINES = 24
        const val WARM_UP_MS = 12_000L
        const val DURATION_MS = 200_000L
        const val INTERVAL_MS = 250L
        const val DECISION_INTERVAL_MS = 500L
        const val PROMPT = 1_000.0
        const val OUTPUT = 85.0
    }
}
