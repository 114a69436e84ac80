/*
 * Rows whose faults meet streams: crash, pause and planned stop of agents, engines and entries.
 */
package org.bramleyspur.testbed.matrix

private const val LONG_STREAM = 220
private const val HALF = 40
private const val COUNT = 6
private const val FREEZE_MS = 5_000L

/** A failed member stops its replica within this time: 1 s to find it and 0.8 s for the last confirmation to end. */
internal const val PARTIAL_MS = 1_800L

internal val STREAM_ROWS: List<Row> = listOf(
    memberKill("agent-first-kill") { deployment.agents[it.first - 1].kill() },
    memberKill("agent-other-kill") { deployment.agents[it.other - 1].kill() },
    engineKill("engine-first-kill") { it.first },
    engineKill("engine-other-kill") { it.other },
    memberFreeze("agent-first-freeze") { deployment.agents[it.first - 1] },
    memberFreeze("agent-other-freeze") { deployment.agents[it.other - 1] },
    memberFreeze("engine-first-freeze") { deployment.backends[it.first - 1] },
    memberFreeze("engine-other-freeze") { deployment.backends[it.other - 1] },
    plannedStop("agent-first-stop") { deployment.agents[it.first - 1] },
    plannedStop("agent-other-stop") { deployment.agents[it.other - 1] },
    plannedStop("entry-stop") { deployment.entries[0] },
    Row("entry-kill/half-streamed", watchMs = 4_000, recoverMs = 1_000, Allowance(brokenConnections = true)) {
        val streams = streams(COUNT, LONG_STREAM, HALF)
        fault { deployment.entries[0].kill() }
        val survivors = streams.mapNotNull { it.answer.await() }.filter { it.entry != 1 }
        survivors.filter { it.ending != Ending.COMPLETE }.forEach { problems += "not completed: ${it.describe()}" }
    },
    Row("limited-account/after-idle", watchMs = 500, recoverMs = 0, Allowance(refusals = false)) {
        repeat(5) { round ->
            val streams = (1..COUNT).map { callers.stream(round % ENTRIES + 1, HALF, LIMITED_KEY) }
            expectComplete(streams)
            Thread.sleep(1_500)
        }
    },
)

private fun memberKill(name: String, kill: RowScope.(ReplicaView) -> Unit) = Row(
    "$name/half-streamed",
    watchMs = 5_000,
    recoverMs = 3_000,
    after = { expectNoStreams(target, PARTIAL_MS) },
    faultsMember = true,
) {
    val streams = streams(COUNT, LONG_STREAM, HALF)
    val replica = busiestReplica()
    target = replica.first
    fault { kill(replica) }
    expectComplete(streams)
}

private fun engineKill(name: String, choose: (ReplicaView) -> Int) = Row(
    "$name/half-streamed",
    watchMs = 5_000,
    recoverMs = 3_000,
    after = { if (target > 0) expectNoStreams(target, PARTIAL_MS) },
    faultsMember = true,
) {
    val streams = streams(COUNT, LONG_STREAM, HALF)
    val replica = busiestReplica()
    val victim = choose(replica)
    if (victim != replica.first) target = replica.first
    witness.keep(victim)
    fault { deployment.backends[victim - 1].kill() }
    expectComplete(streams)
}

private fun memberFreeze(name: String, choose: RowScope.(ReplicaView) -> ManagedProcess) = Row(
    "$name/half-streamed",
    watchMs = 4_000,
    recoverMs = 3_000,
    after = { expectNoStreams(target, PARTIAL_MS, untilNanos) },
    faultsMember = true,
) {
    val streams = streams(COUNT, LONG_STREAM, HALF)
    val replica = busiestReplica()
    target = replica.first
    val victim = choose(replica)
    fault { victim.freeze() }
    Thread.sleep(FREEZE_MS)
    untilNanos = System.nanoTime()
    victim.resume()
    expectComplete(streams)
}

private fun plannedStop(name: String, choose: RowScope.(ReplicaView) -> ManagedProcess) = Row(
    "$name/half-streamed",
    watchMs = 4_000,
    recoverMs = 1_000,
    Allowance(cutStreams = false),
) {
    val streams = streams(COUNT, LONG_STREAM, HALF)
    val victim = choose(busiestReplica())
    fault { victim.stop() }
    expectComplete(streams)
    expectCleanExit(victim)
}
