/*
 * Decides whether a request that cannot be forwarded now waits. Most outages of a model are short: a group forms again
 * within a second, and an entry that has just started learns the configuration and the backend servers. A caller that
 * is refused at once returns before that and is refused again.
 */
package org.bramleyspur.traffic.forward

/**
 * Whether a request that has waited for [waitedMs] waits on, [remainingMs] before its time limit. [outageMs] is the
 * time since requests like it could last be forwarded, or since this process started.
 */
fun waitsForOutage(waitedMs: Long, remainingMs: Long, outageMs: Long): Boolean =
    outageMs < SHORT_OUTAGE_MS && waitedMs < minOf(remainingMs / REMAINING_SHARE, MAX_WAIT_MS)

/** Interval in milliseconds between two attempts to forward a request that waits. */
const val OUTAGE_POLL_INTERVAL_MS = 40L

/** In a longer outage weights are being loaded, which takes many times what a caller waits. */
private const val SHORT_OUTAGE_MS = 3_000L
private const val MAX_WAIT_MS = 1_500L

/** Leaves most of the time for the request itself, and for another try if it is refused in the end. */
private const val REMAINING_SHARE = 3
