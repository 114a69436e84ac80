/*
 * Holds requests of a caller's connection until the entry knows its first configuration, which it receives soon after
 * its start.
 */
package org.bramleyspur.daemon.forward

import org.bramleyspur.traffic.forward.OUTAGE_POLL_INTERVAL_MS
import org.bramleyspur.traffic.forward.waitsForOutage

/** The wait of one connection's requests. Confined to the traffic thread. */
internal class ConfigurationWait(private val context: ForwardContext) {
    /** The response to the last request that waited. */
    private var waitingFor: ConnectionResponse? = null

    /** Whether [request], which cannot be admitted now, waits for the first configuration. */
    fun holds(request: CallerRequest): Boolean {
        if (context.routes != null) return false
        val waitedMs = context.timers.nowMs() - request.receivedAtMs
        val limitMs = request.headers.get(context.headers.remainingMs)?.trim()?.toLongOrNull() ?: DEFAULT_LIMIT_MS
        return waitsForOutage(waitedMs, limitMs - waitedMs, context.outages.uptimeMs)
    }

    /** Calls [retry] when the request [id] with this [response] is to be tried again. */
    fun hold(id: String?, response: ConnectionResponse, retry: () -> Unit) {
        if (waitingFor !== response) {
            waitingFor = response
            context.metrics.onWait(route = "", "configuration")
            context.log.write("request-waits", "request" to id, "for" to "configuration")
        }
        context.timers.after(OUTAGE_POLL_INTERVAL_MS, retry)
    }

    private companion object {
        /** Time limit of a request that names none. */
        const val DEFAULT_LIMIT_MS = 1_000L
    }
}
