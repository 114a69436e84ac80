/*
 * Paces the streams that an entry sends to a pool just after an outage. What waited for its end is late already, and
 * the entry knows a part of the backend servers only. Sent at once, late streams take the slots of those that could be
 * in time. Late streams are therefore sent only into the room that streams in time leave.
 */
package org.bramleyspur.traffic.outage

import org.bramleyspur.traffic.pressure.ReturnRamp

/**
 * A stream of which nothing was sent.
 *
 * @property receivedAtMs when it was received
 * @property targetMs expected time to its first event, from its receipt
 * @property deadlineMs when its caller's time ends
 * @property held whether it has been held for this reason
 */
data class PacedStream(val receivedAtMs: Long, val targetMs: Long, val deadlineMs: Long, val held: Boolean = false)

/**
 * What the entry predicts for a stream at the backend server that was chosen for it, in milliseconds.
 *
 * @property promptMs time to its first event if nothing is before it
 * @property waitMs time before that
 */
data class StreamTimes(val promptMs: Double, val waitMs: Double)

/**
 * The backend servers of a pool that the entry knows.
 *
 * @property slots slots of each of them
 * @property entries number of entries that use them
 */
data class KnownPool(val servers: Int, val slots: Int, val entries: Int)

/** What happens to a stream. */
sealed interface ReleaseDecision {
    /** It is sent; [late] if only into room that streams in time leave. */
    data class Send(val late: Boolean) : ReleaseDecision

    data object Hold : ReleaseDecision

    /** It is refused as not run; its caller may return after [retryAfterMs]. */
    data class Refuse(val retryAfterMs: Long) : ReleaseDecision
}

/**
 * State of the return of a pool.
 *
 * @property ramp the prompts that were sent since the return
 * @property running streams that were sent and have not ended
 */
data class ReturnPace(private val ramp: ReturnRamp = ReturnRamp(lengthMs = RETURN_MS), val running: Int = 0) {
    /** With the return of the pool at [nowMs]. */
    fun onReturn(nowMs: Long): ReturnPace = copy(ramp = ramp.onReturn(nowMs))

    /** With a stream that was sent. */
    fun onSent(times: StreamTimes, pool: KnownPool, nowMs: Long): ReturnPace =
        copy(ramp = ramp.onStarted(times.promptMs, pool.servers, pool.entries, nowMs), running = running + 1)

    /** With the end of a stream that was sent. */
    fun onEnded(): ReturnPace = copy(running = running - 1)

    /** Whether [stream] is decided on here. */
    fun paces(stream: PacedStream, nowMs: Long): Boolean = stream.held || sinceMs(nowMs) < RETURN_MS

    /** Decides on [stream]; [fraction], uniform in 0 until 1, sets apart the callers who are refused together. */
    fun decide(
        stream: PacedStream,
        times: StreamTimes,
        pool: KnownPool,
        fraction: Double,
        nowMs: Long,
    ): ReleaseDecision {
        val expectedMs = times.promptMs + maxOf(times.waitMs, ramp.waitMs(pool.servers, pool.entries, nowMs))
        return when {
            nowMs + expectedMs <= stream.receivedAtMs + stream.targetMs -> ReleaseDecision.Send(late = false)
            nowMs + times.promptMs > stream.deadlineMs || nowMs >= heldUntilMs(stream) ->
                ReleaseDecision.Refuse((RETRY_AFTER_MS * (1 + fraction)).toLong())
            hasRoomForLate(pool, nowMs) -> ReleaseDecision.Send(late = true)
            else -> ReleaseDecision.Hold
        }
    }

    private fun sinceMs(nowMs: Long): Long = ramp.sinceMs?.let { nowMs - it } ?: Long.MAX_VALUE

    private fun heldUntilMs(stream: PacedStream): Long =
        minOf(stream.receivedAtMs + MAX_HELD_MS, (stream.receivedAtMs + stream.deadlineMs) / 2)

    private fun hasRoomForLate(pool: KnownPool, nowMs: Long): Boolean = sinceMs(nowMs) >= SETTLING_MS &&
        ramp.waitMs(pool.servers, pool.entries, nowMs) <= 0 &&
        running + 1 <= FILLED_SHARE * ownSlots(pool)

    /** The slots of this entry if all entries use the same number. */
    private fun ownSlots(pool: KnownPool): Double = pool.servers.toDouble() * pool.slots / maxOf(1, pool.entries)

    private companion object {
        /** Heads announce themselves each 1.2 s, so an entry that has just started knows all of them by then. */
        const val RETURN_MS = 3_000L

        /** Control tells an entry the number of entries in an event each 300 ms. */
        const val SETTLING_MS = 300L

        /** Leaves slots for the streams that arrive in time; each step of a full batch also takes longer. */
        const val FILLED_SHARE = 0.6

        /** Callers give up on a stream of which nothing has come for two seconds. */
        const val MAX_HELD_MS = 1_500L
        const val RETRY_AFTER_MS = 500L
    }
}

/** [streams] in the order in which they are offered at [nowMs]: those not yet late first, and of these the newest. */
fun <K> releaseOrder(streams: Map<K, PacedStream>, nowMs: Long): List<K> = streams.entries
    .sortedWith(
        compareBy<Map.Entry<K, PacedStream>> { nowMs - it.value.receivedAtMs > it.value.targetMs }
            .thenByDescending { it.value.receivedAtMs },
    ).map { it.key }
