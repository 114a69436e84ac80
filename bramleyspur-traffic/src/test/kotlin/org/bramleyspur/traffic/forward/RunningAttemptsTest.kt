package org.bramleyspur.traffic.forward

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

/**
 * Guards against a request that ends while one of its attempts is running, a stream that is joined from two runs that
 * began at the same place, and more attempts than the route or the retry budget allows.
 */
class RunningAttemptsTest {
    /** An attempt that began its run after the event [startedAt]. */
    private class Run(val server: Int, val startedAt: Int)

    /** A stream of [EVENTS] events whose backend servers do anything at any time. */
    private class Model(seed: Int) {
        val random = Random(seed)
        var running = RunningAttempts<Run>()
        var servers = 0
        val superseded = ArrayList<Int>()
        var retries = 0
        var lastEvent = 0
        var lastRun: Run? = null
        var last: NextStep? = null
        val budget = random.nextInt(4)
        val maxAttempts = 1 + random.nextInt(4)

        fun progress(without: Run?) = RequestProgress(
            idempotent = true,
            resumable = true,
            otherAttempts = running.besides(without),
            maxAttempts = maxAttempts,
            sentAttempts = servers,
            unsentAttempts = 0,
            supersededServers = superseded.size,
            mayHaveRun = true,
            responseStarted = lastEvent > 0,
            remainingMs = 1_000,
        )

        fun send(server: Int = servers++) {
            running = running.withSent(Run(server, lastEvent))
        }

        fun step() {
            val run = running.attempts.random(random)
            when (random.nextInt(4)) {
                0 -> deliver(run)
                1, 2 -> onSilent(run)
                else -> end(run)
            }
        }

        fun deliver(run: Run) {
            if (run !== lastRun) expectThat(run.startedAt).isEqualTo(lastEvent)
            superseded += running.attempts.filter { it !== run }.map { it.server }
            running = running.withTakeOver(run)
            expectThat(running.attempts).isEqualTo(listOf(run))
            lastRun = run
            lastEvent++
        }

        fun onSilent(run: Run) {
            running = running.withSilent(run)
            if (!maySendBesideSilent(progress(null), retries < budget)) return
            retries++
            send()
        }

        fun end(run: Run) {
            val before = running.besides(run)
            running = running.without(run)
            last = nextStep(progress(run), AttemptEnd.BrokenOff, retries < budget).also {
                if (it is NextStep.SendAgain) retries++
                if (it is NextStep.SendAgain) if (it.toSuperseded) send(superseded.removeFirst()) else send()
                if (it is NextStep.AwaitRunning) expectThat(before).isEqualTo(running.besides(null))
            }
        }
    }

    @TestFactory
    fun `any sequence of silences, events and ends`() = listOf(1, 2).map { part ->
        DynamicTest.dynamicTest("seeds $part") {
            var joinedRuns = 0
            repeat(SEQUENCES) { index ->
                val model = Model(part * SEQUENCES + index).apply { send() }
                while (model.running.attempts.isNotEmpty() && model.lastEvent < EVENTS) {
                    model.step()
                    val ended = model.last == NextStep.BreakOff || model.last == NextStep.FailUnknown
                    expectThat(model.running.attempts.isEmpty()).isEqualTo(ended)
                    expectThat(model.servers).isLessThanOrEqualTo(model.maxAttempts)
                    expectThat(model.retries).isLessThanOrEqualTo(model.budget)
                }
                if ((model.lastRun?.startedAt ?: 0) > 0) joinedRuns++
            }
            expectThat(joinedRuns).isGreaterThan(SEQUENCES / 20)
        }
    }

    private companion object {
        const val EVENTS = 8
        const val SEQUENCES = 2_000
    }
}
