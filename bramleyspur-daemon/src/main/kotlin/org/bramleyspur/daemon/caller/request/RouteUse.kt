package org.bramleyspur.daemon.caller.request

import org.bramleyspur.core.model.Route
import org.bramleyspur.core.time.TimerService
import org.bramleyspur.protocol.LoadReport
import org.bramleyspur.traffic.admission.RefusalReason
import org.bramleyspur.traffic.routing.CacheEvent
import org.bramleyspur.traffic.routing.ReportedLoad
import org.bramleyspur.traffic.routing.Router
import org.bramleyspur.traffic.routing.RoutingRequest
import org.bramleyspur.traffic.routing.Ticket

/** Tells the router what became of one attempt; only the first ending counts. */
internal class RouteUse(
    private val router: Router,
    private val timers: TimerService,
    private val route: Route,
    request: RoutingRequest,
) {
    private val ticket = router.sent(route, request, timers.nowMs())
    private var answered = false
    private var done = false

    /** The agent reported its load. */
    fun onLoad(load: LoadReport) {
        val reported =
            ReportedLoad(load.running, load.queued, load.slots, load.predictedWaitMs.toLong(), load.received)
        router.onLoad(route.incarnation, reported, timers.nowMs())
        load.cacheEventsList.forEach {
            router.onCacheEvent(route.incarnation, CacheEvent(it.sequence, it.stored, it.prefix))
        }
    }

    /** The answer has begun to arrive. */
    fun onAnswer() {
        if (answered) return
        answered = true
        ticket?.let { router.firstToken(it, timers.nowMs()) }
    }

    /** The attempt ended whole. */
    fun onEnded() = finish { router.ended(it, timers.nowMs()) }

    /** The agent refused the attempt. */
    fun onRefused(reason: RefusalReason, retryAfterMs: Long) = finish {
        if (reason == RefusalReason.CANCELLED) {
            router.abandoned(it)
        } else {
            router.refused(it, reason, retryAfterMs, timers.nowMs())
        }
    }

    /** The attempt broke, or its connection was lost. */
    fun onFailed() = finish { router.failed(it, timers.nowMs()) }

    /** The attempt was given up without a fault of its route. */
    fun onAbandoned() = finish { router.abandoned(it) }

    private fun finish(tell: (Ticket) -> Unit) {
        if (done) return
        done = true
        ticket?.let(tell)
    }
}
