package org.bramleyspur.traffic.cold

import kotlin.math.floor

/** How far the requests to a cold backend server may exceed the rate that it tolerates. */
data class ColdBounds(val factor: Double, val slack: Double) {
    /** Largest number of requests in one second, from all entries together, where [requestsPerSecond] are tolerated. */
    fun limit(requestsPerSecond: Double): Int = floor(requestsPerSecond * factor + slack).toInt()
}

/**
 * Whether a request that will have waited for [waitedMs] waits until a cold server takes it, [remainingMs] before its
 * time limit. A caller that is told at once when to return is served sooner than by a longer wait.
 */
fun waitsForAllowance(waitedMs: Long, remainingMs: Long, targetLatencyMs: Long): Boolean =
    waitedMs <= targetLatencyMs / TARGET_SHARE && waitedMs < remainingMs

/** Leaves most of the expected time for the response. */
private const val TARGET_SHARE = 4
