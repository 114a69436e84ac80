/*
 * Fault cases for links: between an agent and its backend server, and to the control leader.
 */
package org.bramleyspur.testbed.matrix

private const val LONG_STREAM_TOKENS = 220
private const val PARTIAL_STREAM_TOKENS = 40
private const val STREAM_COUNT = 6
private const val LINK_FAULT_MS = 6_000L

private const val CUT_COMMAND = """{"command":"cut"}"""
private const val DROP_FORWARD_COMMAND = """{"command":"drop","direction":"forward"}"""
private const val DROP_BACKWARD_COMMAND = """{"command":"drop","direction":"backward"}"""
private const val DELAY_COMMAND = """{"command":"delay","delay_ms":100,"jitter_ms":100}"""
private const val RESTORE_COMMAND = """{"command":"restore"}"""

internal val LINK_CASES: List<FaultCase> = listOf(
    engineLink("cut", CUT_COMMAND),
    engineLink("drop-to-engine", DROP_FORWARD_COMMAND),
    engineLink("drop-from-engine", DROP_BACKWARD_COMMAND),
    engineLink("delay", DELAY_COMMAND, stopsStreams = false),
    plainLink("cut", CUT_COMMAND),
    plainLink("drop-to-server", DROP_FORWARD_COMMAND),
    plainLink("drop-from-server", DROP_BACKWARD_COMMAND),
    leaderLink("cut", CUT_COMMAND),
    leaderLink("drop-to-leader", DROP_FORWARD_COMMAND),
    leaderLink("drop-from-leader", DROP_BACKWARD_COMMAND),
)

private fun engineLink(kind: String, command: String, stopsStreams: Boolean = true) = FaultCase(
    "engine-link-$kind/half-streamed",
    observationMs = 4_000,
    maxRecoveryMs = 3_000,
    finalChecks = { if (stopsStreams) expectNoStreams(targetBackend, PARTIAL_REPLICA_STOP_MS, faultEndNanos) },
) {
    val streams = startStreams(STREAM_COUNT, LONG_STREAM_TOKENS, PARTIAL_STREAM_TOKENS)
    targetBackend = busiestReplica().firstMember
    injectFault { deployment.sendLinkCommand("b$targetBackend", command) }
    Thread.sleep(LINK_FAULT_MS)
    faultEndNanos = System.nanoTime()
    deployment.sendLinkCommand("b$targetBackend", RESTORE_COMMAND)
    expectComplete(streams)
}

private fun plainLink(kind: String, command: String) = FaultCase(
    "plain-link-$kind/begun",
    observationMs = 4_000,
    maxRecoveryMs = 3_000,
    finalChecks = { expectNoNewCalls(targetBackend, faultEndNanos) },
) {
    val key = callers.newKey()
    callers.call(1, key, delayMs = 600)
    targetBackend = awaitRunningServer(key)
    injectFault { deployment.sendLinkCommand("b$targetBackend", command) }
    val lastAttempt = callers.run { sendUntilOutcomeKnown(callers, key, firstEntry = 2, delayMs = 600) }
    Thread.sleep(LINK_FAULT_MS)
    faultEndNanos = System.nanoTime()
    deployment.sendLinkCommand("b$targetBackend", RESTORE_COMMAND)
    expectOutcome(lastAttempt.await())
}

private fun leaderLink(kind: String, command: String) = FaultCase(
    "leader-link-$kind/under-load",
    observationMs = 4_000,
    maxRecoveryMs = 0,
    AllowedImpact(refusals = false),
) {
    val leader = checkNotNull(deployment.leader()) { "no control leader" }
    injectFault { deployment.sendLinkCommand("c$leader", command) }
    expectOutcome(sendUntilOutcomeKnown(callers, callers.newKey(), firstEntry = 1, delayMs = 100))
    details += "first claim after ${sinceFaultMs()} ms"
    Thread.sleep(maxOf(0, LINK_FAULT_MS - sinceFaultMs()))
    deployment.sendLinkCommand("c$leader", RESTORE_COMMAND)
}
