/*
 * Fault cases for non-idempotent plain calls with an idempotency key, with the fault injected at each step of the call.
 * The caller retries through the other entry.
 */
package org.bramleyspur.testbed.matrix

private const val CALL_DURATION_MS = 600L
private const val MAX_INJECTION_JITTER_MS = 12
private const val FREEZE_MS = 7_000L
private val FIRST_PLAIN_BACKEND = ENGINES + 1

/** Step of the call at which the fault is injected. */
private enum class CallStep(val text: String) {
    ACCEPTED("accepted"),
    CLAIMED("claimed"),
    BEGUN("begun"),
    ANSWERED("answered"),
    ACKNOWLEDGED("acknowledged"),
}

internal val CALL_CASES: List<FaultCase> =
    CallStep.entries.map { entryKill(it) } +
        listOf(CallStep.ACCEPTED, CallStep.BEGUN, CallStep.ANSWERED).map { agentKill(it) } +
        listOf(
            FaultCase("plain-kill/begun", observationMs = 4_000, maxRecoveryMs = 3_000) {
                val key = callers.newKey()
                callers.call(1, key, CALL_DURATION_MS)
                val server = awaitRunningServer(key)
                backendInspector.saveRuns(server)
                injectFault { deployment.backends[server - 1].kill() }
                expectOutcome(sendUntilOutcomeKnown(callers, key, firstEntry = 2, CALL_DURATION_MS))
            },
            plainFreeze("plain-freeze") { deployment.backends[it - 1] },
            plainFreeze("plain-agent-freeze") { deployment.agents[it - 1] },
            FaultCase(
                "plain-agent-stop/begun",
                observationMs = 6_000,
                maxRecoveryMs = 0,
                AllowedImpact(refusals = false),
                finalChecks = { expectNoNewCalls(targetBackend, System.nanoTime()) },
            ) {
                val key = callers.newKey()
                val first = callers.call(1, key, delayMs = 2_000)
                targetBackend = awaitRunningServer(key)
                injectFault { deployment.agents[targetBackend - 1].stop() }
                val attempt = first.get()
                if (attempt.outcome != CallOutcome.COMPLETE) violations += "not completed: ${attempt.describe()}"
                expectCleanExit(deployment.agents[targetBackend - 1])
            },
            FaultCase(
                "entry-freeze/begun",
                observationMs = 3_000,
                maxRecoveryMs = 9_000,
                AllowedImpact(brokenConnections = true, maxTokenGapMs = 12_000),
            ) {
                val key = callers.newKey()
                callers.call(1, key, delayMs = 1_500)
                awaitRunningServer(key)
                injectFault { deployment.entries[0].freeze() }
                expectOutcome(sendUntilOutcomeKnown(callers, key, firstEntry = 2, delayMs = 1_500) { listOf(2) })
                Thread.sleep(maxOf(0, FREEZE_MS - sinceFaultMs()))
                deployment.entries[0].resume()
            },
        )

private fun FaultCaseScope.runCallUntil(step: CallStep, key: String) {
    val first = callers.call(1, key, CALL_DURATION_MS)
    when (step) {
        CallStep.ACCEPTED -> Thread.sleep(random.nextInt(3).toLong())
        CallStep.CLAIMED -> Thread.sleep(3 + random.nextInt(MAX_INJECTION_JITTER_MS).toLong())
        CallStep.BEGUN -> awaitRunningServer(key)
        CallStep.ANSWERED -> Thread.sleep(CALL_DURATION_MS + random.nextInt(2 * MAX_INJECTION_JITTER_MS))
        CallStep.ACKNOWLEDGED -> first.get()
    }
}

private fun entryKill(step: CallStep) = FaultCase(
    "entry-kill/${step.text}",
    observationMs = 3_000,
    maxRecoveryMs = 1_000,
    AllowedImpact(brokenConnections = true),
) {
    val key = callers.newKey()
    runCallUntil(step, key)
    injectFault { deployment.entries[0].kill() }
    expectOutcome(sendUntilOutcomeKnown(callers, key, firstEntry = 2, CALL_DURATION_MS))
}

private fun agentKill(step: CallStep) = FaultCase(
    "plain-agent-kill/${step.text}",
    observationMs = 4_000,
    maxRecoveryMs = 3_000,
) {
    val key = callers.newKey()
    runCallUntil(step, key)
    val runningServer = (FIRST_PLAIN_BACKEND..BACKENDS).firstOrNull { key in backendInspector.currentRuns(it).byKey }
    targetBackend = runningServer ?: (FIRST_PLAIN_BACKEND + random.nextInt(2))
    injectFault { deployment.agents[targetBackend - 1].kill() }
    expectOutcome(sendUntilOutcomeKnown(callers, key, firstEntry = 2, CALL_DURATION_MS))
}

private fun plainFreeze(name: String, choose: FaultCaseScope.(Int) -> ManagedProcess) = FaultCase(
    "$name/begun",
    observationMs = 4_000,
    maxRecoveryMs = 3_000,
    finalChecks = { expectNoNewCalls(targetBackend, faultEndNanos) },
) {
    val key = callers.newKey()
    callers.call(1, key, CALL_DURATION_MS)
    targetBackend = awaitRunningServer(key)
    val process = choose(targetBackend)
    injectFault { process.freeze() }
    val lastAttempt = callers.run { sendUntilOutcomeKnown(callers, key, firstEntry = 2, CALL_DURATION_MS) }
    Thread.sleep(FREEZE_MS)
    faultEndNanos = System.nanoTime()
    process.resume()
    expectOutcome(lastAttempt.await())
}
