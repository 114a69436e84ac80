package org.bramleyspur.log

import org.bramleyspur.log.consensus.EntryLog

/** What must hold in a [Cluster] after every action. */
class Rules(private val cluster: Cluster) {
    private val leaders = mutableMapOf<Long, String>()
    private val commands = sortedMapOf<Long, Pair<Long, String>>()
    private val acknowledged = sortedMapOf<Long, String>()
    private var checks = 0

    fun won(term: Long, node: Cluster.Node) {
        val first = leaders.getOrPut(term) { node.address }
        check(first == node.address) { "$first and ${node.address} lead term $term" }
    }

    fun applied(node: Cluster.Node, index: Long, term: Long, text: String) {
        val first = commands.getOrPut(index) { term to text }
        check(first == term to text) { "${node.address} applies $text at $index, another member applied $first" }
        check(node.applied.isEmpty() || node.applied.lastKey() < index) { "${node.address} applies $index again" }
        node.applied[index] = text
    }

    fun restored(node: Cluster.Node) {
        val last = if (node.applied.isEmpty()) 0 else node.applied.lastKey()
        check(node.applied == commands.headMap(last + 1).mapValues { it.value.second }) {
            "${node.address} restores another state at $last"
        }
    }

    fun acknowledged(index: Long, text: String) {
        check(commands[index]?.second == text) { "$text was acknowledged at $index, which holds ${commands[index]}" }
        acknowledged[index] = text
    }

    fun check() {
        checkLeases()
        if (checks++ % 20 == 0) checkMatching()
    }

    private fun checkLeases() {
        val holders = cluster.nodes.filter { it.log?.leaseValid(it.clockMs()) ?: false }
        check(holders.size <= 1) { "${holders.map { it.address }} hold a lease at ${cluster.nowMs}" }
        val holder = holders.firstOrNull() ?: return
        val newest = acknowledged.keys.lastOrNull() ?: return
        check(newest in holder.applied) { "the leader ${holder.address} lacks the acknowledged entry $newest" }
    }

    /** Two logs with equal terms at an index are equal below it. */
    private fun checkMatching() {
        val logs = cluster.nodes.mapNotNull { it.log?.consensusState?.log }
        for (one in logs) for (other in logs) if (one !== other) checkMatching(one, other)
    }

    private fun checkMatching(one: EntryLog, other: EntryLog) {
        val from = maxOf(one.baseIndex, other.baseIndex)
        val same = (from..minOf(one.lastIndex, other.lastIndex)).map { one.term(it) == other.term(it) }
        val lastSame = same.lastIndexOf(true)
        check(same.take(lastSame + 1).all { it }) { "logs differ below the equal entry ${from + lastSame}" }
    }

    /** After the faults have ended, every member has every acknowledged entry. */
    fun checkConverged() {
        for (node in cluster.nodes) {
            val lost = acknowledged.keys - node.applied.keys
            check(lost.isEmpty()) { "${node.address} lacks the acknowledged entries $lost" }
        }
    }

    val acknowledgedCount: Int get() = acknowledged.size
}
