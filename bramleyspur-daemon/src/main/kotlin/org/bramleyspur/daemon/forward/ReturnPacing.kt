/*
 * Feeds the rule for the return from an outage with the streams of an entry, and holds those that wait for room.
 */
package org.bramleyspur.daemon.forward

import org.bramleyspur.core.time.TimerHandle
import org.bramleyspur.core.time.TimerService
import org.bramleyspur.traffic.forward.ServerPool
import org.bramleyspur.traffic.outage.KnownPool
import org.bramleyspur.traffic.outage.PacedStream
import org.bramleyspur.traffic.outage.ReleaseDecision
import org.bramleyspur.traffic.outage.ReturnPace
import org.bramleyspur.traffic.outage.StreamTimes
import org.bramleyspur.traffic.outage.releaseOrder
import org.bramleyspur.traffic.pressure.WaitingRoom

/**
 * The streams that an entry holds in an outage and after it. Confined to the traffic thread.
 *
 * @property entries number of entries that send to the same backend servers
 * @property fraction returns a uniform random number from 0 (inclusive) to 1 (exclusive)
 */
internal class ReturnPacing(
    private val timers: TimerService,
    private val metrics: ForwardMetrics,
    private val entries: () -> Int,
    private val fraction: () -> Double,
) {
    private class Held(val stream: PacedStream, val sendAgain: () -> Unit)

    private val paces = HashMap<ServerPool, ReturnPace>()

    /** The pools of which a backend server has been known since the start. */
    private val returned = HashSet<ServerPool>()
    private val held = HashMap<AdmittedRequest, Held>()
    private var room = WaitingRoom<AdmittedRequest>()
    private var timer: TimerHandle? = null

    /** Number of streams that are held. */
    val heldCount: Int get() = room.count

    private fun paceOf(pool: ServerPool) = paces[pool] ?: ReturnPace()

    /** Records whether backend servers of [pool] are [known]; it returns when the first one since the start is. */
    fun onServers(pool: ServerPool, known: Boolean) {
        if (known && returned.add(pool)) paces[pool] = paceOf(pool).onReturn(timers.nowMs())
    }

    /** Decides on [stream] to [pool], of which [servers] are known; null if it is not paced. */
    fun decide(pool: ServerPool, stream: PacedStream, times: StreamTimes, servers: Int, slots: Int): ReleaseDecision? {
        val now = timers.nowMs()
        val pace = paceOf(pool)
        if (!pace.paces(stream, now)) return null
        return pace.decide(stream, times, KnownPool(servers, slots, entries()), fraction(), now)
    }

    /** Records that a stream was sent to [pool]. */
    fun onSent(pool: ServerPool, times: StreamTimes, servers: Int, slots: Int) {
        paces[pool] = paceOf(pool).onSent(times, KnownPool(servers, slots, entries()), timers.nowMs())
    }

    /** Records the end of a stream that was sent to [pool]. */
    fun onEnded(pool: ServerPool) {
        paces[pool] = paceOf(pool).onEnded()
    }

    /** Whether [request] may be held. */
    fun hasRoom(request: AdmittedRequest): Boolean = room.hasRoom(request, request.caller.body.size)

    /** Holds [request] until the returned handle is cancelled, and runs [sendAgain] when its turn has come. */
    fun hold(request: AdmittedRequest, stream: PacedStream, sendAgain: () -> Unit): TimerHandle {
        room = room.with(request, request.route.priority, stream.receivedAtMs, request.caller.body.size)
        held[request] = Held(stream, sendAgain)
        metrics.onWaiting(room.count, room.bytes)
        schedule()
        return TimerHandle { leave(request) }
    }

    private fun leave(request: AdmittedRequest) {
        if (held.remove(request) == null) return
        room = room.without(request)
        metrics.onWaiting(room.count, room.bytes)
    }

    private fun schedule() {
        if (timer != null || held.isEmpty()) return
        timer = timers.after(TICK_MS) {
            timer = null
            releaseOrder(held.mapValues { it.value.stream }, timers.nowMs()).forEach { held[it]?.sendAgain?.invoke() }
            schedule()
        }
    }

    private companion object {
        const val TICK_MS = 20L
    }
}
