package org.bramleyspur.log

/** A fault of one or more members or links; [strike] begins it at member [Int] of the cluster. */
enum class Fault(val strike: Cluster.(Cluster.Node) -> Unit) {
    CRASH({ it.crash(Tear.KEEP, restartMs = 300) }),
    LONG_CRASH({ it.crash(Tear.DROP, restartMs = 4_000) }),
    FREEZE({ node -> freezeFor(node, 2_500.0) }),
    SHORT_FREEZE({ node -> freezeFor(node, 400.0) }),
    CUT_BOTH_WAYS({ isolate(it) }),
    CUT_SENDING({ node -> nodes.forEach { cut(node, it) } }),
    CUT_RECEIVING({ node -> nodes.forEach { cut(it, node) } }),
    DELAY({ links.delayMs = 100..400 }),
    LOSS({ links.lossPercent = 30 }),
    REORDER({ links.delayMs = 1..80 }),
    DUPLICATE({ links.duplicatePercent = 50 }),
    DROPPED_WRITES({ nodes.forEach { it.failPower(Tear.DROP) } }),
    KEPT_WRITES({ nodes.forEach { it.failPower(Tear.KEEP) } }),
    TORN_WRITES({ nodes.forEach { it.failPower(Tear.CUT) } }),
    GARBLED_WRITES({ nodes.forEach { it.failPower(Tear.GARBLE) } }),
    FAILED_SYNC({ it.files.syncsLeft = 0 }),
    EMPTIED_DISK({ emptyIfTolerable(it) }),
    TWO_CRASHES({ node ->
        node.crash(Tear.CUT, restartMs = 500)
        other(node).crash(Tear.DROP, restartMs = 1_500)
    }),
    CRASH_AND_FREEZE({ node ->
        node.crash(Tear.DROP, restartMs = 800)
        freezeFor(other(node), 1_200.0)
    }),
    CUT_AND_EMPTIED_DISK({ node ->
        isolate(node)
        emptyIfTolerable(other(node))
    }),
}

private fun Cluster.freezeFor(node: Cluster.Node, ms: Double) {
    node.freeze()
    schedule(nowMs + ms) { node.thaw() }
}

private fun Cluster.other(node: Cluster.Node) = nodes[(node.number + 1) % nodes.size]

/** Empties a disk if enough voters keep theirs; with fewer, the loss of entries is no fault of the log. */
private fun Cluster.emptyIfTolerable(node: Cluster.Node) {
    if (nodes.any { it.log == null }) return
    val ids = nodes.map { it.log!!.memberId } - node.log!!.memberId
    val tolerable = nodes.map { it.log!!.consensusState.membership }.all {
        val voters = it.voters.keys + setOf(node.log!!.memberId).intersect(it.learners.keys)
        voters.isEmpty() || it.voters.keys.intersect(ids).size > voters.size / 2
    }
    if (tolerable) node.emptyDisk(restartMs = 200)
}
