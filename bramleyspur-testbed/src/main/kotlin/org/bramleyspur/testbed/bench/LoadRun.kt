/*
 * The open-loop run of a plan: each call starts at its planned time, even if earlier calls have no response yet.
 */
package org.bramleyspur.testbed.bench

import io.netty.channel.nio.NioEventLoopGroup
import java.net.InetSocketAddress
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport

/** Destinations of the calls of a run; calls to the entry side use [entries] in turn. */
internal data class Targets(val entries: List<InetSocketAddress>, val direct: InetSocketAddress?)

/** Sends [calls] to [targets] and records the results by group. */
internal class LoadRun(
    private val calls: List<PlannedCall>,
    private val targets: Targets,
    private val model: BenchModel,
    private val seed: Long,
    private val timeoutMs: Long,
) {
    private val recorders = calls.map { it.group }.distinct().associateWith(::GroupRecorder)

    /**
     * Sends every call at [startNanos] (by [System.nanoTime]) plus its planned time and waits for all responses.
     * Latency is measured from the planned time, so that it includes the delay of a late send.
     */
    fun run(startNanos: Long = System.nanoTime()): Map<String, GroupRecorder> {
        val eventLoops = NioEventLoopGroup(1)
        val eventLoop = eventLoops.next()
        val entries = targets.entries.map { Client(eventLoop, it, timeoutMs) }
        val direct = targets.direct?.let { Client(eventLoop, it, timeoutMs) }
        val pendingCalls = CountDownLatch(calls.size)
        for (call in calls) {
            val intendedNanos = startNanos + call.atNanos
            val client = if (call.side == Side.DIRECT) checkNotNull(direct) else entries[call.index % entries.size]
            val address = if (call.side == Side.DIRECT) targets.direct else targets.entries[call.index % entries.size]
            val request = httpRequestOf(call, model, "${address?.hostString}:${address?.port}", seed)
            waitUntil(intendedNanos)
            eventLoop.execute {
                val recorder = recorders.getValue(call.group)
                recorder.offered()
                client.send(request, ResponseReader(call, model, intendedNanos, recorder)) { pendingCalls.countDown() }
            }
        }
        pendingCalls.await()
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
        return recorders
    }

    private fun waitUntil(nanos: Long) {
        while (true) {
            val remainingNanos = nanos - System.nanoTime()
            if (remainingNanos <= 0) return
            LockSupport.parkNanos(remainingNanos)
        }
    }
}
