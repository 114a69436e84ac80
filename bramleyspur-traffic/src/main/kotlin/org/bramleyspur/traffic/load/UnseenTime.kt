/*
 * What has happened at backend servers since the reports about them. Under load, a queue as long as the reports are old
 * is gone when they arrive, and new requests have come meanwhile.
 */
package org.bramleyspur.traffic.load

import org.bramleyspur.core.document.EngineCosts
import org.bramleyspur.traffic.forward.Candidate
import org.bramleyspur.traffic.forward.stepMs
import kotlin.math.PI
import kotlin.math.exp
import kotlin.math.roundToInt
import kotlin.math.sqrt

/**
 * A backend server with the work of all entries as reported.
 *
 * @property own the part of this entry, which it knows at any time
 */
class SharedServer(val reported: Candidate, val own: ServerLoad)

/**
 * The [ageMs] milliseconds since the reports, in which requests of [size] came and ended evenly, at the rates of
 * [costs].
 */
class UnseenTime(val ageMs: Double, val size: RequestSize, private val costs: EngineCosts) {
    /**
     * Number of requests that all entries started at [servers], by Little's law: requests in flight over the time of a
     * response.
     */
    fun arrivals(servers: List<SharedServer>): Double = servers.sumOf { ended(it.reported) }

    /** [server] now, if [arrivals] requests have come since the reports. */
    fun now(server: SharedServer, arrivals: Double): Candidate {
        val reported = server.reported
        val own = server.own
        val added = arrivals - ended(reported)
        val unread = expectedUnread(reported, arrivals).toLong()
        return reported.copy(
            running = maxOf((reported.running + added).roundToInt(), minOf(reported.running, own.inFlight)),
            pendingPrefillTokens = maxOf(unread, minOf(reported.pendingPrefillTokens, own.pendingPrefillTokens)),
            contextTokens = maxOf(reported.contextTokens + (added * size.promptTokens).toLong(), own.contextTokens),
        )
    }

    /** Milliseconds for which [server] had no prompt to read, if [arrivals] requests have come. */
    fun idleMs(server: SharedServer, arrivals: Double): Double =
        maxOf(0.0, -unread(server.reported, arrivals)) * server.reported.timeFactor / costs.prefillTokensPerMs

    /** Tokens of prompts that are left to read; negative if there was time for more. */
    private fun unread(reported: Candidate, arrivals: Double): Double = reported.pendingPrefillTokens +
        arrivals * size.promptTokens - ageMs * costs.prefillTokensPerMs / reported.timeFactor

    /** Mean of what is left to read, since arrivals that happen to come late are not read yet. */
    private fun expectedUnread(reported: Candidate, arrivals: Double): Double =
        meanOfPositivePart(unread(reported, arrivals), size.promptTokens * sqrt(arrivals))

    private fun ended(reported: Candidate): Double {
        val readMs = (reported.pendingPrefillTokens + size.promptTokens) / costs.prefillTokensPerMs
        val responseMs = reported.timeFactor * (readMs + size.outputTokens * stepMs(reported, costs))
        return minOf(reported.running, reported.slots) * ageMs / (responseMs + 1)
    }
}

/** Mean of the positive part of a normal variable, with a logistic function in place of the normal distribution's. */
private fun meanOfPositivePart(mean: Double, deviation: Double): Double {
    if (deviation < 1) return mean
    val z = mean / deviation
    return deviation * exp(-z * z / 2) / sqrt(2 * PI) + mean / (1 + exp(-LOGISTIC_SLOPE * z))
}

/** Brings the logistic function near the normal distribution's. */
private const val LOGISTIC_SLOPE = 1.6
