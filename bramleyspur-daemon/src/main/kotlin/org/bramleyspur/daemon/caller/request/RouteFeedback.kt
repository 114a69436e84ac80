package org.bramleyspur.daemon.caller.request

import org.bramleyspur.core.model.Route
import org.bramleyspur.core.time.TimerService
import org.bramleyspur.protocol.LoadReport
import org.bramleyspur.traffic.admission.RefusalReason
import org.bramleyspur.traffic.routing.CacheEvent
import org.bramleyspur.traffic.routing.ReportedLoad
import org.bramleyspur.traffic.routing.RoutedAttempt
import org.bramleyspur.traffic.routing.Router
import org.bramleyspur.traffic.routing.RoutingRequest

/** Reports the result of one attempt to the router; only the first result counts. */
internal class RouteFeedback(
    private val router: Router,
    private val timers: TimerService,
    private val route: Route,
    request: RoutingRequest,
) {
    private val attempt = router.sent(route, request, timers.nowMs())
    private var responseStarted = false
    private var finished = false

    /** Passes the load and the cache events of the agent to the router. */
    fun onLoad(load: LoadReport) {
        val reported =
            ReportedLoad(load.running, load.queued, load.slots, load.predictedWaitMs.toLong(), load.received)
        router.onLoad(route.incarnation, reported, timers.nowMs())
        load.cacheEventsList.forEach {
            router.onCacheEvent(route.incarnation, CacheEvent(it.sequence, it.stored, it.prefix))
        }
    }

    /** The first part of the response has arrived. */
    fun onResponseStart() {
        if (responseStarted) return
        responseStarted = true
        attempt?.let { router.firstToken(it, timers.nowMs()) }
    }

    /** The attempt completed. */
    fun onEnded() = finish { router.ended(it, timers.nowMs()) }

    /** The engine rejected the request as invalid. */
    fun onRejected() = finish { router.rejected(it) }

    /** The agent refused the attempt. */
    fun onRefused(reason: RefusalReason, retryAfterMs: Long) = finish {
        if (reason == RefusalReason.CANCELLED) {
            router.abandoned(it)
        } else {
            router.refused(it, reason, retryAfterMs, timers.nowMs())
        }
    }

    /** The attempt failed, or its connection was lost. */
    fun onFailed() = finish { router.failed(it, timers.nowMs()) }

    /** The attempt was cancelled without a fault of its route. */
    fun onAbandoned() = finish { router.abandoned(it) }

    private fun finish(report: (RoutedAttempt) -> Unit) {
        if (finished) return
        finished = true
        attempt?.let(report)
    }
}
