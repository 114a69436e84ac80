package org.bramleyspur.daemon.forward

import org.bramleyspur.core.telemetry.DecisionLog
import org.bramleyspur.core.time.TimerService
import org.bramleyspur.traffic.forward.Candidate
import org.bramleyspur.traffic.load.ServerLoad
import org.bramleyspur.traffic.load.SharedView
import org.bramleyspur.traffic.load.spreadOf

/** What other entries have sent to engines, as the leader told it. Confined to the traffic thread. */
internal class SharedLoad(
    private val timers: TimerService,
    private val log: DecisionLog,
    private val metrics: ForwardMetrics,
) {
    private var view = SharedView()
    private var loggedAtMs = 0L

    /** Records the [work] of the other entries in an event of the leader. */
    fun onLeaderEvent(work: Map<String, ServerLoad>) {
        view = view.onEvent(work, timers.nowMs())
    }

    /** Mean age in milliseconds of what is known; null if it is too old to choose by. */
    fun dataAgeMs(): Double? {
        val now = timers.nowMs()
        metrics.onSharedLoadAge(view.ageMs(now))
        return view.dataAgeMs(now)
    }

    /** Work of the other entries at [backend]; null if it is not known. */
    fun othersAt(backend: String): ServerLoad? = view.othersAt(backend, timers.nowMs())

    /** Records how evenly the work of all entries is spread over the engines of [model]. */
    fun onCandidates(model: String, candidates: List<Candidate>) {
        val spread = spreadOf(candidates) ?: return
        metrics.onLoadSpread(model, spread)
        val now = timers.nowMs()
        if (now - loggedAtMs < LOG_INTERVAL_MS) return
        loggedAtMs = now
        log.write(
            "load-spread",
            "model" to model,
            "spread" to spread,
            "engines" to candidates.size,
            "running" to candidates.sumOf { it.running },
            "age_ms" to view.ageMs(now),
        )
    }

    private companion object {
        const val LOG_INTERVAL_MS = 5_000L
    }
}
