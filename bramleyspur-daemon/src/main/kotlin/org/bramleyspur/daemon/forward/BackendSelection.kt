/*
 * Chooses the backend servers of one request, and decides whether the request waits for one or is refused.
 */
package org.bramleyspur.daemon.forward

import org.bramleyspur.traffic.forward.AttemptEnd
import org.bramleyspur.traffic.forward.OUTAGE_POLL_INTERVAL_MS
import org.bramleyspur.traffic.forward.waitsForOutage

/**
 * The choice of backend servers for the attempts of [request]. Confined to the traffic thread.
 *
 * @property responseStarted whether a part of the response was forwarded
 */
internal class BackendSelection(
    private val context: ForwardContext,
    private val request: AdmittedRequest,
    private val log: RequestLog,
    private val responseStarted: () -> Boolean,
) {
    private val triedBackends = LinkedHashSet<String>()
    private val supersededBackends = LinkedHashSet<String>()

    /** Whether it has waited for a backend server. */
    private var waiting = false

    /** The backend server that was first asked last; null before the first attempt. */
    val lastTried: String? get() = triedBackends.lastOrNull()

    /** Number of the backend servers that can be asked again for the rest of a stream. */
    val supersededServers: Int get() = supersededBackends.size

    /** Records an attempt on the backend server of [choice]; returns whether it is the first one there. */
    fun onSent(choice: BackendChoice): Boolean = triedBackends.add(choice.load.id)

    /** Records that attempts on [backends] were cancelled because another one took over. */
    fun onSuperseded(backends: List<String>) {
        supersededBackends += backends
    }

    private fun choose(filter: BackendFilter): BackendChoice? =
        context.choose(request.service, request.model, request.tokens, filter)

    /** Chooses a backend server that was not asked before. */
    fun chooseUntried(): BackendChoice? = choose(BackendFilter { it !in triedBackends })

    /** Chooses a backend server whose attempt was superseded; this also ends that it can be asked again. */
    fun takeSuperseded(): BackendChoice? {
        val choice = choose(BackendFilter(unresponsiveToo = true) { it in supersededBackends })
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
        !context.isEvacuated(request.service, request.model) &&
        context.backoffMs(request.service, request.model) == null &&
        waitsForOutage(
            request.elapsedMs(),
            request.remainingMs(),
            context.outages.outageMs(request.service, request.model),
        )

    /** Runs [sendAgain] when the request is to be tried again. */
    fun awaitBackend(sendAgain: () -> Unit) {
        if (!waiting) {
            waiting = true
            context.metrics.onWait(request.route.name, "backend")
            log.onWait(request.model ?: request.service.name)
        }
        context.timers.after(OUTAGE_POLL_INTERVAL_MS) { sendAgain() }
    }

    /** How an attempt ends for which there is no backend server. */
    fun endWithoutServer(): AttemptEnd =
        context.backoffMs(request.service, request.model)?.let { AttemptEnd.BackingOff(it) } ?: AttemptEnd.NoCandidate

    /** Tells the caller that there is no backend server. */
    fun noServerText(): String {
        val target = request.model ?: request.service.name
        if (!context.isEvacuated(request.service, request.model)) return "no backend server takes $target"
        context.metrics.onEvacuated(request.route.name)
        return "all backend servers of $target are in evacuated data centres"
    }

    /** Tells the caller that the backend server of [choice] would answer too late. */
    fun tooLateText(choice: BackendChoice): String = "expected ${choice.expectedMs.toLong()} ms to the first event"
}
