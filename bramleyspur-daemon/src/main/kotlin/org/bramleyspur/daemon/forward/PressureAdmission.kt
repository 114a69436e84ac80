/*
 * Feeds the rules of admission under pressure with the requests for streams of an entry, and holds those that wait.
 */
package org.bramleyspur.daemon.forward

import org.bramleyspur.core.time.TimerHandle
import org.bramleyspur.core.time.TimerService
import org.bramleyspur.traffic.forward.ServerPool
import org.bramleyspur.traffic.pressure.PoolPressure
import org.bramleyspur.traffic.pressure.Prediction
import org.bramleyspur.traffic.pressure.PressureDecision
import org.bramleyspur.traffic.pressure.PressureReason
import org.bramleyspur.traffic.pressure.PressureRequest
import org.bramleyspur.traffic.pressure.ReturnRamp
import org.bramleyspur.traffic.pressure.WaitingRoom
import org.bramleyspur.traffic.pressure.sizeClass

/** A decision with its inputs, for the log. */
internal class PressureVerdict(
    val decision: PressureDecision,
    val request: PressureRequest,
    val prediction: Prediction?,
    val level: Double,
    val limit: Double,
)

/**
 * Admission of the requests that compete for the room of backend servers. Confined to the traffic thread.
 *
 * @property entries number of entries that send to the same backend servers
 * @property fraction returns a uniform random number from 0 (inclusive) to 1 (exclusive)
 * @property knowsOthers tells whether predictions count the requests of the other entries
 */
internal class PressureAdmission(
    private val timers: TimerService,
    private val metrics: ForwardMetrics,
    private val entries: () -> Int,
    private val fraction: () -> Double,
    private val knowsOthers: () -> Boolean = { false },
) {
    private class Waiting(val dueAtMs: Long, val decideAgain: () -> Unit)

    private val pools = HashMap<ServerPool, PoolPressure>()
    private val ramps = HashMap<ServerPool, ReturnRamp>()

    /** The pools for which there was a backend server when it was last looked for. */
    private val available = HashSet<ServerPool>()
    private val actions = HashMap<AdmittedRequest, Waiting>()
    private var room = WaitingRoom<AdmittedRequest>()
    private var timer: TimerHandle? = null

    /** Number of requests that wait at the entry. */
    val waiting: Int get() = room.count

    /** Number of requests at backend servers. */
    val inFlight: Int get() = pools.values.sumOf { it.inFlight }

    /** Records whether there was a backend server for a request to [pool]; after an outage this starts a ramp. */
    fun onChoice(pool: ServerPool, found: Boolean) {
        if (!found) {
            available -= pool
        } else if (available.add(pool)) {
            ramps[pool] = ReturnRamp().onReturn(timers.nowMs())
            pools[pool] = stateOf(pool).onReturn(timers.nowMs())
        }
    }

    private fun stateOf(pool: ServerPool) = pools[pool] ?: PoolPressure()

    /** Records a request that was received, with the backend server that would be chosen; it counts once. */
    fun onAsked(pool: ServerPool, request: AdmittedRequest, choice: BackendChoice?) {
        pools[pool] = stateOf(pool).onAsked(inputOf(request), choice?.let { predict(pool, it, 1) }, timers.nowMs())
    }

    /** Decides on [request], for which [choice] would be used; the pool has [servers] that accept requests. */
    fun decide(pool: ServerPool, request: AdmittedRequest, choice: BackendChoice, servers: Int): PressureVerdict {
        val nowMs = timers.nowMs()
        val input = inputOf(request)
        val prediction = predict(pool, choice, servers)
        val hasRoom = room.hasRoom(request, request.caller.body.size)
        val decision = stateOf(pool).decide(input, prediction, hasRoom, fraction(), nowMs)
        if (decision is PressureDecision.Refuse) {
            pools[pool] = stateOf(pool).onRefused(nowMs)
            metrics.onPressureRefusal(request.route.name, decision.reason.name.lowercase())
        }
        return PressureVerdict(decision, input, prediction, stateOf(pool).level(nowMs), stateOf(pool).limit)
    }

    private fun predict(pool: ServerPool, choice: BackendChoice, servers: Int): Prediction {
        val rampMs = ramps[pool]?.waitMs(servers, entries(), timers.nowMs()) ?: 0.0
        val promptMs = choice.expectedMs - choice.waitMs
        val waitMs = maxOf(choice.waitMs, rampMs)
        return Prediction(promptMs + waitMs, waitMs, knowsOthers())
    }

    private fun inputOf(request: AdmittedRequest) = PressureRequest(
        route = request.route.name,
        account = request.account?.name.orEmpty(),
        sizeClass = sizeClass(request.tokens.prompt, request.tokens.output),
        targetMs = request.route.targetLatencyMs,
        priority = request.account?.priority ?: request.route.priority,
        waitedMs = request.elapsedMs(),
        remainingMs = request.remainingMs(),
    )

    /** Records that [request] was sent to [choice]. */
    fun onStarted(pool: ServerPool, request: AdmittedRequest, choice: BackendChoice, servers: Int) {
        val nowMs = timers.nowMs()
        pools[pool] = stateOf(pool).onStarted(inputOf(request), nowMs)
        val promptMs = choice.expectedMs - choice.waitMs
        ramps.computeIfPresent(pool) { _, ramp -> ramp.onStarted(promptMs, servers, entries(), nowMs) }
    }

    /** Records the first event of [request] after [tookMs], or that it did not come within its target. */
    fun onFirstEvent(pool: ServerPool, request: AdmittedRequest, tookMs: Long) {
        pools[pool] = stateOf(pool).onFirstEvent(inputOf(request), tookMs, timers.nowMs())
    }

    /** Records the end of a request that was sent. */
    fun onEnded(pool: ServerPool) {
        pools[pool] = stateOf(pool).onEnded()
    }

    /** Records that a backend server rejected a request to [pool] since it was full. */
    fun onRejected(pool: ServerPool) {
        pools[pool] = stateOf(pool).onRejected(timers.nowMs())
    }

    /** Time in milliseconds after which [request], for which there is no backend server, may return. */
    fun retryAfterMs(pool: ServerPool, request: AdmittedRequest): Long {
        val nowMs = timers.nowMs()
        pools[pool] = stateOf(pool).onRefused(nowMs)
        metrics.onPressureRefusal(request.route.name, PressureReason.NO_SERVER.name.lowercase())
        return stateOf(pool).retryAfterMs(inputOf(request), null, fraction(), nowMs)
    }

    /** Runs [decideAgain] after about [delayMs]; [request] is in the room until the returned handle is cancelled. */
    fun await(request: AdmittedRequest, delayMs: Long, decideAgain: () -> Unit): TimerHandle {
        val nowMs = timers.nowMs()
        // Requests that wait for the same time are due together, so that the newest of them is decided on first.
        val dueAtMs = (nowMs / delayMs + 1) * delayMs
        val priority = request.account?.priority ?: request.route.priority
        room = room.with(request, priority, request.caller.receivedAtMs, request.caller.body.size)
        actions[request] = Waiting(dueAtMs, decideAgain)
        metrics.onWaiting(room.count, room.bytes)
        schedule()
        return TimerHandle { leave(request) }
    }

    /** Whether [request] may wait for the end of an outage. */
    fun hasRoom(request: AdmittedRequest): Boolean = room.hasRoom(request, request.caller.body.size)

    private fun leave(request: AdmittedRequest) {
        if (actions.remove(request) == null) return
        room = room.without(request)
        metrics.onWaiting(room.count, room.bytes)
    }

    private fun schedule() {
        if (timer != null || actions.isEmpty()) return
        timer = timers.after(TICK_MS) {
            timer = null
            offerWaiting()
            schedule()
        }
    }

    private fun offerWaiting() {
        val nowMs = timers.nowMs()
        val due = room.order().filter { request -> actions[request]?.let { it.dueAtMs <= nowMs } ?: false }
        due.forEach { actions[it]?.decideAgain?.invoke() }
    }

    private companion object {
        const val TICK_MS = 10L
    }
}
