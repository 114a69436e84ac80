/*
 * Rows whose faults meet the control leader. A leader change refuses no request: leases outlast it.
 */
package org.bramleyspur.testbed.matrix

private const val FREEZE_MS = 6_000L

internal val CONTROL_ROWS: List<Row> = listOf(
    leaderFault("leader-kill/under-load") { it.kill() },
    leaderFault("leader-stop/under-load") { it.stop() },
    leaderFault("leader-freeze/under-load") {
        it.freeze()
        Thread.sleep(FREEZE_MS)
        it.resume()
    },
    Row("leader-kill/begun", watchMs = 4_000, recoverMs = 0, Allowance(refusals = false)) {
        val leader = leaderProcess()
        val key = callers.newKey()
        val first = callers.call(1, key, delayMs = 800)
        serverOf(key)
        fault { leader.kill() }
        val answer = first.get()
        notes += "answer recorded after ${sinceFaultMs()} ms"
        if (answer.ending != Ending.COMPLETE) problems += "answer not recorded: ${answer.describe()}"
        expectOutcome(resending(callers, key, firstEntry = 2, delayMs = 800))
    },
)

private fun RowScope.leaderProcess(): ManagedProcess {
    val leader = checkNotNull(deployment.leader()) { "no control leader" }
    return deployment.control[leader - 1]
}

private fun leaderFault(name: String, change: (ManagedProcess) -> Unit) =
    Row(name, watchMs = 6_000, recoverMs = 0, Allowance(refusals = false)) {
        val leader = leaderProcess()
        fault { callers.run { change(leader) } }
        Thread.sleep(100)
        expectOutcome(resending(callers, callers.newKey(), firstEntry = 1, delayMs = 100))
        notes += "first claim after ${sinceFaultMs()} ms"
    }
