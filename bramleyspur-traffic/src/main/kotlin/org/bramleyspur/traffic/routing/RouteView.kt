/*
 * What an entry knows of one route: its own attempts there, the agent's last report, and how its first-token times
 * compare with the prediction.
 */
package org.bramleyspur.traffic.routing

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.bramleyspur.core.model.Route
import kotlin.math.exp

/**
 * State of one route.
 *
 * @property sent attempts sent to the agent run so far
 * @property inFlight own attempts that have not ended
 * @property awaiting sending time and prediction of attempts without a first token, oldest first
 * @property slowness first-token time relative to the prediction; 1 is as predicted
 * @property avoidUntilMs time until which the route is not chosen, after a failure or a refusal of any request
 * @property fullUntilMs time by account until which its requests would wait too long
 */
internal data class RouteView(
    val route: Route,
    val sent: Long = 0,
    val inFlight: Int = 0,
    val awaiting: PersistentMap<Long, Ticket> = persistentMapOf(),
    val report: ReportedLoad? = null,
    val reportMs: Long = 0,
    val othersAtReport: Int = 0,
    val slowness: Double = 1.0,
    val slownessMs: Long = 0,
    val failures: Int = 0,
    val avoidUntilMs: Long = 0,
    val fullUntilMs: PersistentMap<String, Long> = persistentMapOf(),
    val prefixes: PrefixIndex = PrefixIndex(),
) {
    /** The view after a new route table; an engine in a new role starts with an empty cache. */
    fun withRoute(next: Route): RouteView =
        copy(route = next, prefixes = if (next.fencingNumber == route.fencingNumber) prefixes else PrefixIndex())

    fun onReport(load: ReportedLoad, nowMs: Long): RouteView {
        val unseen = (sent - load.received).coerceAtLeast(0).toInt()
        val others = load.running + load.queued - (inFlight - unseen)
        return copy(report = load, reportMs = nowMs, othersAtReport = others.coerceAtLeast(0))
    }

    /** Attempts of other entries, whose report loses weight against [meanOthers] with its age. */
    fun others(nowMs: Long, meanOthers: Double): Double {
        if (report == null) return meanOthers
        val keep = exp(-(nowMs - reportMs) / REPORT_TIME_MS)
        return othersAtReport * keep + meanOthers * (1 - keep)
    }

    /** Predicted queueing time in milliseconds of an attempt that is sent now. */
    fun waitMs(nowMs: Long, meanOthers: Double, serviceMs: Double): Double {
        val slots = (report?.slots ?: route.slots).coerceAtLeast(1)
        val excess = (inFlight + others(nowMs, meanOthers) + 1 - slots).coerceAtLeast(0.0)
        val counted = excess * serviceMs / slots
        if (report == null) return counted
        val unseen = (sent - report.received).coerceIn(0, inFlight.toLong())
        val reported = report.predictedWaitMs + minOf(unseen.toDouble(), excess) * serviceMs / slots
        val keep = exp(-(nowMs - reportMs) / PREDICTION_TIME_MS)
        return counted + (minOf(reported, counted) - counted) * keep
    }

    /** Slowness as it is known now: the measured one fades, and an overdue first token counts at once. */
    fun slownessAt(nowMs: Long): Double {
        val faded = fadedSlowness(nowMs)
        val oldest = awaiting.values.firstOrNull() ?: return faded
        return maxOf(faded, (nowMs - oldest.sentMs) / (oldest.expectedMs + GRACE_MS))
    }

    /** Whether requests of [account] are not kept from the route by an earlier failure or refusal. */
    fun isAllowed(account: String, nowMs: Long): Boolean =
        nowMs >= avoidUntilMs && nowMs >= (fullUntilMs[account] ?: nowMs)

    /** Whether an attempt may be sent: allowed, and only one at a time to a route that was slow or failing. */
    fun isOpen(account: String, nowMs: Long): Boolean {
        if (!isAllowed(account, nowMs)) return false
        val recovering = failures > 0 || slowness > PROBE_SLOWNESS
        return !recovering || awaiting.isEmpty()
    }

    fun withSample(ratio: Double, nowMs: Long): RouteView {
        val faded = fadedSlowness(nowMs)
        val gain = if (ratio > faded) RISE_GAIN else FALL_GAIN
        return copy(slowness = faded + (ratio - faded) * gain, slownessMs = nowMs, failures = 0)
    }

    private fun fadedSlowness(nowMs: Long): Double {
        val faded = 1 + (slowness - 1) * exp(-(nowMs - slownessMs) / SLOWNESS_TIME_MS)
        return if (faded in 1.0..NEGLIGIBLE_SLOWNESS) 1.0 else faded
    }

    companion object {
        /** The agent's own prediction knows the fair shares, but holds only for about a service time. */
        private const val PREDICTION_TIME_MS = 500.0

        /** Reports arrive with each response event; one that is this old says little about other entries' load. */
        private const val REPORT_TIME_MS = 2000.0

        /** A straggler is tried again after some multiples of this time. */
        private const val SLOWNESS_TIME_MS = 5000.0

        /** Variation of the first-token time that does not count as slow. */
        const val GRACE_MS = 50.0

        /** Below this, a route that was slow counts as recovered, so that it gets a probe also at low load. */
        private const val NEGLIGIBLE_SLOWNESS = 1.2
        private const val PROBE_SLOWNESS = 3.0
        private const val RISE_GAIN = 0.3
        private const val FALL_GAIN = 0.1
    }
}
