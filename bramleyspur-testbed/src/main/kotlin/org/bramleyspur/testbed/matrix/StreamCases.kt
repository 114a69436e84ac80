/*
 * Fault cases for streams: crash, freeze and planned stop of agents, engines and entries.
 */
package org.bramleyspur.testbed.matrix

private const val LONG_STREAM_TOKENS = 220

/** Tokens received before the fault, and length of a short stream. */
private const val PARTIAL_STREAM_TOKENS = 40
private const val STREAM_COUNT = 6
private const val FREEZE_MS = 5_000L

/** Limit for stopping a replica after a member failed: 1 s for detection, 0.8 s for the last confirmation to expire. */
internal const val PARTIAL_REPLICA_STOP_MS = 1_800L

internal val STREAM_CASES: List<FaultCase> = listOf(
    memberKill("agent-first-kill") { deployment.agents[it.firstMember - 1].kill() },
    memberKill("agent-other-kill") { deployment.agents[it.otherMember - 1].kill() },
    engineKill("engine-first-kill") { it.firstMember },
    engineKill("engine-other-kill") { it.otherMember },
    memberFreeze("agent-first-freeze") { deployment.agents[it.firstMember - 1] },
    memberFreeze("agent-other-freeze") { deployment.agents[it.otherMember - 1] },
    memberFreeze("engine-first-freeze") { deployment.backends[it.firstMember - 1] },
    memberFreeze("engine-other-freeze") { deployment.backends[it.otherMember - 1] },
    plannedStop("agent-first-stop") { deployment.agents[it.firstMember - 1] },
    plannedStop("agent-other-stop") { deployment.agents[it.otherMember - 1] },
    plannedStop("entry-stop") { deployment.entries[0] },
    FaultCase(
        "entry-kill/half-streamed",
        observationMs = 4_000,
        maxRecoveryMs = 1_000,
        AllowedImpact(brokenConnections = true),
    ) {
        val streams = startStreams(STREAM_COUNT, LONG_STREAM_TOKENS, PARTIAL_STREAM_TOKENS)
        injectFault { deployment.entries[0].kill() }
        val otherEntryAttempts = streams.mapNotNull { it.attempt.await() }.filter { it.entry != 1 }
        otherEntryAttempts.filter { it.outcome != CallOutcome.COMPLETE }.forEach {
            violations +=
                "not completed: ${it.describe()}"
        }
    },
    FaultCase("limited-account/after-idle", observationMs = 500, maxRecoveryMs = 0, AllowedImpact(refusals = false)) {
        repeat(5) { round ->
            val streams = (1..STREAM_COUNT).map {
                callers.stream(round % ENTRIES + 1, PARTIAL_STREAM_TOKENS, LIMITED_KEY)
            }
            expectComplete(streams)
            Thread.sleep(1_500)
        }
    },
)

private fun memberKill(name: String, kill: FaultCaseScope.(ReplicaView) -> Unit) = FaultCase(
    "$name/half-streamed",
    observationMs = 5_000,
    maxRecoveryMs = 3_000,
    finalChecks = { expectNoStreams(targetBackend, PARTIAL_REPLICA_STOP_MS) },
    failsReplicaMember = true,
) {
    val streams = startStreams(STREAM_COUNT, LONG_STREAM_TOKENS, PARTIAL_STREAM_TOKENS)
    val replica = busiestReplica()
    targetBackend = replica.firstMember
    injectFault { kill(replica) }
    expectComplete(streams)
}

private fun engineKill(name: String, choose: (ReplicaView) -> Int) = FaultCase(
    "$name/half-streamed",
    observationMs = 5_000,
    maxRecoveryMs = 3_000,
    finalChecks = { if (targetBackend > 0) expectNoStreams(targetBackend, PARTIAL_REPLICA_STOP_MS) },
    failsReplicaMember = true,
) {
    val streams = startStreams(STREAM_COUNT, LONG_STREAM_TOKENS, PARTIAL_STREAM_TOKENS)
    val replica = busiestReplica()
    val engine = choose(replica)
    if (engine != replica.firstMember) targetBackend = replica.firstMember
    backendInspector.saveRuns(engine)
    injectFault { deployment.backends[engine - 1].kill() }
    expectComplete(streams)
}

private fun memberFreeze(name: String, choose: FaultCaseScope.(ReplicaView) -> ManagedProcess) = FaultCase(
    "$name/half-streamed",
    observationMs = 4_000,
    maxRecoveryMs = 3_000,
    finalChecks = { expectNoStreams(targetBackend, PARTIAL_REPLICA_STOP_MS, faultEndNanos) },
    failsReplicaMember = true,
) {
    val streams = startStreams(STREAM_COUNT, LONG_STREAM_TOKENS, PARTIAL_STREAM_TOKENS)
    val replica = busiestReplica()
    targetBackend = replica.firstMember
    val process = choose(replica)
    injectFault { process.freeze() }
    Thread.sleep(FREEZE_MS)
    faultEndNanos = System.nanoTime()
    process.resume()
    expectComplete(streams)
}

private fun plannedStop(name: String, choose: FaultCaseScope.(ReplicaView) -> ManagedProcess) = FaultCase(
    "$name/half-streamed",
    observationMs = 4_000,
    maxRecoveryMs = 1_000,
    AllowedImpact(interruptedStreams = false),
) {
    val streams = startStreams(STREAM_COUNT, LONG_STREAM_TOKENS, PARTIAL_STREAM_TOKENS)
    val process = choose(busiestReplica())
    injectFault { process.stop() }
    expectComplete(streams)
    expectCleanExit(process)
}
