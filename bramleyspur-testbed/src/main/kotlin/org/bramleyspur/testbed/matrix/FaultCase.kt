/*
 * A case of the fault matrix, and the operations available to its steps.
 */
package org.bramleyspur.testbed.matrix

import java.util.Random

/**
 * A fault case; [name] is `FAULT/STEP`.
 *
 * @property observationMs milliseconds for which the load continues after the steps
 * @property maxRecoveryMs longest allowed milliseconds from the fault to the start of the last failed request
 * @property failsReplicaMember whether a replica member fails; an instance is excluded from use after three failures
 * @property steps actions executed while the load runs
 * @property finalChecks checks after the load has ended, before the deployment is repaired
 */
internal class FaultCase(
    val name: String,
    val observationMs: Long,
    val maxRecoveryMs: Long,
    val allowedImpact: AllowedImpact = AllowedImpact(),
    val finalChecks: FaultCaseScope.() -> Unit = {},
    val failsReplicaMember: Boolean = false,
    val steps: FaultCaseScope.() -> Unit,
)

/** The deployment and helpers that a fault case uses. */
internal class FaultCaseScope(
    val deployment: Deployment,
    val callers: Callers,
    val log: CallAttemptLog,
    val backendInspector: BackendInspector,
    val random: Random,
) {
    /** Violations found by the case itself. */
    val violations = ArrayList<String>()

    /** Details printed with the verdict. */
    val details = ArrayList<String>()

    /** Time of the fault, by [System.nanoTime]. */
    var faultNanos = System.nanoTime()
        private set

    /** Number of the backend server affected by the fault; 0 for none. */
    var targetBackend = 0

    /** Time at which the fault ended, by [System.nanoTime]. */
    var faultEndNanos = Long.MAX_VALUE

    /** Injects a fault and records its time. */
    fun injectFault(action: () -> Unit) {
        faultNanos = System.nanoTime()
        action()
    }

    fun sinceFaultMs(): Long = (System.nanoTime() - faultNanos) / NANOS_PER_MS

    /** Returns the serving replica with the most running streams, so that the fault affects some of them. */
    fun busiestReplica(): ReplicaView {
        val replica = backendInspector.readyReplicas().maxBy { it.runningGenerations }
        details += "${replica.runningGenerations} streams on the replica"
        return replica
    }

    /** Starts [count] streams of [length] tokens at both entries and waits for [received] tokens of each. */
    fun startStreams(count: Int, length: Int, received: Int): List<RunningStream> {
        val streams = (1..count).map { callers.stream(it % ENTRIES + 1, length) }
        waitFor("$received tokens of $count streams", STREAM_TIMEOUT_SECONDS) {
            streams.all { it.tokens.get() >= received || it.attempt.isDone }
        }
        return streams
    }

    /** Records a violation for each of [streams] that does not complete; adds the longest token gap to [details]. */
    fun expectComplete(streams: List<RunningStream>) {
        val attempts = streams.mapNotNull { it.attempt.await() }
        attempts.filter { it.outcome != CallOutcome.COMPLETE }
            .forEach { violations += "not completed: ${it.describe()}" }
        details += "${attempts.count { it.outcome == CallOutcome.COMPLETE }}/${streams.size} streams complete"
        details += "longest gap ${attempts.maxOf { it.longestTokenGapNanos } / NANOS_PER_MS} ms"
    }

    /** Records a violation unless the call is complete or its outcome is reported as unknown. */
    fun expectOutcome(attempt: CallAttempt?) {
        if (attempt == null) return
        details += "call ended ${attempt.outcome}"
        val resolved = attempt.outcome == CallOutcome.COMPLETE ||
            (attempt.outcome == CallOutcome.MAY_HAVE_RUN && !attempt.inProgress)
        if (!resolved) violations += "no outcome after resends: ${attempt.describe()}"
    }

    /**
     * Records a violation for each stream that began [afterMs] or more after the fault and received a token from
     * [engine] before [beforeNanos]. A stream that an agent received while it was frozen may start once the agent and
     * its replica have recovered.
     */
    fun expectNoStreams(engine: Int, afterMs: Long, beforeNanos: Long = System.nanoTime()) {
        val requestsOnEngine = backendInspector.currentRuns(engine).byRequest.keys
        val laterStreams = log.since(faultNanos + afterMs * NANOS_PER_MS)
            .filter { it.stream && it.startNanos < beforeNanos }
        val (violating, delayedStreams) = laterStreams.filter { it.requestId in requestsOnEngine }
            .partition { it.firstTokenNanos < beforeNanos }
        violating.forEach {
            violations += "ran on the partial replica after ${(it.startNanos - faultNanos) / NANOS_PER_MS} ms"
        }
        delayedStreams.forEach {
            details += "a stream of ${(it.startNanos - faultNanos) / NANOS_PER_MS} ms after the fault got its first " +
                "token ${(it.firstTokenNanos - beforeNanos) / NANOS_PER_MS} ms after the fault had ended"
        }
        details += "${violating.size} of ${laterStreams.size} later streams on engine $engine"
    }

    /**
     * Records a violation for each call that ran on [server] although all its attempts were sent more than
     * [ISOLATION_MS] after the fault and ended before [beforeNanos].
     */
    fun expectNoNewCalls(server: Int, beforeNanos: Long) {
        val keysOnServer = backendInspector.currentRuns(server).byKey.keys
        val lateCalls = log.all().filter { it.idempotencyKey != null }
            .groupBy { it.idempotencyKey }.filterValues { attempts ->
                attempts.all { it.startNanos > faultNanos + ISOLATION_MS * NANOS_PER_MS && it.endNanos < beforeNanos }
            }
        lateCalls.keys
            .filter { it in keysOnServer }
            .forEach { violations += "$it began on server $server more than 3 s after the fault" }
        details += "${lateCalls.keys.count { it !in keysOnServer }} later calls elsewhere"
    }

    /** Waits until the call [key] has begun to run and returns the number of its plain backend server. */
    fun awaitRunningServer(key: String): Int {
        var server = 0
        waitFor("run of $key", RUN_TIMEOUT_SECONDS) {
            server = (ENGINES + 1..BACKENDS).firstOrNull { key in backendInspector.currentRuns(it).byKey } ?: 0
            server > 0
        }
        return server
    }

    /** Records a violation if [process] does not exit with code 0 after its planned stop. */
    fun expectCleanExit(process: ManagedProcess) {
        val exitCode = process.exitCode(EXIT_TIMEOUT_SECONDS)
        if (exitCode != 0) violations += "${process.name} exited with $exitCode after a planned stop"
        details += "stopped after ${sinceFaultMs()} ms"
    }

    private companion object {
        const val STREAM_TIMEOUT_SECONDS = 10L
        const val RUN_TIMEOUT_SECONDS = 3L
        const val EXIT_TIMEOUT_SECONDS = 15L
        const val ISOLATION_MS = 3_000L
    }
}
