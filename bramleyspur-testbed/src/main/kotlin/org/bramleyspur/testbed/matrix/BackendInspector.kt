/*
 * The stand-ins' counts of begun runs, which are accumulated across restarts.
 */
package org.bramleyspur.testbed.matrix

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.bramleyspur.core.json.decodeBounded
import org.bramleyspur.testbed.engine.EngineRole
import org.bramleyspur.testbed.engine.EngineState
import org.bramleyspur.testbed.engine.StateReport
import org.bramleyspur.testbed.http.testbedJson

/** Number of begun runs by request id and by idempotency key. */
@Serializable
internal data class RunCounts(
    @SerialName("by_request") val byRequest: Map<String, Int> = emptyMap(),
    @SerialName("by_key") val byKey: Map<String, Int> = emptyMap(),
) {
    operator fun plus(other: RunCounts) = RunCounts(sum(byRequest, other.byRequest), sum(byKey, other.byKey))

    private fun sum(left: Map<String, Int>, right: Map<String, Int>) =
        (left.keys + right.keys).associateWith { (left[it] ?: 0) + (right[it] ?: 0) }
}

/** A replica as reported by its engines; members are given by the numbers of their backend servers. */
internal data class ReplicaView(val firstMember: Int, val otherMember: Int, val runningGenerations: Int)

/** Reads the run counts and states of the backend servers directly, not through the relay. */
internal class BackendInspector(private val ports: Ports) {
    private val savedRuns = HashMap<Int, RunCounts>()

    /** Returns the runs of backend server [n] since its start; fails if it does not respond. */
    fun currentRuns(n: Int): RunCounts {
        val response = Http.get("http://127.0.0.1:${ports.backend(n)}/admin/runs")
        return testbedJson.decodeBounded(
            checkNotNull(response) { "backend server $n did not answer GET /admin/runs" },
        )
    }

    /** Saves the run counts of backend server [n], which is about to be killed. */
    fun saveRuns(n: Int) {
        savedRuns.merge(n, currentRuns(n), RunCounts::plus)
    }

    /** Returns all runs of the engines, including those before restarts. */
    fun engineRuns(): RunCounts = (1..ENGINES).map(::totalRuns).reduce(RunCounts::plus)

    /** Returns all runs of the plain backend servers, including those before restarts. */
    fun plainRuns(): RunCounts = (ENGINES + 1..BACKENDS).map(::totalRuns).reduce(RunCounts::plus)

    /** Returns the replicas whose engines are all ready. */
    fun readyReplicas(): List<ReplicaView> {
        val states = (1..ENGINES).mapNotNull { n -> state(n)?.let { n to it } }
        val ready = states.filter { it.second.state == EngineState.READY }.groupBy { it.second.replica }
        return ready.values.filter { it.size == 2 }.mapNotNull { members ->
            val first = members.firstOrNull { it.second.role == EngineRole.FIRST } ?: return@mapNotNull null
            val other = members.first { it !== first }
            ReplicaView(first.first, other.first, first.second.running)
        }
    }

    private fun totalRuns(n: Int): RunCounts = currentRuns(n) + (savedRuns[n] ?: RunCounts())

    private fun state(n: Int): StateReport? =
        Http.get("http://127.0.0.1:${ports.backend(n)}/admin/state")?.let { testbedJson.decodeBounded(it) }
}
