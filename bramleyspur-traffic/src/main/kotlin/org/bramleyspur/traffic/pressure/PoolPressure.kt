/*
 * Decides which of the requests that compete for the room of a pool of backend servers start. Without pressure, a
 * request starts unless its wait is very long. Under pressure, it starts if it can be in time, and less urgent routes
 * and accounts above their fair share leave room for others. Routes, accounts and sizes that are served much less often
 * than the mean start as without pressure.
 */
package org.bramleyspur.traffic.pressure

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlin.math.exp

/** What an entry knows of the competition for one pool. Immutable. */
class PoolPressure private constructor(
    private val routes: PersistentMap<RouteKey, RouteDemand>,
    private val asked: DecayingCounts<Subject>,
    private val started: DecayingCounts<Subject>,
    private val refused: DecayingCounts<Unit>,
    private val level: Double,
    private val levelAtMs: Long,
    private val window: StreamWindow,
    /** Number of requests of this entry at the pool. */
    val inFlight: Int,
) {
    constructor() : this(
        persistentMapOf(),
        DecayingCounts(SHARE_WINDOW_MS, MAX_SUBJECTS),
        DecayingCounts(SHARE_WINDOW_MS, MAX_SUBJECTS),
        DecayingCounts(RETURN_WINDOW_MS, 1),
        0.0,
        0L,
        StreamWindow(),
        0,
    )

    /** Accounts may have priorities of their own on the same route. */
    private data class RouteKey(val name: String, val priority: Int)

    private data class RouteDemand(val targetMs: Long, val priority: Int, val promptMs: Double, val atMs: Long)

    /** What requests have in common that must not starve. */
    private sealed interface Subject {
        data object All : Subject
        data class Route(val name: String) : Subject
        data class Account(val name: String) : Subject
        data class Size(val route: String, val sizeClass: Int) : Subject
    }

    private fun subjectsOf(request: PressureRequest) = listOf(
        Subject.Route(request.route),
        Subject.Account(request.account),
        Subject.Size(request.route, request.sizeClass),
    )

    /** Recent predicted wait as a share of the limit, from 0; 1 when engines reject requests. */
    fun level(nowMs: Long): Double = level * exp(-(nowMs - levelAtMs).coerceAtLeast(0) / LEVEL_WINDOW_MS)

    /** Whether requests compete for the room. */
    fun isPressed(nowMs: Long): Boolean = level(nowMs) >= PRESSED_LEVEL || inFlight >= window.limit * PRESSED_LEVEL

    /** Number of requests of this entry that may be at the pool at once. */
    val limit: Double get() = window.limit

    /** With a request that was received; [prediction] is null if no backend server takes it. */
    fun onAsked(request: PressureRequest, prediction: Prediction?, nowMs: Long): PoolPressure {
        val key = RouteKey(request.route, request.priority)
        val before = routes[key]
        val promptMs = prediction?.promptMs ?: before?.promptMs ?: 0.0
        val average = before?.let { it.promptMs + (promptMs - it.promptMs) * AVERAGE_WEIGHT } ?: promptMs
        val demand = RouteDemand(request.targetMs, request.priority, average, nowMs)
        val counted = (subjectsOf(request) + Subject.All).fold(asked) { all, subject -> all.plus(subject, nowMs) }
        val next = copy(routes = routes.put(key, demand), asked = counted)
        val limitMs = prediction?.let { next.limitMs(request.copy(waitedMs = 0), it, nowMs) } ?: return next
        val sample = (prediction.waitMs / limitMs).coerceAtMost(MAX_LEVEL)
        val current = level(nowMs)
        return next.copy(level = current + (sample - current) * AVERAGE_WEIGHT, levelAtMs = nowMs)
    }

    /** With a request that was sent. */
    fun onStarted(request: PressureRequest, nowMs: Long): PoolPressure = copy(
        started = (subjectsOf(request) + Subject.All).fold(started) { all, subject -> all.plus(subject, nowMs) },
        inFlight = inFlight + 1,
    )

    /** With the end of a request that was sent. */
    fun onEnded(): PoolPressure = copy(inFlight = inFlight - 1)

    /** With the first event of a request like [request] after [tookMs], or the target if it was due by then. */
    fun onFirstEvent(request: PressureRequest, tookMs: Long, nowMs: Long): PoolPressure =
        copy(window = window.onFirstEvent(tookMs, inFlight, request.targetMs, nowMs))

    /** With a request that was refused and may return. */
    fun onRefused(nowMs: Long): PoolPressure = copy(refused = refused.plus(Unit, nowMs))

    /** With a request that a backend server rejected since it was full. */
    fun onRejected(nowMs: Long): PoolPressure = copy(level = maxOf(1.0, level(nowMs)), levelAtMs = nowMs)

    /** With the end of an outage: what has waited competes with what arrives. */
    fun onReturn(nowMs: Long): PoolPressure = onRejected(nowMs)

    /**
     * Decides on [request]. [hasRoom] tells whether it may wait at the entry, [fraction] (uniform in 0 until 1) spreads
     * the times to return.
     */
    fun decide(
        request: PressureRequest,
        prediction: Prediction?,
        hasRoom: Boolean,
        fraction: Double,
        nowMs: Long,
    ): PressureDecision {
        val reason = refusalReason(request, prediction, nowMs)
        return when {
            reason == null -> PressureDecision.Start()
            reason != PressureReason.HOPELESS && prediction != null && isStarved(request, nowMs) &&
                prediction.waitMs <= patienceMs(request, nowMs) && inFlight < window.limit * FLOOR_WINDOW ->
                PressureDecision.Start(floor = true)
            hasRoom && prediction != null && mayWait(request, prediction) -> PressureDecision.Wait(POLL_INTERVAL_MS)
            else -> PressureDecision.Refuse(reason, retryAfterMs(request, prediction, fraction, nowMs))
        }
    }

    private fun refusalReason(request: PressureRequest, prediction: Prediction?, nowMs: Long): PressureReason? = when {
        prediction == null -> PressureReason.NO_SERVER
        prediction.expectedMs > request.remainingMs -> PressureReason.HOPELESS
        !isPressed(nowMs) -> PressureReason.LATE.takeIf { prediction.waitMs > patienceMs(request, nowMs) }
        else -> pressedReason(request, prediction, nowMs)
    }

    private fun pressedReason(request: PressureRequest, prediction: Prediction, nowMs: Long): PressureReason? {
        val limitMs = limitMs(request, prediction, nowMs)
        val waitShare = prediction.waitMs / limitMs
        val windowShare = inFlight / (window.limit * windowFactor(request, nowMs))
        // Where the wait of all entries' requests is short, refusing one more would leave its room unused.
        val isShort = prediction.complete && waitShare < SHORT_WAIT_SHARE
        val use = if (isShort) waitShare else maxOf(waitShare, windowShare)
        return when {
            use >= 1 -> PressureReason.LATE
            use >= accountFactor(request, nowMs) -> PressureReason.SHARE
            else -> null
        }
    }

    /** Share of the window that [request] may use: a part is left to more urgent routes and to what can be in time. */
    private fun windowFactor(request: PressureRequest, nowMs: Long): Double {
        val yields = competing(request, nowMs).any { it.priority < request.priority } ||
            request.waitedMs > request.targetMs * TARGET_SHARE
        return if (yields) LESS_URGENT_FACTOR else 1.0
    }

    /** Longest wait in milliseconds at a backend server with which [request] is sent under pressure. */
    private fun limitMs(request: PressureRequest, prediction: Prediction, nowMs: Long): Double {
        val own = slackMs(request.targetMs, prediction.promptMs + request.waitedMs)
        val others = competing(request, nowMs).minOfOrNull {
            val rank = if (it.priority < request.priority) LESS_URGENT_FACTOR else 1.0
            rank * slackMs(it.targetMs, it.promptMs)
        }
        return minOf(own, others ?: own)
    }

    /** Longest wait in milliseconds at a backend server with which [request] is sent without pressure. */
    private fun patienceMs(request: PressureRequest, nowMs: Long): Double {
        val targetMs = competing(request, nowMs).minOfOrNull { it.targetMs } ?: request.targetMs
        return minOf(request.targetMs, targetMs) * PATIENCE_FACTOR
    }

    private fun competing(request: PressureRequest, nowMs: Long) =
        routes.values.filter { it.priority <= request.priority && nowMs - it.atMs <= ROUTE_VALIDITY_MS }

    /** A prompt that takes the whole target by itself still uses room that nobody else does. */
    private fun slackMs(targetMs: Long, promptMs: Double): Double =
        maxOf(TARGET_SHARE * targetMs - promptMs, IDLE_SHARE * targetMs)

    private fun mayWait(request: PressureRequest, prediction: Prediction): Boolean =
        request.waitedMs < request.targetMs * WAITING_SHARE &&
            request.waitedMs + prediction.promptMs < request.targetMs * TARGET_SHARE

    /** Factor on the limit of an account that has started more than its max-min fair share. */
    private fun accountFactor(request: PressureRequest, nowMs: Long): Double {
        val own = Subject.Account(request.account)
        val demands = asked.all(nowMs).filterKeys { it is Subject.Account }
        val ownStarted = started.count(own, nowMs)
        val share = maxMinShare(demands.values, started.count(Subject.All, nowMs))
        return if (ownStarted <= share + 1) 1.0 else maxOf(MIN_ACCOUNT_FACTOR, share / ownStarted)
    }

    /** Whether the route, the account or the size is served much less often than the mean. */
    private fun isStarved(request: PressureRequest, nowMs: Long): Boolean {
        val meanShare = started.count(Subject.All, nowMs) / maxOf(1.0, asked.count(Subject.All, nowMs))
        return subjectsOf(request).any {
            started.count(it, nowMs) + 1 <= FLOOR_SHARE * meanShare * asked.count(it, nowMs)
        }
    }

    /**
     * Time in milliseconds after which there should be room for [request]: when the predicted wait has fallen to its
     * limit, spread over the time in which those who were refused can be served.
     */
    fun retryAfterMs(request: PressureRequest, prediction: Prediction?, fraction: Double, nowMs: Long): Long {
        val longestMs = maxOf(1.0, request.remainingMs / REMAINING_SHARE)
        val drainMs =
            prediction?.let { maxOf(0.0, it.waitMs - limitMs(request.copy(waitedMs = 0), it, nowMs)) } ?: 0.0
        val startedPerMs = started.count(Subject.All, nowMs) / SHARE_WINDOW_MS
        val serveMs = refused.count(Unit, nowMs) / maxOf(startedPerMs, MIN_STARTS_PER_MS)
        val shortestMs = if (prediction == null) OUTAGE_SPREAD_MS else MIN_SPREAD_MS
        val earliestMs = minOf(ROUND_TRIP_MS + drainMs, longestMs / 2)
        val spreadMs = serveMs.coerceIn(minOf(shortestMs, longestMs - earliestMs), longestMs - earliestMs)
        return (earliestMs + fraction * spreadMs).toLong().coerceAtLeast(1)
    }

    private fun copy(
        routes: PersistentMap<RouteKey, RouteDemand> = this.routes,
        asked: DecayingCounts<Subject> = this.asked,
        started: DecayingCounts<Subject> = this.started,
        refused: DecayingCounts<Unit> = this.refused,
        level: Double = this.level,
        levelAtMs: Long = this.levelAtMs,
        window: StreamWindow = this.window,
        inFlight: Int = this.inFlight,
    ) = PoolPressure(routes, asked, started, refused, level, levelAtMs, window, inFlight)

    private companion object {
        /** Over some seconds an entry sees several requests of each account. */
        const val SHARE_WINDOW_MS = 4_000.0

        /** Callers return within about a second. */
        const val RETURN_WINDOW_MS = 1_000.0
        const val LEVEL_WINDOW_MS = 500.0
        const val MAX_SUBJECTS = 512

        /** Averages over about five requests. */
        const val AVERAGE_WEIGHT = 0.2
        const val PRESSED_LEVEL = 0.6
        const val MAX_LEVEL = 2.0
        const val SHORT_WAIT_SHARE = 0.3

        /** A route without requests for this long does not limit the others. */
        const val ROUTE_VALIDITY_MS = 10_000L

        /** Leaves time for the network and for errors of the prediction. */
        const val TARGET_SHARE = 0.9
        const val IDLE_SHARE = 0.3
        const val LESS_URGENT_FACTOR = 0.75
        const val MIN_ACCOUNT_FACTOR = 0.5

        /** Lets starved requests go beyond the window by a part that the next cut takes back. */
        const val FLOOR_WINDOW = 1.25

        /** A first event later than this multiple of its target is of little use, and delays other requests. */
        const val PATIENCE_FACTOR = 1.5

        /** Twice the share, a quarter of the mean, below which callers count as starved. */
        const val FLOOR_SHARE = 0.5

        /** Bridges a few passes of an engine, and leaves the caller time to try elsewhere in time. */
        const val WAITING_SHARE = 0.125

        /** About one pass of an engine. */
        const val POLL_INTERVAL_MS = 10L

        /** Callers honour a time to return up to this part of the time they have left. */
        const val REMAINING_SHARE = 3.0
        const val ROUND_TRIP_MS = 20.0
        const val MIN_SPREAD_MS = 100.0

        /** A group forms again within some seconds; other groups have room sooner. */
        const val OUTAGE_SPREAD_MS = 600.0
        const val MIN_STARTS_PER_MS = 0.001
    }
}

/** The share that each of [demands] may use up to, so that together they use no more than [capacity]. */
internal fun maxMinShare(demands: Collection<Double>, capacity: Double): Double {
    var left = capacity
    val sorted = demands.sorted()
    sorted.forEachIndexed { index, demand ->
        val share = left / (sorted.size - index)
        if (demand >= share) return share
        left -= demand
    }
    return Double.POSITIVE_INFINITY
}
