package org.bramleyspur.log

import org.bramleyspur.log.consensus.EntryLog

/** Safety properties of the log that are checked after every action of a [Cluster]. */
class ClusterInvariants(private val cluster: Cluster) {
    private val leadersByTerm = mutableMapOf<Long, String>()
    private val appliedCommands = sortedMapOf<Long, Pair<Long, String>>()
    private val acknowledged = sortedMapOf<Long, String>()
    private var checks = 0

    fun leadershipWon(term: Long, node: Cluster.Node) {
        val first = leadersByTerm.getOrPut(term) { node.address }
        check(first == node.address) { "two leaders in term $term: $first and ${node.address}" }
    }

    fun applied(node: Cluster.Node, index: Long, term: Long, text: String) {
        val first = appliedCommands.getOrPut(index) { term to text }
        check(first == term to text) { "${node.address} applied $text at $index, another member applied $first" }
        check(node.applied.isEmpty() || node.applied.lastKey() < index) {
            "${node.address} applied $index out of order"
        }
        node.applied[index] = text
        node.trimApplied()
    }

    fun restored(node: Cluster.Node) {
        val last = if (node.applied.isEmpty()) 0 else node.applied.lastKey()
        val expected = appliedCommands.headMap(last + 1).filterKeys { it in node.applied || !node.includes(it) }
        check(node.applied == expected.mapValues { it.value.second }) {
            "${node.address} restored a snapshot at $last that differs from the applied entries"
        }
    }

    fun acknowledged(index: Long, text: String) {
        check(appliedCommands[index]?.second == text) {
            "$text was acknowledged at $index, which holds ${appliedCommands[index]}"
        }
        acknowledged[index] = text
    }

    fun check() {
        checkLeases()
        if (checks++ % 20 == 0) checkMatching()
    }

    private fun checkLeases() {
        val holders = cluster.nodes.filter { it.log?.leaseValid(it.clockMs()) ?: false }
        check(holders.size <= 1) { "several members hold a lease at ${cluster.nowMs}: ${holders.map { it.address }}" }
        val holder = holders.firstOrNull() ?: return
        val newest = acknowledged.keys.lastOrNull() ?: return
        check(holder.includes(newest)) { "the leader ${holder.address} lacks the acknowledged entry $newest" }
    }

    /** Raft's log matching property: two logs with equal terms at an index are equal up to that index. */
    private fun checkMatching() {
        val logs = cluster.nodes.mapNotNull { it.log?.consensusState?.log }
        for (left in logs) for (right in logs) if (left !== right) checkMatching(left, right)
    }

    private fun checkMatching(left: EntryLog, right: EntryLog) {
        val from = maxOf(left.baseIndex, right.baseIndex)
        val termsMatch = (from..minOf(left.lastIndex, right.lastIndex)).map { left.term(it) == right.term(it) }
        val lastMatch = termsMatch.lastIndexOf(true)
        check(termsMatch.take(lastMatch + 1).all { it }) { "logs match at ${from + lastMatch} but differ below" }
    }

    /** Checks that every member has applied every acknowledged entry. To be called after the faults have ended. */
    fun checkConverged() {
        for (node in cluster.nodes) {
            val lost = acknowledged.keys.filterNot { node.includes(it) }
            check(lost.isEmpty()) { "${node.address} lacks the acknowledged entries $lost" }
        }
    }

    /** Checks that every member has applied the first [count] acknowledged entries, while others are in flight. */
    fun checkConvergedTo(count: Int) {
        val first = acknowledged.keys.take(count).toSet()
        for (node in cluster.nodes) {
            val lost = first - node.applied.keys
            check(lost.isEmpty()) { "${node.address} lacks the acknowledged entries $lost" }
        }
    }

    val acknowledgedCount: Int get() = acknowledged.size
}
