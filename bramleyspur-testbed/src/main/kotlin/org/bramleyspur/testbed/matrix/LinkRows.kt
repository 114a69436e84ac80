/*
 * Rows whose faults meet links: between an agent and its backend server, and to the control leader.
 */
package org.bramleyspur.testbed.matrix

private const val LONG_STREAM = 220
private const val HALF = 40
private const val COUNT = 6
private const val CUT_MS = 6_000L

private const val CUT = """{"command":"cut"}"""
private const val DROP_FORWARD = """{"command":"drop","direction":"forward"}"""
private const val DROP_BACKWARD = """{"command":"drop","direction":"backward"}"""
private const val DELAY = """{"command":"delay","delay_ms":100,"jitter_ms":100}"""
private const val RESTORE = """{"command":"restore"}"""

internal val LINK_ROWS: List<Row> = listOf(
    engineLink("cut", CUT),
    engineLink("drop-to-engine", DROP_FORWARD),
    engineLink("drop-from-engine", DROP_BACKWARD),
    engineLink("delay", DELAY, stops = false),
    plainLink("cut", CUT),
    plainLink("drop-to-server", DROP_FORWARD),
    plainLink("drop-from-server", DROP_BACKWARD),
    leaderLink("cut", CUT),
    leaderLink("drop-to-leader", DROP_FORWARD),
    leaderLink("drop-from-leader", DROP_BACKWARD),
)

private fun engineLink(kind: String, command: String, stops: Boolean = true) = Row(
    "engine-link-$kind/half-streamed",
    watchMs = 4_000,
    recoverMs = 3_000,
    after = { if (stops) expectNoStreams(target, PARTIAL_MS, untilNanos) },
) {
    val streams = streams(COUNT, LONG_STREAM, HALF)
    target = busiestReplica().first
    fault { deployment.disturb("b$target", command) }
    Thread.sleep(CUT_MS)
    untilNanos = System.nanoTime()
    deployment.disturb("b$target", RESTORE)
    expectComplete(streams)
}

private fun plainLink(kind: String, command: String) = Row(
    "plain-link-$kind/begun",
    watchMs = 4_000,
    recoverMs = 3_000,
    after = { expectNoNewCalls(target, untilNanos) },
) {
    val key = callers.newKey()
    callers.call(1, key, delayMs = 600)
    target = serverOf(key)
    fault { deployment.disturb("b$target", command) }
    val resent = callers.run { resending(callers, key, firstEntry = 2, delayMs = 600) }
    Thread.sleep(CUT_MS)
    untilNanos = System.nanoTime()
    deployment.disturb("b$target", RESTORE)
    expectOutcome(resent.await())
}

private fun leaderLink(kind: String, command: String) =
    Row("leader-link-$kind/under-load", watchMs = 4_000, recoverMs = 0, Allowance(refusals = false)) {
        val leader = checkNotNull(deployment.leader()) { "no control leader" }
        fault { deployment.disturb("c$leader", command) }
        expectOutcome(resending(callers, callers.newKey(), firstEntry = 1, delayMs = 100))
        notes += "first claim after ${sinceFaultMs()} ms"
        Thread.sleep(maxOf(0, CUT_MS - sinceFaultMs()))
        deployment.disturb("c$leader", RESTORE)
    }
