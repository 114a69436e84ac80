package org.bramleyspur.traffic.forward

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.assertThrows
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.random.Random

/**
 * Guards against an attempt that a late or repeated wake-up begins: a second run of a request that may run once, more
 * attempts than the route or the retry budget allows, one beside an attempt that responds, and one after the end.
 */
class RequestAttemptsTest {
    private class Run(val server: Int, val repeated: Boolean) {
        var mayRun = true
    }

    /** A request that is woken up at any time, and whose backend servers do anything. */
    private class Model(seed: Int) {
        private val random = Random(seed)
        private val idempotent = random.nextInt(3) > 0
        private val resumable = idempotent && random.nextBoolean()
        private val budget = random.nextInt(5)
        private val superseded = ArrayList<Int>()
        private var started = false
        private var lastEnd: AttemptEnd? = null
        private var unsent = 0
        private var servers = 0
        val maxAttempts = 1 + random.nextInt(4)
        val runs = ArrayList<Run>()
        var attempts = RequestAttempts<Run>()
        var retries = 0
        var ended = false
        var lateWakeUps = 0

        private fun conditions() = AttemptConditions(
            idempotent = idempotent,
            resumable = resumable,
            maxAttempts = maxAttempts,
            supersededServers = superseded.size,
            responseStarted = started,
            remainingMs = 1_000,
            budgetLeft = retries < budget,
        )

        fun step() {
            val run = attempts.running.randomOrNull(random)
            when (random.nextInt(9)) {
                0, 1, 2 -> wakeUp()
                3 -> run?.let { onSilent(it) }
                4 -> run?.let { attempts = attempts.withData(it) }
                5 -> run?.let { deliver(it) }
                6, 7 -> run?.let { end(it) }
                else -> if (random.nextInt(10) == 0) end()
            }
        }

        /** Something wakes the request up; whether it waits for that does not matter. */
        private fun wakeUp() {
            val step = attempts.nextStep(conditions())
            if (step == null) lateWakeUps++ else apply(step)
        }

        private fun apply(step: NextStep) {
            when (step) {
                is NextStep.SendAgain -> when (random.nextInt(4)) {
                    0 -> Unit // It waits.
                    1 -> onNoServer(step)
                    else -> begin(step)
                }
                NextStep.AwaitRunning -> {
                    expectThat(attempts.running.size).isGreaterThan(0)
                    attempts = attempts.awaitingRunning()
                }
                else -> end()
            }
        }

        private fun onNoServer(step: NextStep.SendAgain) {
            if (step.toSuperseded) superseded.clear()
            val end = listOf(AttemptEnd.NoCandidate, AttemptEnd.BackingOff(1), AttemptEnd.Pressed(1)).random(random)
            lastEnd = end
            attempts = attempts.withoutServer(end)
            attempts.nextStep(conditions())?.let { apply(it) }
        }

        private fun begin(step: NextStep.SendAgain) {
            val conditions = conditions()
            val run = if (step.toSuperseded) Run(superseded.removeFirst(), true) else Run(servers++, false)
            if (step.countsAgainstBudget) {
                if (lastEnd != AttemptEnd.NotSent) expectThat(conditions.budgetLeft).isEqualTo(true)
                retries++
            }
            add(run, conditions)
        }

        private fun add(run: Run, conditions: AttemptConditions) {
            attempts = attempts.withBegun(run, run.repeated, conditions)
            runs += run
        }

        private fun onSilent(run: Run) {
            attempts = attempts.withSilent(run)
            val conditions = conditions()
            if (!attempts.maySendBesideSilent(conditions)) return
            retries++
            add(Run(servers++, false), conditions)
        }

        private fun deliver(run: Run) {
            superseded += attempts.running.filter { it !== run }.map { it.server }
            attempts = attempts.withTakeOver(run)
            started = true
            if (random.nextInt(4) > 0) return
            attempts = attempts.withCompleted(run)
            end()
        }

        private fun end(run: Run) {
            val end = if (started) {
                AttemptEnd.BrokenOff
            } else {
                listOf(AttemptEnd.NotSent, AttemptEnd.Rejected(null), AttemptEnd.NoAnswer, AttemptEnd.Failed)
                    .random(random)
            }
            if (end == AttemptEnd.NotSent) {
                unsent++
                if (!run.repeated) servers--
            }
            run.mayRun = end != AttemptEnd.NotSent && end !is AttemptEnd.Rejected
            lastEnd = end
            attempts = attempts.withEnded(run, run.repeated, end)
            attempts.nextStep(conditions())?.let { apply(it) }
        }

        private fun end() {
            ended = true
            attempts = attempts.ended()
        }

        fun check() {
            if (!idempotent) expectThat(runs.count { it.mayRun }).isLessThanOrEqualTo(1)
            expectThat(servers).isLessThanOrEqualTo(maxAttempts)
            expectThat(retries).isLessThanOrEqualTo(budget + unsent)
            if (!ended && attempts.running.isEmpty()) expectThat(attempts.nextStep(conditions())).isNotNull()
            if (ended) expectThat(attempts.nextStep(conditions())).isNull()
        }
    }

    @TestFactory
    fun `any sequence of wake-ups, silences, events and ends`() = listOf(1, 2).map { part ->
        DynamicTest.dynamicTest("seeds $part") {
            var lateWakeUps = 0
            repeat(SEQUENCES) { index ->
                val model = Model(part * SEQUENCES + index)
                repeat(STEPS) {
                    val runs = model.runs.size
                    val over = model.ended
                    model.step()
                    model.check()
                    if (over) expectThat(model.runs.size).isEqualTo(runs)
                }
                lateWakeUps += model.lateWakeUps
            }
            expectThat(lateWakeUps).isGreaterThan(SEQUENCES)
        }
    }

    private val once = AttemptConditions(
        idempotent = false,
        resumable = false,
        maxAttempts = 2,
        supersededServers = 0,
        responseStarted = false,
        remainingMs = 1_000,
        budgetLeft = true,
    )

    private fun begun() = RequestAttempts<String>().withBegun("a", repeated = false, once)

    @Test
    fun `a wake-up begins nothing while an attempt runs, nor after the end`() {
        expectThat(begun().nextStep(once)).isNull()
        expectThat(begun().ended().nextStep(once)).isNull()
    }

    /** An attempt that is due may wait; what it was due for may not hold any more when the wait is over. */
    @TestFactory
    fun `a due attempt is decided on anew after a wait`() = listOf(
        Triple("the budget was used up", once.copy(budgetLeft = false), NextStep.RefuseNotRun),
        Triple("no time is left", once.copy(remainingMs = 1), NextStep.RefuseNotRun),
        Triple("nothing has changed", once, NextStep.SendAgain(countsAgainstBudget = true)),
    ).map { (name, conditions, expected) ->
        DynamicTest.dynamicTest(name) {
            val rejected = begun().withEnded("a", repeated = false, AttemptEnd.Rejected(null))
            expectThat(rejected.nextStep(once)).isEqualTo(NextStep.SendAgain(countsAgainstBudget = true))
            expectThat(rejected.nextStep(conditions)).isEqualTo(expected)
        }
    }

    /** An attempt is refused even if it is begun without asking for the next step. */
    @TestFactory
    fun `no attempt begins that must not`(): List<DynamicTest> {
        val again = once.copy(idempotent = true)
        val answered = begun().withEnded("a", repeated = false, AttemptEnd.NoAnswer)
        val rejected = begun().withEnded("a", repeated = false, AttemptEnd.Rejected(null))
        return listOf(
            Triple("none is due", begun(), once),
            Triple("an attempt responds", begun().withoutServer(AttemptEnd.NoCandidate), again),
            Triple("one is silent and it may run once", begun().withSilent("a"), once),
            Triple("it may have run", answered, once),
            Triple("attempts are used up", rejected, once.copy(maxAttempts = 1)),
            Triple("the request has ended", rejected.ended(), again),
        ).map { (name, attempts, conditions) ->
            DynamicTest.dynamicTest(name) {
                assertThrows<IllegalStateException> { attempts.withBegun("b", repeated = false, conditions) }
            }
        }
    }

    private companion object {
        const val SEQUENCES = 2_000
        const val STEPS = 40
    }
}
