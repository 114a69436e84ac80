/*
 * The entry's choice among routes. It compares a few routes that are drawn at random, and the one that holds most of
 * the prompt, by the expected time to the first token. Few choices keep entries with the same delayed reports from all
 * choosing the same route; own attempts count at once, whatever the reports say.
 */
package org.bramleyspur.traffic.routing

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.bramleyspur.core.model.Incarnation
import org.bramleyspur.core.model.Route
import org.bramleyspur.traffic.admission.RefusalReason

/**
 * Routing state of one entry. Used by one thread; all times are monotonic milliseconds.
 *
 * @param linkCost cost of the link to a data centre
 * @param nextInt random number from 0 until the given bound
 */
class Router(
    private val settings: RoutingSettings,
    private val linkCost: (String) -> LinkCost,
    private val nextInt: (Int) -> Int,
) {
    private var views: PersistentMap<Incarnation, RouteView> = persistentMapOf()
    private var services: Map<String, List<Incarnation>> = emptyMap()
    private var serviceMs = settings.firstServiceMs
    private var prefillMs = settings.firstPrefillMs
    private var tickets = 0L

    /** Replaces the routes; what is known of an agent run that stays is kept. */
    fun setRoutes(routes: List<Route>) {
        views = routes.fold(persistentMapOf()) { next, route ->
            next.put(route.incarnation, views[route.incarnation]?.withRoute(route) ?: RouteView(route))
        }
        services = routes.groupBy({ it.service }, { it.incarnation })
    }

    /** The route for [request], or null when none fits or all that fit are avoided. */
    fun choose(request: RoutingRequest, nowMs: Long): Route? {
        val fitting = fitting(request)
        val open = fitting.filter { it.isOpen(request.account, nowMs) }
            .ifEmpty { fitting.filter { it.isAllowed(request.account, nowMs) } }
        if (open.size <= 1) return open.firstOrNull()?.route
        val meanOthers = meanOthers(open)
        return candidates(open, request).minBy { firstTokenMs(it, request, nowMs, meanOthers) }.route
    }

    /** Counts an attempt that was sent on [route]; null when the route has been withdrawn. */
    fun sent(route: Route, request: RoutingRequest, nowMs: Long): Ticket? {
        val view = views[route.incarnation] ?: return null
        val waitMs = view.waitMs(nowMs, meanOthers(fitting(request)), serviceMs)
        val missed = request.prompt.size - view.prefixes.match(request.prompt)
        val ticket = Ticket(route, request.account, nowMs, tickets++, waitMs + prefill(missed), waitMs, missed)
        val next = view.copy(
            sent = view.sent + 1,
            inFlight = view.inFlight + 1,
            awaiting = view.awaiting.put(ticket.number, ticket),
            prefixes = view.prefixes.assumeStored(request.prompt),
        )
        views = views.put(route.incarnation, next)
        return ticket
    }

    /** Records the first token (or head) of an attempt. */
    fun firstToken(ticket: Ticket, nowMs: Long) = update(ticket.route.incarnation) { view ->
        if (ticket.number !in view.awaiting) return@update view
        val tookMs = (nowMs - ticket.sentMs - linkCost(view.route.dataCentre).roundTripMs).coerceAtLeast(0.0)
        val ratio = (tookMs + RouteView.GRACE_MS) / (ticket.expectedMs + RouteView.GRACE_MS)
        if (ticket.expectedWaitMs == 0.0 && ratio < LEARNABLE_RATIO) {
            prefillMs += (tookMs / (ticket.missedBlocks + 1) - prefillMs) * LEARNING_GAIN
        }
        view.copy(awaiting = view.awaiting.remove(ticket.number)).withSample(ratio, nowMs)
    }

    /** Records that an attempt ended whole; its duration feeds the prediction of waits. */
    fun ended(ticket: Ticket, nowMs: Long) {
        serviceMs += (nowMs - ticket.sentMs - ticket.expectedWaitMs - serviceMs) * LEARNING_GAIN
        leave(ticket) { it }
    }

    /** Records that an attempt was cancelled or given up without a fault of its route. */
    fun abandoned(ticket: Ticket) = leave(ticket) { it }

    /**
     * Records a refusal; the route is not chosen for [retryAfterMs]. A full queue concerns the requests of the refused
     * account only, since fair queueing gives each account another wait.
     */
    fun refused(ticket: Ticket, reason: RefusalReason, retryAfterMs: Long, nowMs: Long) = leave(ticket) {
        if (reason == RefusalReason.QUEUE_FULL) {
            it.copy(fullUntilMs = it.fullUntilMs.put(ticket.account, nowMs + retryAfterMs))
        } else {
            it.copy(avoidUntilMs = maxOf(it.avoidUntilMs, nowMs + retryAfterMs))
        }
    }

    /** Records a broken attempt or a lost connection; each further failure doubles the time of avoidance. */
    fun failed(ticket: Ticket, nowMs: Long) = leave(ticket) {
        val backoffMs = FIRST_BACKOFF_MS shl it.failures.coerceAtMost(MAX_DOUBLINGS)
        it.copy(failures = it.failures + 1, avoidUntilMs = maxOf(it.avoidUntilMs, nowMs + backoffMs))
    }

    /** Records a load report of the agent run [incarnation]. */
    fun onLoad(incarnation: Incarnation, load: ReportedLoad, nowMs: Long) =
        update(incarnation) { it.onReport(load, nowMs) }

    /** Records a cache event of the engine behind the agent run [incarnation]. */
    fun onCacheEvent(incarnation: Incarnation, event: CacheEvent) =
        update(incarnation) { it.copy(prefixes = it.prefixes.apply(event)) }

    /** Own attempts in flight on the agent run [incarnation]. */
    fun inFlight(incarnation: Incarnation): Int = views[incarnation]?.inFlight ?: 0

    private fun fitting(request: RoutingRequest): List<RouteView> =
        services[request.service].orEmpty().mapNotNull { views[it] }.filter { it.fits(request) }

    private fun RouteView.fits(request: RoutingRequest): Boolean {
        if (route.incarnation in request.excluded) return false
        if (request.version != null && request.version != route.version) return false
        return request.adapter == null || request.adapter in route.adapters
    }

    private fun candidates(open: List<RouteView>, request: RoutingRequest): List<RouteView> {
        val (local, remote) = open.partition { it.route.dataCentre == settings.dataCentre }
        val chosen = draw(local, settings.localChoices) + draw(remote, settings.remoteChoices)
        if (request.prompt.isEmpty()) return chosen
        return chosen + holders(open, request.prompt)
    }

    /** Routes with the longest match; a prompt that many callers share is held by several, of which some are full. */
    private fun holders(open: List<RouteView>, prompt: LongArray): List<RouteView> {
        val matches = open.map { it.prefixes.match(prompt) }
        val longest = matches.max()
        if (longest == 0) return emptyList()
        return draw(open.filterIndexed { index, _ -> matches[index] == longest }, HOLDER_CHOICES)
    }

    private fun draw(from: List<RouteView>, count: Int): List<RouteView> {
        // The first of equal routes is chosen, so the order must differ between requests and entries.
        if (from.size <= count) return rotate(from, if (from.size < 2) 0 else nextInt(from.size))
        return List(count) { from[nextInt(from.size)] }
    }

    private fun rotate(from: List<RouteView>, by: Int): List<RouteView> = from.drop(by) + from.take(by)

    private fun firstTokenMs(view: RouteView, request: RoutingRequest, nowMs: Long, meanOthers: Double): Double {
        val link = linkCost(view.route.dataCentre)
        val missed = request.prompt.size - view.prefixes.match(request.prompt)
        val work = view.waitMs(nowMs, meanOthers, serviceMs) + prefill(missed)
        val slots = (view.report?.slots ?: view.route.slots).coerceAtLeast(1)
        val crowding = (view.inFlight + view.others(nowMs, meanOthers)) / slots * CROWDING_MS
        return work * view.slownessAt(nowMs) + crowding + link.roundTripMs + link.penaltyMs
    }

    private fun prefill(blocks: Int): Double = (blocks + 1) * prefillMs

    private fun meanOthers(among: List<RouteView>): Double {
        val reported = among.filter { it.report != null }
        return if (reported.isEmpty()) 0.0 else reported.sumOf { it.othersAtReport }.toDouble() / reported.size
    }

    private fun leave(ticket: Ticket, change: (RouteView) -> RouteView) = update(ticket.route.incarnation) {
        change(it.copy(inFlight = maxOf(it.inFlight - 1, 0), awaiting = it.awaiting.remove(ticket.number)))
    }

    private fun update(incarnation: Incarnation, change: (RouteView) -> RouteView) {
        val view = views[incarnation] ?: return
        views = views.put(incarnation, change(view))
    }

    private companion object {
        const val HOLDER_CHOICES = 4
        const val LEARNING_GAIN = 0.02
        const val LEARNABLE_RATIO = 2.0

        /** Preference in milliseconds for an empty route over a full one, which decides when nobody has to wait. */
        const val CROWDING_MS = 20.0
        const val FIRST_BACKOFF_MS = 200L
        const val MAX_DOUBLINGS = 5
    }
}
