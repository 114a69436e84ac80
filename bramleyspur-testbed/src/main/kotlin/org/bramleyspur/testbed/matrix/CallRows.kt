/*
 * Rows whose faults meet non-idempotent plain calls under a key, at each step of the call. The caller resends through
 * the other entry.
 */
package org.bramleyspur.testbed.matrix

private const val RUN_MS = 600L
private const val SPREAD_MS = 12
private const val FREEZE_MS = 7_000L
private val FIRST_PLAIN = ENGINES + 1

/** When the fault falls in the life of the call. */
private enum class Step(val text: String) {
    ACCEPTED("accepted"),
    CLAIMED("claimed"),
    BEGUN("begun"),
    ANSWERED("answered"),
    ACKNOWLEDGED("acknowledged"),
}

internal val CALL_ROWS: List<Row> =
    Step.entries.map { entryKill(it) } +
        listOf(Step.ACCEPTED, Step.BEGUN, Step.ANSWERED).map { agentKill(it) } +
        listOf(
            Row("plain-kill/begun", watchMs = 4_000, recoverMs = 3_000) {
                val key = callers.newKey()
                callers.call(1, key, RUN_MS)
                val server = serverOf(key)
                witness.keep(server)
                fault { deployment.backends[server - 1].kill() }
                expectOutcome(resending(callers, key, firstEntry = 2, RUN_MS))
            },
            plainFreeze("plain-freeze") { deployment.backends[it - 1] },
            plainFreeze("plain-agent-freeze") { deployment.agents[it - 1] },
            Row(
                "plain-agent-stop/begun",
                watchMs = 6_000,
                recoverMs = 0,
                Allowance(refusals = false),
                after = { expectNoNewCalls(target, System.nanoTime()) },
            ) {
                val key = callers.newKey()
                val first = callers.call(1, key, delayMs = 2_000)
                target = serverOf(key)
                fault { deployment.agents[target - 1].stop() }
                val answer = first.get()
                if (answer.ending != Ending.COMPLETE) problems += "planned stop cut the call: ${answer.describe()}"
                expectCleanExit(deployment.agents[target - 1])
            },
            Row(
                "entry-freeze/begun",
                watchMs = 3_000,
                recoverMs = 9_000,
                Allowance(brokenConnections = true, stallMs = 12_000),
            ) {
                val key = callers.newKey()
                callers.call(1, key, delayMs = 1_500)
                serverOf(key)
                fault { deployment.entries[0].freeze() }
                expectOutcome(resending(callers, key, firstEntry = 2, delayMs = 1_500) { listOf(2) })
                Thread.sleep(maxOf(0, FREEZE_MS - sinceFaultMs()))
                deployment.entries[0].resume()
            },
        )

private fun RowScope.reach(step: Step, key: String) {
    val first = callers.call(1, key, RUN_MS)
    when (step) {
        Step.ACCEPTED -> Thread.sleep(random.nextInt(3).toLong())
        Step.CLAIMED -> Thread.sleep(3 + random.nextInt(SPREAD_MS).toLong())
        Step.BEGUN -> serverOf(key)
        Step.ANSWERED -> Thread.sleep(RUN_MS + random.nextInt(2 * SPREAD_MS))
        Step.ACKNOWLEDGED -> first.get()
    }
}

private fun entryKill(step: Step) =
    Row("entry-kill/${step.text}", watchMs = 3_000, recoverMs = 1_000, Allowance(brokenConnections = true)) {
        val key = callers.newKey()
        reach(step, key)
        fault { deployment.entries[0].kill() }
        expectOutcome(resending(callers, key, firstEntry = 2, RUN_MS))
    }

private fun agentKill(step: Step) = Row("plain-agent-kill/${step.text}", watchMs = 4_000, recoverMs = 3_000) {
    val key = callers.newKey()
    reach(step, key)
    val ran = (FIRST_PLAIN..BACKENDS).firstOrNull { key in witness.current(it).byKey }
    target = ran ?: (FIRST_PLAIN + random.nextInt(2))
    fault { deployment.agents[target - 1].kill() }
    expectOutcome(resending(callers, key, firstEntry = 2, RUN_MS))
}

private fun plainFreeze(name: String, choose: RowScope.(Int) -> ManagedProcess) = Row(
    "$name/begun",
    watchMs = 4_000,
    recoverMs = 3_000,
    after = { expectNoNewCalls(target, untilNanos) },
) {
    val key = callers.newKey()
    callers.call(1, key, RUN_MS)
    target = serverOf(key)
    val victim = choose(target)
    fault { victim.freeze() }
    val resent = callers.run { resending(callers, key, firstEntry = 2, RUN_MS) }
    Thread.sleep(FREEZE_MS)
    untilNanos = System.nanoTime()
    victim.resume()
    expectOutcome(resent.await())
}
