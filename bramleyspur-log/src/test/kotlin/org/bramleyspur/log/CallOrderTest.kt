package org.bramleyspur.log

import com.github.michaelbull.result.onSuccess
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotNull

/**
 * Guards against a copy of an acknowledged call, as the start of an evacuation, that a former leader, a member that was
 * paused or a recovered log adds after the next call, which it would revert.
 */
class CallOrderTest {
    /** An operator who sends a call to any members until one acknowledges it, and then the next one. */
    private class Operator(private val cluster: Cluster) {
        private var call = 0

        /** Number of calls that were acknowledged. */
        val acknowledged: Int get() = call

        fun send(node: Cluster.Node) {
            val copy = call
            node.log?.propose("$copy".encodeToByteArray()) { result ->
                result.onSuccess { index ->
                    cluster.invariants.acknowledged(index, "$copy")
                    call = maxOf(call, copy + 1)
                }
            }
        }
    }

    private fun Cluster.killAll() = UnsyncedWrites.entries.random(random).let { writes ->
        nodes.forEach { it.crash(writes, restartMs = random.nextInt(100, 600)) }
    }

    private fun Cluster.checkOrder() = nodes.forEach { node ->
        val outOfOrder = node.applied.entries.zipWithNext().firstOrNull { (a, b) -> a.value.toInt() > b.value.toInt() }
        expectThat(outOfOrder).isEqualTo(null)
    }

    /** More seeds: `-Dcall.order.seeds=50`. */
    @TestFactory
    fun `no copy of an acknowledged call follows the next call`() = (1L..seeds).map { seed ->
        DynamicTest.dynamicTest("seed $seed") {
            val cluster = Cluster(if (seed % 2 == 0L) 3 else 5, seed)
            val operator = Operator(cluster)
            cluster.awaitLeader()
            repeat(FAULTS) {
                if (cluster.random.nextInt(2) == 0) cluster.links.reset()
                if (cluster.random.nextInt(KILL_ODDS) == 0) {
                    cluster.killAll()
                } else {
                    Fault.entries.random(cluster.random).inject(cluster, cluster.nodes.random(cluster.random))
                }
                repeat(ROUNDS_PER_FAULT) {
                    cluster.nodes.filter { cluster.random.nextBoolean() }.forEach { operator.send(it) }
                    cluster.run(cluster.random.nextInt(1, 200))
                    cluster.checkOrder()
                }
                cluster.admitNewMembers()
            }
            cluster.recoverFromFaults()
            val before = operator.acknowledged
            cluster.runUntil("a call is acknowledged after the faults") {
                operator.send(cluster.awaitLeader())
                cluster.run(50)
                operator.acknowledged > before
            }
            cluster.run(3_000)
            cluster.checkOrder()
            cluster.invariants.checkConverged()
            expectThat(operator.acknowledged).isGreaterThan(MIN_CALLS)
            expectThat(
                cluster.nodes.firstNotNullOfOrNull {
                    it.log?.status()?.snapshotIndex
                },
            ).isNotNull().isGreaterThan(0)
        }
    }

    private companion object {
        val seeds = System.getProperty("call.order.seeds", "5").toLong()
        const val FAULTS = 40
        const val MIN_CALLS = 20
        const val ROUNDS_PER_FAULT = 16
        const val KILL_ODDS = 6
    }
}
