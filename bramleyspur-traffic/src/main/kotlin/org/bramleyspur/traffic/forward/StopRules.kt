/*
 * Decides which requests an entry still takes during a planned stop.
 */
package org.bramleyspur.traffic.forward

/**
 * Whether a request that ends within [limitMs] is taken by an entry that ends within [remainingMs]; null if it does not
 * stop, or still listens. Otherwise a request that could outlast the process is not taken.
 */
fun isTakenDuringStop(limitMs: Long, remainingMs: Long?): Boolean =
    remainingMs == null || limitMs + END_MARGIN_MS <= remainingMs

/** Time in which the end of a request is written before the process ends. */
private const val END_MARGIN_MS = 100L
