/*
 * Runs rows one after another on a deployment, which is repaired after each row and replaced when that fails.
 */
package org.bramleyspur.testbed.matrix

import java.io.File
import java.nio.file.Files
import java.util.Random
import java.util.concurrent.ExecutionException

/** What became of a row; it is kept when [problems] is empty. */
internal data class RowResult(
    val name: String,
    val recoveryMs: Long,
    val tries: Int,
    val problems: List<String>,
    val notes: String,
) {
    /** Verdict as the table shows it. */
    val verdict: String get() = if (problems.isEmpty()) "kept" else "BROKEN"
}

/** Runs rows with the launchers under [root]; [seed] drives ports, load and choices. */
internal class MatrixRun(private val root: File, private val seed: Long) : AutoCloseable {
    private class Stage(val deployment: Deployment, val log: AnswerLog, val callers: Callers, val witness: Witness)

    private val random = Random(seed)
    private val work = Files.createTempDirectory("fault-matrix").toFile()
    private val known = HashSet<String>()
    private var stage: Stage? = null
    private var stages = 0
    private var memberFaults = 0

    /** Runs [row] and tells its result. */
    fun run(row: Row): RowResult {
        if (row.faultsMember) renewBeforeFlapDamping()
        val current = stage ?: open()
        val scope = RowScope(current.deployment, current.callers, current.log, current.witness, random)
        val rowStart = System.nanoTime()
        val load = Load(current.callers, current.deployment.ports, seed + row.name.hashCode())
        load.start()
        val problems = ArrayList<String>()
        attempt(problems) {
            Thread.sleep(LEAD_MS)
            row.steps(scope)
            Thread.sleep(row.watchMs)
        }
        load.stop()
        attempt(problems) { row.after(scope) }
        val answers = current.log.since(rowStart)
        problems += scope.problems + checkAnswers(answers, row.allowed)
        val last = lastFailure(answers, scope.faultNanos)
        val recovery = last?.let { (it.startNanos - scope.faultNanos) / NANOS_PER_MS } ?: 0
        if (recovery > row.recoverMs) {
            problems += "requests failed until $recovery ms after the fault, not ${row.recoverMs}: ${last?.describe()}"
        }
        problems += successAfter(answers, scope.faultNanos + recovery * NANOS_PER_MS)
        attempt(problems) { repair(current) }
        return RowResult(row.name, recovery, answers.size, problems, scope.notes.joinToString(", "))
    }

    override fun close() {
        stage?.callers?.close()
        stage?.deployment?.close()
        stage = null
    }

    /** Removes logs and data. */
    fun discard() {
        work.deleteRecursively()
    }

    /** Where logs and data are. */
    val folder: String get() = work.path

    /** A third failure of an instance within 10 minutes keeps it out of use, which the next row would see. */
    private fun renewBeforeFlapDamping() {
        if (memberFaults == MEMBER_FAULTS) close()
        memberFaults = if (stage == null) 1 else memberFaults + 1
    }

    private fun successAfter(answers: List<Answer>, nanos: Long): List<String> {
        val later = answers.filter { it.startNanos > nanos && it.ending == Ending.COMPLETE }
        val streams = later.count { it.stream }
        val calls = later.size - streams
        if (streams >= ENOUGH && calls >= ENOUGH) return emptyList()
        return listOf("only $streams streams and $calls calls succeeded after the last failure")
    }

    private fun open(): Stage {
        val folder = File(work, "deployment-${++stages}").apply { mkdirs() }
        val deployment = Deployment(root, folder, Ports.free(random), seed)
        val log = AnswerLog()
        val next = Stage(deployment, log, Callers(deployment.ports, log), Witness(deployment.ports))
        stage = next
        deployment.start()
        awaitHealth(next)
        return next
    }

    private fun repair(current: Stage) {
        try {
            current.deployment.repair()
            awaitHealth(current)
            val answers = current.log.all()
            val found =
                checkPlainRuns(answers, current.witness.plain()) + checkEngineRuns(answers, current.witness.engines())
            val news = found.filter { known.add(it) }
            check(news.isEmpty()) { news.joinToString("; ") }
        } catch (e: IllegalStateException) {
            close()
            stage = null
            throw e
        }
    }

    private fun awaitHealth(current: Stage) {
        waitFor("2 serving replicas", HEALTH_SECONDS) { current.witness.replicas().size == 2 }
        waitFor("ready agents and backend servers", HEALTH_SECONDS) { current.deployment.ready() }
        waitFor("answers at both entries", HEALTH_SECONDS) {
            (1..ENTRIES).all { entry ->
                val stream = current.callers.stream(entry, 2).answer.get()
                val call = current.callers.call(entry, current.callers.newKey(), 0).get()
                stream.ending == Ending.COMPLETE && call.ending == Ending.COMPLETE
            }
        }
        Thread.sleep(SETTLE_MS)
    }

    /** Runs [action]; a failed wait is a problem of the row. */
    private fun attempt(problems: MutableList<String>, action: () -> Unit) {
        try {
            action()
        } catch (e: IllegalStateException) {
            problems += e.message.orEmpty()
        } catch (e: ExecutionException) {
            problems += e.cause.toString()
        }
    }

    private companion object {
        const val LEAD_MS = 1_000L
        const val SETTLE_MS = 500L
        const val HEALTH_SECONDS = 20L
        const val ENOUGH = 3
        const val MEMBER_FAULTS = 2
    }
}
