/*
 * The stand-ins' own counts of begun runs, kept across their restarts.
 */
package org.bramleyspur.testbed.matrix

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.bramleyspur.testbed.engine.EngineRole
import org.bramleyspur.testbed.engine.EngineState
import org.bramleyspur.testbed.engine.StateReport
import org.bramleyspur.testbed.http.testbedJson

/** Runs begun, by request id and by idempotency key. */
@Serializable
internal data class Runs(
    @SerialName("by_request") val byRequest: Map<String, Int> = emptyMap(),
    @SerialName("by_key") val byKey: Map<String, Int> = emptyMap(),
) {
    operator fun plus(other: Runs) = Runs(sum(byRequest, other.byRequest), sum(byKey, other.byKey))

    private fun sum(left: Map<String, Int>, right: Map<String, Int>) =
        (left.keys + right.keys).associateWith { (left[it] ?: 0) + (right[it] ?: 0) }
}

/** A replica as its engines report it; [first] and [other] are backend numbers, [running] counts generations. */
internal data class ReplicaView(val first: Int, val other: Int, val running: Int)

/** Reads the counts and states of the backend servers, not through the relay. */
internal class Witness(private val ports: Ports) {
    private val ended = HashMap<Int, Runs>()

    /** Runs of backend server [n] since its start; fails when it does not answer. */
    fun current(n: Int): Runs {
        val answer = Http.get("http://127.0.0.1:${ports.backend(n)}/admin/runs")
        return testbedJson.decodeFromString(checkNotNull(answer) { "backend server $n does not tell its runs" })
    }

    /** Keeps the counts of backend server [n], which is about to end. */
    fun keep(n: Int) {
        ended.merge(n, current(n), Runs::plus)
    }

    /** All runs of the engines. */
    fun engines(): Runs = (1..ENGINES).map(::total).reduce(Runs::plus)

    /** All runs of the plain backend servers. */
    fun plain(): Runs = (ENGINES + 1..BACKENDS).map(::total).reduce(Runs::plus)

    /** The replicas whose engines are all ready. */
    fun replicas(): List<ReplicaView> {
        val states = (1..ENGINES).mapNotNull { n -> state(n)?.let { n to it } }
        val ready = states.filter { it.second.state == EngineState.READY }.groupBy { it.second.replica }
        return ready.values.filter { it.size == 2 }.mapNotNull { members ->
            val first = members.firstOrNull { it.second.role == EngineRole.FIRST } ?: return@mapNotNull null
            val other = members.first { it !== first }
            ReplicaView(first.first, other.first, first.second.running)
        }
    }

    private fun total(n: Int): Runs = current(n) + (ended[n] ?: Runs())

    private fun state(n: Int): StateReport? =
        Http.get("http://127.0.0.1:${ports.backend(n)}/admin/state")?.let { testbedJson.decodeFromString(it) }
}
