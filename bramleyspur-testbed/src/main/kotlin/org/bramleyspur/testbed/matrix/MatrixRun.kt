/*
 * Runs fault cases one after another on a deployment, which is repaired after each case and replaced if that fails.
 */
package org.bramleyspur.testbed.matrix

import java.io.File
import java.nio.file.Files
import java.util.Random
import java.util.concurrent.ExecutionException

/** Result of a fault case, which passed if [violations] is empty. */
internal data class FaultCaseResult(
    val name: String,
    val recoveryMs: Long,
    val attemptCount: Int,
    val violations: List<String>,
    val details: String,
) {
    /** Verdict as printed in the table. */
    val verdict: String get() = if (violations.isEmpty()) "kept" else "BROKEN"
}

/** Runs fault cases with the launchers under [root]; [seed] determines ports, load and random choices. */
internal class MatrixRun(private val root: File, private val seed: Long) : AutoCloseable {
    private class Environment(
        val deployment: Deployment,
        val log: CallAttemptLog,
        val callers: Callers,
        val backendInspector: BackendInspector,
    )

    private val random = Random(seed)
    private val workDir = Files.createTempDirectory("fault-matrix").toFile()
    private val reportedViolations = HashSet<String>()
    private var environment: Environment? = null
    private var deploymentCount = 0
    private var memberFaults = 0

    fun run(faultCase: FaultCase): FaultCaseResult {
        if (faultCase.failsReplicaMember) replaceBeforeFlapDamping()
        val current = environment ?: startDeployment()
        val scope = FaultCaseScope(current.deployment, current.callers, current.log, current.backendInspector, random)
        val caseStartNanos = System.nanoTime()
        val load = BackgroundLoad(current.callers, current.deployment.ports, seed + faultCase.name.hashCode())
        load.start()
        val violations = ArrayList<String>()
        collectViolations(violations) {
            Thread.sleep(LOAD_BEFORE_FAULT_MS)
            faultCase.steps(scope)
            Thread.sleep(faultCase.observationMs)
        }
        load.stop()
        collectViolations(violations) { faultCase.finalChecks(scope) }
        val attempts = current.log.since(caseStartNanos)
        violations += scope.violations + checkResponses(attempts, faultCase.allowedImpact)
        val failed = lastFailure(attempts, scope.faultNanos)
        val failedMs = failed?.let { (it.startNanos - scope.faultNanos) / NANOS_PER_MS } ?: 0
        if (failedMs > faultCase.maxRecoveryMs) {
            violations +=
                "failures until $failedMs ms after the fault, limit ${faultCase.maxRecoveryMs}: ${failed?.describe()}"
        }
        violations += checkSuccessAfter(attempts, scope.faultNanos + failedMs * NANOS_PER_MS)
        collectViolations(violations) { repair(current) }
        return FaultCaseResult(faultCase.name, failedMs, attempts.size, violations, scope.details.joinToString(", "))
    }

    override fun close() {
        environment?.callers?.close()
        environment?.deployment?.close()
        environment = null
    }

    /** Deletes logs and data. */
    fun deleteWorkDir() {
        workDir.deleteRecursively()
    }

    /** Path of logs and data. */
    val workPath: String get() = workDir.path

    /** An instance that fails three times within 10 minutes is excluded from use, which would affect the next case. */
    private fun replaceBeforeFlapDamping() {
        if (memberFaults == MAX_MEMBER_FAULTS) close()
        memberFaults = if (environment == null) 1 else memberFaults + 1
    }

    private fun checkSuccessAfter(attempts: List<CallAttempt>, nanos: Long): List<String> {
        val later = attempts.filter { it.startNanos > nanos && it.outcome == CallOutcome.COMPLETE }
        val streams = later.count { it.stream }
        val calls = later.size - streams
        if (streams >= MIN_SUCCESSES && calls >= MIN_SUCCESSES) return emptyList()
        return listOf("only $streams streams and $calls calls succeeded after the last failure")
    }

    private fun startDeployment(): Environment {
        val dataDir = File(workDir, "deployment-${++deploymentCount}").apply { mkdirs() }
        val deployment = Deployment(root, dataDir, Ports.free(random), seed)
        val log = CallAttemptLog()
        val next = Environment(deployment, log, Callers(deployment.ports, log), BackendInspector(deployment.ports))
        environment = next
        deployment.start()
        awaitHealth(next)
        return next
    }

    private fun repair(current: Environment) {
        try {
            current.deployment.repair()
            awaitHealth(current)
            val attempts = current.log.all()
            val violations =
                checkPlainRuns(attempts, current.backendInspector.plainRuns()) +
                    checkEngineRuns(attempts, current.backendInspector.engineRuns())
            val newViolations = violations.filter { reportedViolations.add(it) }
            check(newViolations.isEmpty()) { newViolations.joinToString("; ") }
        } catch (e: IllegalStateException) {
            close()
            environment = null
            throw e
        }
    }

    private fun awaitHealth(current: Environment) {
        waitFor("2 serving replicas", HEALTH_TIMEOUT_SECONDS) { current.backendInspector.readyReplicas().size == 2 }
        waitFor("ready agents and backend servers", HEALTH_TIMEOUT_SECONDS) { current.deployment.isReady() }
        waitFor("answers at both entries", HEALTH_TIMEOUT_SECONDS) {
            (1..ENTRIES).all { entry ->
                val stream = current.callers.stream(entry, 2).attempt.get()
                val call = current.callers.call(entry, current.callers.newKey(), 0).get()
                stream.outcome == CallOutcome.COMPLETE && call.outcome == CallOutcome.COMPLETE
            }
        }
        Thread.sleep(SETTLE_MS)
    }

    /** Runs [action] and records a failed wait as a violation. */
    private fun collectViolations(violations: MutableList<String>, action: () -> Unit) {
        try {
            action()
        } catch (e: IllegalStateException) {
            violations += e.message.orEmpty()
        } catch (e: ExecutionException) {
            violations += e.cause.toString()
        }
    }

    private companion object {
        const val LOAD_BEFORE_FAULT_MS = 1_000L
        const val SETTLE_MS = 500L
        const val HEALTH_TIMEOUT_SECONDS = 20L
        const val MIN_SUCCESSES = 3
        const val MAX_MEMBER_FAULTS = 2
    }
}
