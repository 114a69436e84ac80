/*
 * The open-loop run of a plan: each call starts at its planned time, however slowly earlier calls are answered.
 */
package org.bramleyspur.testbed.bench

import io.netty.channel.nio.NioEventLoopGroup
import java.net.InetSocketAddress
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport

/** Where a run sends its calls; calls to the entry side take [entries] in turn. */
internal data class Targets(val entries: List<InetSocketAddress>, val direct: InetSocketAddress?)

/** Runs [calls] against [targets] and records them by group. */
internal class LoadRun(
    private val calls: List<PlannedCall>,
    private val targets: Targets,
    private val model: BenchModel,
    private val seed: Long,
    private val timeoutMs: Long,
) {
    private val recorders = calls.map { it.group }.distinct().associateWith(::GroupRecorder)

    /**
     * Sends every call at [startNanos] (by [System.nanoTime]) plus its planned time and waits for all answers. Latency
     * counts from the planned time, so that a late send is part of it.
     */
    fun run(startNanos: Long = System.nanoTime()): Map<String, GroupRecorder> {
        val group = NioEventLoopGroup(1)
        val loop = group.next()
        val entries = targets.entries.map { Client(loop, it, timeoutMs) }
        val direct = targets.direct?.let { Client(loop, it, timeoutMs) }
        val left = CountDownLatch(calls.size)
        for (call in calls) {
            val intended = startNanos + call.atNanos
            val client = if (call.side == Side.DIRECT) checkNotNull(direct) else entries[call.index % entries.size]
            val address = if (call.side == Side.DIRECT) targets.direct else targets.entries[call.index % entries.size]
            val request = requestOf(call, model, "${address?.hostString}:${address?.port}", seed)
            waitUntil(intended)
            loop.execute {
                val recorder = recorders.getValue(call.group)
                recorder.offered()
                client.send(request, AnswerReader(call, model, intended, recorder)) { left.countDown() }
            }
        }
        left.await()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
        return recorders
    }

    private fun waitUntil(nanos: Long) {
        while (true) {
            val left = nanos - System.nanoTime()
            if (left <= 0) return
            LockSupport.parkNanos(left)
        }
    }
}
