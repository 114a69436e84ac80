/*
 * When one stream is sent after an outage: at once, when there is room for it, or not at all.
 */
package org.bramleyspur.daemon.forward

import org.bramleyspur.core.time.TimerHandle
import org.bramleyspur.traffic.outage.PacedStream
import org.bramleyspur.traffic.outage.ReleaseDecision
import org.bramleyspur.traffic.outage.StreamTimes

/** The release of [request] after an outage, if it is a stream from its beginning. Confined to the traffic thread. */
internal class StreamRelease(
    private val context: ForwardContext,
    private val request: AdmittedRequest,
    private val log: RequestLog,
) {
    private val pacing = context.pacing
        ?.takeIf { request.streaming && request.lastEventId == null && request.service.costs != null }
    private val pool = context.poolOf(request)
    private var held = false

    /** What was predicted for the stream when it was decided on last; null before that and once it is sent. */
    private var predicted: StreamTimes? = null
    private var late = false
    private var running = false

    private val slots: Int get() = request.service.costs?.slots ?: 0

    private val stream: PacedStream
        get() = PacedStream(
            request.caller.receivedAtMs,
            request.route.targetLatencyMs,
            context.timers.nowMs() + request.remainingMs(),
            held,
        )

    private fun servers() = context.serverCount(request.service, request.model)

    /** Decides on the stream, of which nothing was sent, for [choice]; null if it is not paced. */
    fun decide(choice: BackendChoice?): ReleaseDecision? {
        pacing ?: return null
        // A single stream may find none for a reason of its own, such as its homes.
        pacing.onServers(pool, known = servers() > 0)
        choice ?: return null
        val times = StreamTimes(choice.expectedMs - choice.waitMs, choice.waitMs)
        predicted = times
        val decision = pacing.decide(pool, stream, times, servers(), slots)
        late = decision is ReleaseDecision.Send && decision.late
        return decision.takeIf { it !is ReleaseDecision.Hold || pacing.hasRoom(request) }
    }

    /** Runs [over] when the stream, for which there was no room, is to be decided on again. */
    fun hold(over: () -> Unit): TimerHandle {
        if (!held) {
            context.metrics.onWait(request.route.name, "return")
            log.onHeld(servers(), pacing?.heldCount ?: 0)
        }
        held = true
        return checkNotNull(pacing) { "the stream is not paced" }.hold(request, stream, over)
    }

    /** Whether the stream may wait for a backend server. */
    fun hasRoom(): Boolean = pacing?.hasRoom(request) != false

    /** Runs [over] when a backend server is to be looked for again; null if the stream is not paced. */
    fun awaitBackend(over: () -> Unit): TimerHandle? = pacing?.hold(request, stream, over)

    /** Records that the stream is sent. */
    fun onSent() {
        val times = predicted ?: return
        predicted = null
        pacing?.onSent(pool, times, servers(), slots)
        running = true
        if (held) log.onReleased(late)
    }

    /** Records the end of the request. */
    fun onEnd() {
        if (running) pacing?.onEnded(pool)
        running = false
    }
}
