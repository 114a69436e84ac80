package org.bramleyspur.log

/** A fault of one or more members or links; [inject] starts it at the given member. */
enum class Fault(val inject: Cluster.(Cluster.Node) -> Unit) {
    CRASH({ it.crash(UnsyncedWrites.KEPT, restartMs = 300) }),
    LONG_CRASH({ it.crash(UnsyncedWrites.DROPPED, restartMs = 4_000) }),
    PAUSE({ node -> pauseFor(node, 2_500.0) }),
    SHORT_PAUSE({ node -> pauseFor(node, 400.0) }),
    PARTITION({ isolate(it) }),
    OUTBOUND_PARTITION({ node -> nodes.forEach { disconnect(node, it) } }),
    INBOUND_PARTITION({ node -> nodes.forEach { disconnect(it, node) } }),
    DELAY({ links.delayMs = 100..400 }),
    LOSS({ links.lossPercent = 30 }),
    REORDER({ links.delayMs = 1..80 }),
    DUPLICATE({ links.duplicatePercent = 50 }),
    DROPPED_WRITES({ nodes.forEach { it.failPower(UnsyncedWrites.DROPPED) } }),
    KEPT_WRITES({ nodes.forEach { it.failPower(UnsyncedWrites.KEPT) } }),
    TRUNCATED_WRITES({ nodes.forEach { it.failPower(UnsyncedWrites.TRUNCATED) } }),
    CORRUPTED_WRITES({ nodes.forEach { it.failPower(UnsyncedWrites.CORRUPTED) } }),
    FAILED_SYNC({ it.files.remainingSyncs = 0 }),
    WIPED_DISK({ wipeDiskIfTolerable(it) }),
    TWO_CRASHES({ node ->
        node.crash(UnsyncedWrites.TRUNCATED, restartMs = 500)
        nextNode(node).crash(UnsyncedWrites.DROPPED, restartMs = 1_500)
    }),
    CRASH_AND_PAUSE({ node ->
        node.crash(UnsyncedWrites.DROPPED, restartMs = 800)
        pauseFor(nextNode(node), 1_200.0)
    }),
    PARTITION_AND_WIPED_DISK({ node ->
        isolate(node)
        wipeDiskIfTolerable(nextNode(node))
    }),
}

private fun Cluster.pauseFor(node: Cluster.Node, ms: Double) {
    node.pause()
    schedule(nowMs + ms) { node.resume() }
}

private fun Cluster.nextNode(node: Cluster.Node) = nodes[(node.number + 1) % nodes.size]

/** Wipes a disk if a majority of the voters keep theirs. Otherwise entries could be lost, as Raft permits. */
private fun Cluster.wipeDiskIfTolerable(node: Cluster.Node) {
    if (nodes.any { it.log == null }) return
    val otherIds = nodes.map { it.log!!.memberId } - node.log!!.memberId
    val tolerable = nodes.map { it.log!!.consensusState.membership }.all {
        val voters = it.voters.keys + setOf(node.log!!.memberId).intersect(it.learners.keys)
        voters.isEmpty() || it.voters.keys.intersect(otherIds).size > voters.size / 2
    }
    if (tolerable) node.wipeDisk(restartMs = 200)
}
