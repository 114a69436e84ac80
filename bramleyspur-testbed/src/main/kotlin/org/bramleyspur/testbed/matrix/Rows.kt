/*
 * The rows of the matrix.
 */
package org.bramleyspur.testbed.matrix

private const val LONG_STREAM = 220
private const val HALF = 40
private const val PARTIAL_MS = 1_800L

/** All rows in the order in which they run. */
internal val ROWS: List<Row> = listOf(
    Row("agent-first-kill/half-streamed", watchMs = 6_000, recoverMs = 3_000, after = {
        expectNoStreams(target, PARTIAL_MS)
    }) {
        val streams = streams(count = 6, LONG_STREAM, HALF)
        target = busiestReplica().first
        fault { deployment.agents[target - 1].kill() }
        expectComplete(streams)
    },
    Row("entry-kill/begun", watchMs = 4_000, recoverMs = 2_000, Allowance(brokenConnections = true)) {
        val key = callers.newKey()
        callers.call(1, key, delayMs = 1_500)
        Thread.sleep(500)
        fault { deployment.entries[0].kill() }
        expectOutcome(resending(callers, key, firstEntry = 2, delayMs = 1_500))
    },
    Row("agent-first-freeze/half-streamed", watchMs = 5_000, recoverMs = 4_000) {
        val streams = streams(count = 6, LONG_STREAM, HALF)
        target = busiestReplica().first
        fault { deployment.agents[target - 1].freeze() }
        Thread.sleep(5_000)
        deployment.agents[target - 1].resume()
        expectComplete(streams)
    },
    Row("leader-kill/under-load", watchMs = 6_000, recoverMs = 0) {
        val leader = checkNotNull(deployment.leader()) { "no control leader" }
        fault { deployment.control[leader - 1].kill() }
        expectOutcome(resending(callers, callers.newKey(), firstEntry = 1, delayMs = 100))
        notes += "first claim after ${sinceFaultMs()} ms"
    },
)
