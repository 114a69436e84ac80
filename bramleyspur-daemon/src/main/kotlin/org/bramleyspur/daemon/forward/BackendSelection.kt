/*
 * Chooses the backend servers of one request, and decides whether the request waits for one or is refused.
 */
package org.bramleyspur.daemon.forward

import org.bramleyspur.core.time.TimerHandle
import org.bramleyspur.traffic.forward.AttemptEnd
import org.bramleyspur.traffic.forward.OUTAGE_POLL_INTERVAL_MS
import org.bramleyspur.traffic.forward.waitsForOutage
import org.bramleyspur.traffic.pressure.PressureDecision

/**
 * The choice of backend servers for the attempts of [request]. Confined to the traffic thread.
 *
 * @property responseStarted whether a part of the response was forwarded
 */
internal class BackendSelection(
    private val context: ForwardContext,
    private val request: AdmittedRequest,
    private val log: RequestLog,
    private val release: StreamRelease,
    private val responseStarted: () -> Boolean,
) {
    private val triedBackends = LinkedHashSet<String>()
    private val supersededBackends = LinkedHashSet<String>()

    /** Whether it has waited for a backend server. */
    private var waiting = false

    /** Whether it was counted as a request that competes for room. */
    private var asked = false

    /** Whether it counts as a request at the pool. */
    private var counted = false

    private var startedAtMs = 0L

    /** Runs when the first event is late; null before the start and after the first event. */
    private var overdue: TimerHandle? = null

    /** The backend server that was first asked last; null before the first attempt. */
    val lastTried: String? get() = triedBackends.lastOrNull()

    /** Number of the backend servers that can be asked again for the rest of a stream. */
    val supersededServers: Int get() = supersededBackends.size

    /** Whether there was an attempt on the backend server of [choice]. */
    fun wasAsked(choice: BackendChoice): Boolean = choice.load.id in triedBackends

    /** Records an attempt on the backend server of [choice]. */
    fun onSent(choice: BackendChoice) {
        triedBackends += choice.load.id
    }

    /** Records that attempts on [backends] were cancelled because another one took over. */
    fun onSuperseded(backends: List<String>) {
        supersededBackends += backends
    }

    private fun choose(filter: BackendFilter): BackendChoice? =
        context.choose(request.service, request.model, request.tokens, filter)

    /** Chooses a backend server that was not asked before. */
    fun chooseUntried(): BackendChoice? = choose(BackendFilter(homes = request.homes) { it !in triedBackends })

    /** Chooses a backend server whose attempt was superseded; this also ends that it can be asked again. */
    fun takeSuperseded(): BackendChoice? {
        val choice = choose(BackendFilter(unresponsiveToo = true, request.homes) { it in supersededBackends })
        if (choice == null) supersededBackends.clear() else supersededBackends -= choice.load.id
        return choice
    }

    /** Whether the backend server of [choice] has neither failed recently nor become unresponsive. */
    fun isSound(choice: BackendChoice) = context.timers.nowMs() >= choice.load.suspectUntilMs

    /** Whether [choice] is predicted to answer while the caller still waits. */
    fun isSoonEnough(choice: BackendChoice): Boolean =
        choice.expectedMs <= request.remainingMs() && choice.waitMs <= maxWaitMs()

    /**
     * Longest acceptable queueing time on a backend server, in milliseconds. Callers give up on a stream that does not
     * begin; one that has begun may wait until its deadline. The limit does not depend on the length of the prompt.
     */
    private fun maxWaitMs(): Double =
        if (request.streaming && !responseStarted()) context.maxWaitMs(request) else Double.MAX_VALUE

    /** Whether the request waits for the end of an outage; [nothingSent] when no attempt of it was made. */
    fun waits(nothingSent: Boolean): Boolean = nothingSent &&
        context.pressure?.hasRoom(request) != false && release.hasRoom() &&
        !isEvacuated() && !context.isOutsideHomes(request) && !context.exceedsMemory(request) &&
        context.backoffMs(request.service, request.model) == null &&
        waitsForOutage(
            request.elapsedMs(),
            request.remainingMs(),
            context.outages.outageMs(request.service, request.model),
        )

    /**
     * Decides on a request that competes with others for the room of [choice]; null if it does not compete, since
     * something of it was sent or it is no stream from its beginning.
     */
    fun decide(choice: BackendChoice?, nothingSent: Boolean): PressureDecision? {
        val pressure = context.pressure ?: return null
        if (!nothingSent || !request.streaming || request.lastEventId != null) return null
        val pool = context.poolOf(request)
        pressure.onChoice(pool, found = choice != null)
        if (!asked) pressure.onAsked(pool, request, choice)
        asked = true
        choice ?: return null
        val verdict = pressure.decide(pool, request, choice, serverCount())
        val decision = verdict.decision
        if (decision is PressureDecision.Refuse) log.onPressure(verdict)
        if (decision is PressureDecision.Start) {
            pressure.onStarted(pool, request, choice, serverCount())
            counted = true
            startedAtMs = context.timers.nowMs()
            overdue = context.timers.after(request.route.targetLatencyMs) { if (isAtWork(choice)) onFirstEvent() }
            if (decision.floor) {
                context.metrics.onFloorStart(request.route.name)
                log.onPressure(verdict)
            }
        }
        return decision
    }

    /** Whether the backend server of [choice] has sent something lately: it is not silent, so its queue is long. */
    private fun isAtWork(choice: BackendChoice): Boolean =
        isSound(choice) && choice.load.lastResponseMs >= startedAtMs + request.route.targetLatencyMs / 2

    /** Records the first event of the response, or that it is late. After a failed attempt it tells no queue. */
    fun onFirstEvent() {
        overdue?.cancel() ?: return
        overdue = null
        if (triedBackends.size > 1) return
        val tookMs = context.timers.nowMs() - startedAtMs
        context.pressure?.onFirstEvent(context.poolOf(request), request, tookMs)
    }

    /** Records the end of the request. */
    fun onEnd() {
        overdue?.cancel()
        overdue = null
        if (counted) context.pressure?.onEnded(context.poolOf(request))
        counted = false
    }

    private fun serverCount() = context.serverCount(request.service, request.model)

    /** Runs [over] after [delayMs] or more, when the requests before this one were decided on. */
    fun awaitRoom(delayMs: Long, over: () -> Unit): TimerHandle {
        if (!waiting) context.metrics.onWait(request.route.name, "room")
        waiting = true
        return context.pressure?.await(request, delayMs, over) ?: context.timers.after(delayMs, over)
    }

    /** Records that a backend server rejected the request. */
    fun onRejected() {
        context.pressure?.onRejected(context.poolOf(request))
    }

    /** Time in milliseconds after which the caller may return if no backend server named one. */
    fun retryAfterMs(): Long {
        if (!isEvacuated()) return returnMs()
        context.metrics.onEvacuated(request.route.name)
        return EVACUATED_RETRY_AFTER_MS
    }

    private fun returnMs(): Long = context.pressure?.retryAfterMs(context.poolOf(request), request) ?: RETRY_AFTER_MS

    /** Runs [over] when a backend server is to be looked for again. */
    fun awaitBackend(over: () -> Unit): TimerHandle {
        if (!waiting) {
            waiting = true
            context.metrics.onWait(request.route.name, "backend")
            log.onWait(request.model ?: request.service.name)
        }
        return context.pressure?.await(request, OUTAGE_POLL_INTERVAL_MS, over)
            ?: release.awaitBackend(over)
            ?: context.timers.after(OUTAGE_POLL_INTERVAL_MS, over)
    }

    /** How an attempt ends for which there is no backend server. */
    fun endWithoutServer(): AttemptEnd =
        context.backoffMs(request.service, request.model)?.let { AttemptEnd.BackingOff(it) } ?: AttemptEnd.NoCandidate

    /** Tells the caller that there is no backend server. */
    fun noServerText(): String {
        val target = request.model ?: request.service.name
        return when {
            context.isOutsideHomes(request) -> "no backend server of $target is in a region of the request"
            context.exceedsMemory(request) -> "it has more tokens than an engine of $target can hold"
            isEvacuated() -> "all backend servers of $target are in evacuated data centres"
            else -> "no backend server takes $target"
        }
    }

    private fun isEvacuated(): Boolean = context.isEvacuated(request)

    /** The cold backend server to which the request may be sent first, and when; null if none holds it back. */
    fun firstHeld() = context.firstHeld(request, triedBackends)

    /** Tells the caller that the backend server of [choice] would answer too late. */
    fun tooLateText(choice: BackendChoice): String = "expected ${choice.expectedMs.toLong()} ms to the first event"

    private companion object {
        /** Forming a group again without a lost member takes about two seconds; other groups have room sooner. */
        const val RETRY_AFTER_MS = 300L

        /** An operator ends an evacuation after seconds at the soonest. */
        const val EVACUATED_RETRY_AFTER_MS = 1_000L
    }
}
