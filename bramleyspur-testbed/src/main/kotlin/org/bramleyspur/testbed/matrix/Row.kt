/*
 * A row of the matrix, and what its steps can do to the deployment.
 */
package org.bramleyspur.testbed.matrix

import java.util.Random

/**
 * A row: [name] is `FAULT/STEP`.
 *
 * @property watchMs time in milliseconds that the load goes on after the steps
 * @property recoverMs longest allowed time from the fault to the start of the last failed request
 * @property faultsMember whether a member of a replica fails; an instance that fails three times is kept out of use
 * @property steps what is done while the load runs
 * @property after checks after the load has ended, before the deployment is repaired
 */
internal class Row(
    val name: String,
    val watchMs: Long,
    val recoverMs: Long,
    val allowed: Allowance = Allowance(),
    val after: RowScope.() -> Unit = {},
    val faultsMember: Boolean = false,
    val steps: RowScope.() -> Unit,
)

/** The deployment as a row sees it. */
internal class RowScope(
    val deployment: Deployment,
    val callers: Callers,
    val log: AnswerLog,
    val witness: Witness,
    val random: Random,
) {
    /** Broken promises that the row itself has found. */
    val problems = ArrayList<String>()

    /** What the row tells beside its verdict. */
    val notes = ArrayList<String>()

    /** Time of the fault by [System.nanoTime]. */
    var faultNanos = System.nanoTime()
        private set

    /** Backend server that the fault concerns; 0 for none. */
    var target = 0

    /** Time by [System.nanoTime] at which the fault was ended. */
    var untilNanos = Long.MAX_VALUE

    /** Applies a fault and notes its time. */
    fun fault(action: () -> Unit) {
        faultNanos = System.nanoTime()
        action()
    }

    /** Milliseconds since the fault. */
    fun sinceFaultMs(): Long = (System.nanoTime() - faultNanos) / NANOS_PER_MS

    /** The serving replica with the most running streams, so that a fault meets some; notes how many. */
    fun busiestReplica(): ReplicaView {
        val replica = witness.replicas().maxBy { it.running }
        notes += "${replica.running} streams on it"
        return replica
    }

    /** Streams of [length] tokens at both entries that have received [received] tokens each. */
    fun streams(count: Int, length: Int, received: Int): List<RunningStream> {
        val streams = (1..count).map { callers.stream(it % ENTRIES + 1, length) }
        waitFor("$received tokens of $count streams", STREAM_SECONDS) {
            streams.all { it.tokens.get() >= received || it.answer.isDone }
        }
        return streams
    }

    /** Notes a problem for each of [streams] that does not end complete, and the longest gap between tokens. */
    fun expectComplete(streams: List<RunningStream>) {
        val answers = streams.mapNotNull { it.answer.await() }
        answers.filter { it.ending != Ending.COMPLETE }.forEach { problems += "not completed: ${it.describe()}" }
        notes += "${answers.count { it.ending == Ending.COMPLETE }}/${streams.size} streams complete"
        notes += "longest gap ${answers.maxOf { it.longestGapNanos } / NANOS_PER_MS} ms"
    }

    /** Notes a problem when a call is not known to be complete or said to be unknown. */
    fun expectOutcome(answer: Answer?) {
        if (answer == null) return
        notes += "call ended ${answer.ending}"
        val known = answer.ending == Ending.COMPLETE || (answer.ending == Ending.MAY_HAVE_RUN && !answer.inProgress)
        if (!known) problems += "no outcome after resends: ${answer.describe()}"
    }

    /**
     * Notes each stream that began [afterMs] or more after the fault and got a token from [engine] before [until]. A
     * stream that an agent got while it was frozen can begin when the agent and its replica are whole again.
     */
    fun expectNoStreams(engine: Int, afterMs: Long, until: Long = System.nanoTime()) {
        val ran = witness.current(engine).byRequest.keys
        val later = log.since(faultNanos + afterMs * NANOS_PER_MS).filter { it.stream && it.startNanos < until }
        val (late, waited) = later.filter { it.id in ran }.partition { it.firstNanos < until }
        late.forEach {
            problems += "ran on the partial replica after ${(it.startNanos - faultNanos) / NANOS_PER_MS} ms"
        }
        waited.forEach {
            notes += "a stream of ${(it.startNanos - faultNanos) / NANOS_PER_MS} ms got its first token " +
                "${(it.firstNanos - until) / NANOS_PER_MS} ms after the fault had ended"
        }
        notes += "${late.size} of ${later.size} later streams on engine $engine"
    }

    /** Notes each key first sent [NO_WORK_MS] or more after the fault and done before now that ran on [server]. */
    fun expectNoNewCalls(server: Int, untilNanos: Long) {
        val ran = witness.current(server).byKey.keys
        val late = log.all().filter { it.key != null }.groupBy { it.key }.filterValues { tries ->
            tries.all { it.startNanos > faultNanos + NO_WORK_MS * NANOS_PER_MS && it.endNanos < untilNanos }
        }
        late.keys.filter {
            it in ran
        }.forEach { problems += "$it began on server $server more than 3 s after the fault" }
        notes += "${late.keys.count { it !in ran }} later calls elsewhere"
    }

    /** Number of the plain backend server that runs the call [key], once it has begun. */
    fun serverOf(key: String): Int {
        var server = 0
        waitFor("run of $key", RUN_SECONDS) {
            server = (ENGINES + 1..BACKENDS).firstOrNull { key in witness.current(it).byKey } ?: 0
            server > 0
        }
        return server
    }

    /** Notes a problem when [process] does not exit with code 0 after its planned stop. */
    fun expectCleanExit(process: ManagedProcess) {
        val code = process.exitCode(EXIT_SECONDS)
        if (code != 0) problems += "${process.name} exited with $code after a planned stop"
        notes += "stopped after ${sinceFaultMs()} ms"
    }

    private companion object {
        const val STREAM_SECONDS = 10L
        const val RUN_SECONDS = 3L
        const val EXIT_SECONDS = 15L
        const val NO_WORK_MS = 3_000L
    }
}
