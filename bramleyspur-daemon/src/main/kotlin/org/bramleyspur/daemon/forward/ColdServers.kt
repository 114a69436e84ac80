package org.bramleyspur.daemon.forward

import io.netty.handler.codec.http.HttpHeaders
import org.bramleyspur.core.backend.BackendDirectory
import org.bramleyspur.core.document.DocumentService
import org.bramleyspur.core.time.TimerService
import org.bramleyspur.traffic.cold.ColdAdmission
import org.bramleyspur.traffic.cold.ColdBounds
import org.bramleyspur.traffic.cold.ColdDecision
import org.bramleyspur.traffic.cold.ControlContact
import org.bramleyspur.traffic.cold.ServerView
import org.bramleyspur.traffic.cold.ServiceColdBounds
import org.bramleyspur.traffic.quarantine.EngineLife

/**
 * Settings of the bound for cold backend servers.
 *
 * @property announcementIntervalMs interval in milliseconds at which backend servers announce themselves
 */
data class ColdSettings(val bounds: ColdBounds, val announcementIntervalMs: Long)

/**
 * Which backend servers are cold, and what this entry may send to them. Confined to the traffic thread.
 *
 * @param settings null when no backend server is bounded
 * @param wallClockMs returns the current Unix time in milliseconds
 */
internal class ColdServers(
    private val settings: ColdSettings?,
    private val timers: TimerService,
    private val coldRemaining: String,
    private val directory: () -> BackendDirectory,
    private val wallClockMs: () -> Long = System::currentTimeMillis,
) {
    private var state = ColdAdmission(ControlContact(timers.nowMs()))
    private val coldUntilMs = HashMap<EngineLife, Long>()
    private val firstSeenMs = HashMap<EngineLife, Long>()

    /** Starts to watch for pauses of this process. */
    fun start() {
        if (settings != null) timers.every(ACTIVITY_INTERVAL_MS) { activeNowMs() }
    }

    /** Records an event of a control instance that knows [entries]. */
    fun onControlEvent(entries: Int) {
        if (settings != null) activeNowMs().let { state = state.onEvent(entries, it) }
    }

    /** Records what the head of a response of [server] says; one without the header says nothing. */
    fun onResponseHead(server: EngineLife, headers: HttpHeaders) {
        val remainingMs = headers.get(coldRemaining)?.trim()?.toDoubleOrNull()?.toLong() ?: return
        if (settings == null || remainingMs !in 1..MAX_COLD_MS) return
        coldUntilMs.merge(server, timers.nowMs() + remainingMs, ::maxOf)
    }

    /** Records a request that is sent to the backend server [id] of [service]. */
    fun onSent(service: DocumentService, id: String) {
        if (boundsOf(service) != null) activeNowMs().let { state = state.onSent(id, it) }
    }

    /** Why no request may be sent to the backend server [id] of [service] now, and until when; null if one may. */
    fun held(service: DocumentService, id: String): ColdDecision.Held? {
        val bounds = boundsOf(service) ?: return null
        val view = viewOf(id) ?: return null
        val nowMs = activeNowMs()
        return state.decide(view, bounds, nowMs) as? ColdDecision.Held
    }

    /** The one of the backend servers [ids] that takes a request again first; null if one does now. */
    fun firstHeld(service: DocumentService, ids: List<String>): Pair<String, ColdDecision.Held>? {
        if (boundsOf(service) == null) return null
        val held = ids.map { it to (held(service, it) ?: return null) }
        return held.minByOrNull { (_, decision) -> decision.untilMs }
    }

    /** Forgets what no longer counts. */
    fun expire() {
        val nowMs = activeNowMs()
        state = state.expire(nowMs)
        coldUntilMs.values.removeIf { it <= nowMs }
        firstSeenMs.keys.removeIf { directory().backends[it.id]?.announcement?.startedAtMs != it.startedAtMs }
    }

    private fun activeNowMs(): Long = timers.nowMs().also { state = state.onActive(it) }

    private fun boundsOf(service: DocumentService): ServiceColdBounds? =
        if (settings == null || service.coldRequestsPerSecond <= 0) {
            null
        } else {
            ServiceColdBounds(
                settings.bounds.limit(service.coldRequestsPerSecond),
                service.coldStartMs,
                settings.announcementIntervalMs,
            )
        }

    private fun viewOf(id: String): ServerView? {
        val known = directory().backends[id] ?: return null
        val announcement = known.announcement
        val life = EngineLife(id, announcement.startedAtMs)
        val announcedUntilMs = if (announcement.coldRemainingMs > 0) {
            known.receivedAtMs + announcement.coldRemainingMs
        } else {
            0
        }
        return ServerView(
            id,
            maxOf(announcedUntilMs, coldUntilMs[life] ?: 0),
            known.receivedAtMs,
            if (life.startedAtMs > 0) ageMs(life) else null,
        )
    }

    /** Least time since the start of [life]; a clock that is set back does not make it shorter. */
    private fun ageMs(life: EngineLife): Long {
        val nowMs = timers.nowMs()
        return maxOf(wallClockMs() - life.startedAtMs, nowMs - firstSeenMs.getOrPut(life) { nowMs })
    }

    private companion object {
        /** A fraction of the shortest pause that matters. */
        const val ACTIVITY_INTERVAL_MS = 50L

        /** Longer than any server is cold. */
        const val MAX_COLD_MS = 3_600_000L
    }
}
