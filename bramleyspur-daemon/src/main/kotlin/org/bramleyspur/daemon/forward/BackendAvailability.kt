package org.bramleyspur.daemon.forward

import io.netty.handler.codec.http.HttpHeaders
import org.bramleyspur.core.backend.Announcement
import org.bramleyspur.core.telemetry.DecisionLog
import org.bramleyspur.core.time.TimerService
import org.bramleyspur.traffic.forward.BackendBackoff
import org.bramleyspur.traffic.quarantine.EngineLife

/** Which backend servers accept requests, according to their responses. Confined to the traffic thread. */
internal class BackendAvailability(
    private val timers: TimerService,
    private val names: ForwardHeaders,
    private val log: DecisionLog,
    private val metrics: ForwardMetrics,
) {
    private var backoff = BackendBackoff()

    /** Records what the head of a response of [server] says about further requests. */
    fun onResponseHead(server: EngineLife, status: Int, headers: HttpHeaders) {
        // A misdirected request was answered by another backend server.
        if (status == STATUS_MISDIRECTED) return
        if (saysLeaving(headers, names)) onLeaving(server)
        if (status == STATUS_UNAVAILABLE) retryAfterMs(headers)?.let { onTurnedAway(server, it) }
    }

    private fun onLeaving(server: EngineLife) {
        if (backoff.isLeaving(server)) return
        backoff = backoff.onLeaving(server)
        metrics.onBackoff("leaving")
        log.write("backend-leaving", "id" to server.id)
    }

    private fun onTurnedAway(server: EngineLife, delayMs: Long) {
        val nowMs = timers.nowMs()
        val first = backoff.allows(server, nowMs)
        backoff = backoff.onTurnedAway(server, delayMs, nowMs)
        if (!first) return
        metrics.onBackoff("retry-after")
        log.write("backend-backoff", "id" to server.id, "retry_after_ms" to delayMs)
    }

    /** Whether the backend server accepts requests now. */
    fun accepts(announcement: Announcement): Boolean = backoff.allows(lifeOf(announcement), timers.nowMs())

    /**
     * Time in milliseconds until one of the backend servers accepts requests again; null if one does now, or all of
     * [announcements] are leaving.
     */
    fun backoffMs(announcements: List<Announcement>): Long? =
        backoff.waitMs(announcements.map { lifeOf(it) }, timers.nowMs())?.takeIf { it > 0 }

    /** Forgets what has expired, and backend servers that are not among [announcements]. */
    fun expire(announcements: List<Announcement>) {
        backoff = backoff.expire(announcements.map { lifeOf(it) }.toSet(), timers.nowMs())
    }

    private fun lifeOf(announcement: Announcement) = EngineLife(announcement.id, announcement.startedAtMs)

    private companion object {
        const val STATUS_UNAVAILABLE = 503
    }
}

/** Status of a response of another backend server than the one that was addressed. */
internal const val STATUS_MISDIRECTED = 421
