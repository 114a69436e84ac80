package org.bramleyspur.daemon.forward

import org.bramleyspur.core.document.DocumentService
import org.bramleyspur.core.time.TimerService

/** Since when requests cannot be forwarded, by service and model. Confined to the traffic thread. */
internal class OutageTracker(private val timers: TimerService) {
    private val startedAtMs = timers.nowMs()
    private val lastForwardedMs = HashMap<Pair<String, String?>, Long>()

    /** Time in milliseconds since the start. */
    val uptimeMs: Long get() = timers.nowMs() - startedAtMs

    /** Records that there was a backend server for a request to [model] of [service]. */
    fun onChosen(service: DocumentService, model: String?) {
        lastForwardedMs[keyOf(service, model)] = timers.nowMs()
    }

    /** Time in milliseconds since there was a backend server for such a request, or since the start. */
    fun outageMs(service: DocumentService, model: String?): Long =
        timers.nowMs() - (lastForwardedMs[keyOf(service, model)] ?: startedAtMs)

    /** A model that the service does not have is not remembered: callers may name any number of them. */
    private fun keyOf(service: DocumentService, model: String?): Pair<String, String?> =
        service.name to model?.takeIf { name -> service.models.any { it.name == name } }
}
