/*
 * Chooses routes at an entry. Compares a few randomly sampled routes, and some that hold the longest prefix of the
 * prompt, by the expected time to the first token. Sampling keeps entries with the same delayed reports from all
 * choosing the same route; the entry's own attempts count at once, whatever the reports say.
 */
package org.bramleyspur.traffic.routing

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.bramleyspur.core.model.Incarnation
import org.bramleyspur.core.model.Route
import org.bramleyspur.traffic.admission.RefusalReason

/**
 * Routing state of one entry. Not thread-safe; all times are monotonic milliseconds.
 *
 * @param linkCost returns the cost of the link to a data centre
 * @param nextInt returns a random number from 0 until the given bound
 */
class Router(
    private val settings: RoutingSettings,
    private val linkCost: (String) -> LinkCost,
    private val nextInt: (Int) -> Int,
) {
    private var views: PersistentMap<Incarnation, RouteView> = persistentMapOf()
    private var routesByService: Map<String, List<Incarnation>> = emptyMap()
    private var serviceMs = settings.initialServiceMs
    private var prefillMsPerBlock = settings.initialPrefillMs
    private var nextNumber = 0L

    /** Replaces the routes; the state of agent incarnations that are still listed is retained. */
    fun setRoutes(routes: List<Route>) {
        views = routes.fold(persistentMapOf()) { next, route ->
            next.put(route.incarnation, views[route.incarnation]?.withRoute(route) ?: RouteView(route))
        }
        routesByService = routes.groupBy({ it.service }, { it.incarnation })
    }

    /** Returns the route for [request], or null when no route is eligible or all eligible ones are avoided. */
    fun choose(request: RoutingRequest, nowMs: Long): Route? {
        val eligible = eligibleRoutes(request)
        val open = eligible.filter { it.isOpen(request.account, nowMs) }
            .ifEmpty { eligible.filter { it.isAllowed(request.account, nowMs) } }
        if (open.size <= 1) return open.firstOrNull()?.route
        val meanOtherAttempts = meanOtherAttempts(open)
        return candidates(open, request).minBy { firstTokenMs(it, request, nowMs, meanOtherAttempts) }.route
    }

    /** Counts an attempt that was sent on [route]; returns null when the route has been withdrawn. */
    fun sent(route: Route, request: RoutingRequest, nowMs: Long): RoutedAttempt? {
        val view = views[route.incarnation] ?: return null
        val waitMs = view.waitMs(nowMs, meanOtherAttempts(eligibleRoutes(request)), serviceMs)
        val uncached = request.prompt.size - view.prefixes.match(request.prompt)
        val attempt =
            RoutedAttempt(route, request.account, nowMs, nextNumber++, waitMs + prefillMs(uncached), waitMs, uncached)
        val next = view.copy(
            sentCount = view.sentCount + 1,
            inFlight = view.inFlight + 1,
            awaitingToken = view.awaitingToken.put(attempt.number, attempt),
            prefixes = view.prefixes.assumeStored(request.prompt),
        )
        views = views.put(route.incarnation, next)
        return attempt
    }

    /** Records the first token (or head) of an attempt. */
    fun firstToken(attempt: RoutedAttempt, nowMs: Long) = update(attempt.route.incarnation) { view ->
        if (attempt.number !in view.awaitingToken) return@update view
        val tookMs = (nowMs - attempt.sentAtMs - linkCost(view.route.dataCentre).roundTripMs).coerceAtLeast(0.0)
        val ratio = (tookMs + RouteView.JITTER_TOLERANCE_MS) / (attempt.expectedMs + RouteView.JITTER_TOLERANCE_MS)
        if (attempt.expectedWaitMs == 0.0 && ratio < MAX_SAMPLE_RATIO) {
            prefillMsPerBlock += (tookMs / (attempt.uncachedBlocks + 1) - prefillMsPerBlock) * ESTIMATE_GAIN
        }
        view.copy(awaitingToken = view.awaitingToken.remove(attempt.number)).withSample(ratio, nowMs)
    }

    /** Records that an attempt completed; its duration updates the estimate of the service time. */
    fun ended(attempt: RoutedAttempt, nowMs: Long) {
        serviceMs += (nowMs - attempt.sentAtMs - attempt.expectedWaitMs - serviceMs) * ESTIMATE_GAIN
        finish(attempt) { it }
    }

    /** Records that the engine rejected the request as invalid: it works, but how fast it generates stays unknown. */
    fun rejected(attempt: RoutedAttempt) = finish(attempt) { it.copy(failures = 0) }

    /** Records that an attempt was cancelled or abandoned without a fault of its route. */
    fun abandoned(attempt: RoutedAttempt) = finish(attempt) { it }

    /**
     * Records a refusal; the route is not chosen for [retryAfterMs]. A full queue affects only the requests of the
     * refused account, since under fair queueing the wait differs between accounts.
     */
    fun refused(attempt: RoutedAttempt, reason: RefusalReason, retryAfterMs: Long, nowMs: Long) = finish(attempt) {
        if (reason == RefusalReason.QUEUE_FULL) {
            it.copy(fullUntilMs = it.fullUntilMs.put(attempt.account, nowMs + retryAfterMs))
        } else {
            it.copy(avoidUntilMs = maxOf(it.avoidUntilMs, nowMs + retryAfterMs))
        }
    }

    /** Records a broken attempt or a lost connection; each further failure doubles the back-off. */
    fun failed(attempt: RoutedAttempt, nowMs: Long) = finish(attempt) {
        val backoffMs = FIRST_BACKOFF_MS shl it.failures.coerceAtMost(MAX_BACKOFF_DOUBLINGS)
        it.copy(failures = it.failures + 1, avoidUntilMs = maxOf(it.avoidUntilMs, nowMs + backoffMs))
    }

    /** Records a load report of the agent incarnation [incarnation]. */
    fun onLoad(incarnation: Incarnation, load: ReportedLoad, nowMs: Long) =
        update(incarnation) { it.onReport(load, nowMs) }

    /** Records a cache event of the engine behind the agent incarnation [incarnation]. */
    fun onCacheEvent(incarnation: Incarnation, event: CacheEvent) =
        update(incarnation) { it.copy(prefixes = it.prefixes.apply(event)) }

    /** Attempts of this entry in flight on the agent incarnation [incarnation]. */
    fun inFlight(incarnation: Incarnation): Int = views[incarnation]?.inFlight ?: 0

    private fun eligibleRoutes(request: RoutingRequest): List<RouteView> =
        routesByService[request.service].orEmpty().mapNotNull { views[it] }.filter { it.isEligible(request) }

    private fun RouteView.isEligible(request: RoutingRequest): Boolean {
        if (route.incarnation in request.excluded) return false
        if (request.version != null && request.version != route.version) return false
        return request.adapter == null || request.adapter in route.adapters
    }

    private fun candidates(open: List<RouteView>, request: RoutingRequest): List<RouteView> {
        val (local, remote) = open.partition { it.route.dataCentre == settings.dataCentre }
        val chosen = sample(local, settings.localChoices) + sample(remote, settings.remoteChoices)
        if (request.prompt.isEmpty()) return chosen
        return chosen + prefixHolders(open, request.prompt)
    }

    /** Samples the routes with the longest match; several hold a prompt that many callers share, and some are full. */
    private fun prefixHolders(open: List<RouteView>, prompt: LongArray): List<RouteView> {
        val matches = open.map { it.prefixes.match(prompt) }
        val longest = matches.max()
        if (longest == 0) return emptyList()
        return sample(open.filterIndexed { index, _ -> matches[index] == longest }, HOLDER_CHOICES)
    }

    private fun sample(from: List<RouteView>, count: Int): List<RouteView> {
        // The first of several equal routes is chosen, so the order must differ between requests and entries.
        if (from.size <= count) return rotate(from, if (from.size < 2) 0 else nextInt(from.size))
        return List(count) { from[nextInt(from.size)] }
    }

    private fun rotate(from: List<RouteView>, by: Int): List<RouteView> = from.drop(by) + from.take(by)

    private fun firstTokenMs(view: RouteView, request: RoutingRequest, nowMs: Long, meanOtherAttempts: Double): Double {
        val link = linkCost(view.route.dataCentre)
        val uncached = request.prompt.size - view.prefixes.match(request.prompt)
        val engineMs = view.waitMs(nowMs, meanOtherAttempts, serviceMs) + prefillMs(uncached)
        val slots = (view.report?.slots ?: view.route.slots).coerceAtLeast(1)
        val occupancyMs = (view.inFlight + view.otherAttempts(nowMs, meanOtherAttempts)) / slots * FULL_ROUTE_PENALTY_MS
        return engineMs * view.slownessAt(nowMs) + occupancyMs + link.roundTripMs + link.penaltyMs
    }

    private fun prefillMs(blocks: Int): Double = (blocks + 1) * prefillMsPerBlock

    private fun meanOtherAttempts(among: List<RouteView>): Double {
        val reported = among.filter { it.report != null }
        return if (reported.isEmpty()) 0.0 else reported.sumOf { it.otherAttemptsAtReport }.toDouble() / reported.size
    }

    private fun finish(attempt: RoutedAttempt, change: (RouteView) -> RouteView) = update(attempt.route.incarnation) {
        change(it.copy(inFlight = maxOf(it.inFlight - 1, 0), awaitingToken = it.awaitingToken.remove(attempt.number)))
    }

    private fun update(incarnation: Incarnation, change: (RouteView) -> RouteView) {
        val view = views[incarnation] ?: return
        views = views.put(incarnation, change(view))
    }

    private companion object {
        /** Routes sampled among those that hold the longest prefix of the prompt. */
        const val HOLDER_CHOICES = 4

        /** Weight of a new sample in the estimates of the service and prefill times. */
        const val ESTIMATE_GAIN = 0.02

        /** First-token time relative to the prediction from which a sample does not count for the prefill time. */
        const val MAX_SAMPLE_RATIO = 2.0

        /** Added to the expected time of a full route, so that emptier ones are preferred when no request must wait. */
        const val FULL_ROUTE_PENALTY_MS = 20.0
        const val FIRST_BACKOFF_MS = 200L
        const val MAX_BACKOFF_DOUBLINGS = 5
    }
}
