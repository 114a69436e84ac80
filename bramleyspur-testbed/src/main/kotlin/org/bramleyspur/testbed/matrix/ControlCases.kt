/*
 * Fault cases for the control leader. A leader change must refuse no request, since leases outlast it.
 */
package org.bramleyspur.testbed.matrix

private const val FREEZE_MS = 6_000L

internal val CONTROL_CASES: List<FaultCase> = listOf(
    leaderFault("leader-kill/under-load") { it.kill() },
    leaderFault("leader-stop/under-load") { it.stop() },
    leaderFault("leader-freeze/under-load") {
        it.freeze()
        Thread.sleep(FREEZE_MS)
        it.resume()
    },
    FaultCase("leader-kill/begun", observationMs = 4_000, maxRecoveryMs = 0, AllowedImpact(refusals = false)) {
        val leader = leaderProcess()
        val key = callers.newKey()
        val first = callers.call(1, key, delayMs = 800)
        awaitRunningServer(key)
        injectFault { leader.kill() }
        val attempt = first.get()
        details += "answer recorded after ${sinceFaultMs()} ms"
        if (attempt.outcome != CallOutcome.COMPLETE) violations += "answer not recorded: ${attempt.describe()}"
        expectOutcome(sendUntilOutcomeKnown(callers, key, firstEntry = 2, delayMs = 800))
    },
)

private fun FaultCaseScope.leaderProcess(): ManagedProcess {
    val leader = checkNotNull(deployment.leader()) { "no control leader" }
    return deployment.control[leader - 1]
}

private fun leaderFault(name: String, action: (ManagedProcess) -> Unit) =
    FaultCase(name, observationMs = 6_000, maxRecoveryMs = 0, AllowedImpact(refusals = false)) {
        val leader = leaderProcess()
        injectFault { callers.run { action(leader) } }
        Thread.sleep(100)
        expectOutcome(sendUntilOutcomeKnown(callers, callers.newKey(), firstEntry = 1, delayMs = 100))
        details += "first claim after ${sinceFaultMs()} ms"
    }
