/*
 * Load and health of one route as seen by an entry: its own attempts there, the agent's last load report, and how the
 * first-token times compare with the prediction.
 */
package org.bramleyspur.traffic.routing

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.bramleyspur.core.model.Route
import kotlin.math.exp

/**
 * State of one route.
 *
 * @property sentCount attempts of this entry sent to the agent incarnation so far
 * @property inFlight attempts of this entry that have not ended
 * @property awaitingToken attempts without a first token, by number, oldest first
 * @property report last load report of the agent, null before the first
 * @property otherAttemptsAtReport attempts of other entries at the time of the last report
 * @property slowness moving average of the first-token time relative to the prediction; 1 is as predicted
 * @property slownessUpdatedAtMs time of the last update of [slowness]
 * @property failures failures since the last first token
 * @property avoidUntilMs time until which the route is not chosen, after a failure or a refusal of any request
 * @property fullUntilMs time by account until which its requests would wait too long
 */
internal data class RouteView(
    val route: Route,
    val sentCount: Long = 0,
    val inFlight: Int = 0,
    val awaitingToken: PersistentMap<Long, RoutedAttempt> = persistentMapOf(),
    val report: ReportedLoad? = null,
    val reportedAtMs: Long = 0,
    val otherAttemptsAtReport: Int = 0,
    val slowness: Double = 1.0,
    val slownessUpdatedAtMs: Long = 0,
    val failures: Int = 0,
    val avoidUntilMs: Long = 0,
    val fullUntilMs: PersistentMap<String, Long> = persistentMapOf(),
    val prefixes: PrefixIndex = PrefixIndex(),
) {
    /** Returns the view after a new route table; under a new fencing number the engine starts with an empty cache. */
    fun withRoute(next: Route): RouteView =
        copy(route = next, prefixes = if (next.fencingNumber == route.fencingNumber) prefixes else PrefixIndex())

    fun onReport(load: ReportedLoad, nowMs: Long): RouteView {
        val unreported = (sentCount - load.received).coerceAtLeast(0).toInt()
        val otherAttempts = load.running + load.queued - (inFlight - unreported)
        return copy(report = load, reportedAtMs = nowMs, otherAttemptsAtReport = otherAttempts.coerceAtLeast(0))
    }

    /** Estimated attempts of other entries; the last report counts less against [meanOtherAttempts] as it ages. */
    fun otherAttempts(nowMs: Long, meanOtherAttempts: Double): Double {
        if (report == null) return meanOtherAttempts
        val reportWeight = exp(-(nowMs - reportedAtMs) / REPORT_DECAY_MS)
        return otherAttemptsAtReport * reportWeight + meanOtherAttempts * (1 - reportWeight)
    }

    /** Predicted queueing time in milliseconds of an attempt sent now. */
    fun waitMs(nowMs: Long, meanOtherAttempts: Double, serviceMs: Double): Double {
        val slots = (report?.slots ?: route.slots).coerceAtLeast(1)
        val excess = (inFlight + otherAttempts(nowMs, meanOtherAttempts) + 1 - slots).coerceAtLeast(0.0)
        val estimatedWaitMs = excess * serviceMs / slots
        if (report == null) return estimatedWaitMs
        val unreported = (sentCount - report.received).coerceIn(0, inFlight.toLong())
        val reportedWaitMs = report.predictedWaitMs + minOf(unreported.toDouble(), excess) * serviceMs / slots
        val predictionWeight = exp(-(nowMs - reportedAtMs) / PREDICTION_DECAY_MS)
        return estimatedWaitMs + (minOf(reportedWaitMs, estimatedWaitMs) - estimatedWaitMs) * predictionWeight
    }

    /** Slowness at [nowMs]: the measured value decays towards 1, and an overdue first token counts at once. */
    fun slownessAt(nowMs: Long): Double {
        val decayed = decayedSlowness(nowMs)
        val oldest = awaitingToken.values.firstOrNull() ?: return decayed
        return maxOf(decayed, (nowMs - oldest.sentAtMs) / (oldest.expectedMs + JITTER_TOLERANCE_MS))
    }

    /** Whether no earlier failure or refusal keeps requests of [account] from the route. */
    fun isAllowed(account: String, nowMs: Long): Boolean =
        nowMs >= avoidUntilMs && nowMs >= (fullUntilMs[account] ?: nowMs)

    /** Whether an attempt may be sent: only one at a time while the route recovers from slowness or failures. */
    fun isOpen(account: String, nowMs: Long): Boolean {
        if (!isAllowed(account, nowMs)) return false
        val recovering = failures > 0 || slowness > PROBE_SLOWNESS
        return !recovering || awaitingToken.isEmpty()
    }

    fun withSample(ratio: Double, nowMs: Long): RouteView {
        val decayed = decayedSlowness(nowMs)
        val gain = if (ratio > decayed) SLOWNESS_RISE_GAIN else SLOWNESS_FALL_GAIN
        return copy(slowness = decayed + (ratio - decayed) * gain, slownessUpdatedAtMs = nowMs, failures = 0)
    }

    private fun decayedSlowness(nowMs: Long): Double {
        val decayed = 1 + (slowness - 1) * exp(-(nowMs - slownessUpdatedAtMs) / SLOWNESS_DECAY_MS)
        return if (decayed in 1.0..NEGLIGIBLE_SLOWNESS) 1.0 else decayed
    }

    companion object {
        /** The agent's predicted wait accounts for fair shares, but is valid only for about a service time. */
        private const val PREDICTION_DECAY_MS = 500.0

        /** Reports arrive with each response event; one of this age says little about the load of other entries. */
        private const val REPORT_DECAY_MS = 2000.0

        /** Time constant of the slowness; a straggler is tried again after a few multiples of it. */
        private const val SLOWNESS_DECAY_MS = 5000.0

        /** Delay of the first token that does not count as slow. */
        const val JITTER_TOLERANCE_MS = 50.0

        /** Below this ratio a slow route counts as recovered, so that it gets a probe also at low load. */
        private const val NEGLIGIBLE_SLOWNESS = 1.2

        /** Above this ratio a route gets one attempt at a time. */
        private const val PROBE_SLOWNESS = 3.0

        /** Weight of a new sample; a slow route is recognized sooner than its recovery. */
        private const val SLOWNESS_RISE_GAIN = 0.3
        private const val SLOWNESS_FALL_GAIN = 0.1
    }
}
