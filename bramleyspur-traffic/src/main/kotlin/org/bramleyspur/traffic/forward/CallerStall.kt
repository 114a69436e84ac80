/*
 * Decides when a response ends whose caller takes nothing. Its backend server is not read meanwhile, and would cut it
 * off by itself; it has room for other requests before that.
 */
package org.bramleyspur.traffic.forward

/** Whether a caller's connection takes data; [sinceMs] is when it stopped, null while it does. */
data class CallerStall(private val sinceMs: Long? = null) {
    /** The state after the connection was seen at [nowMs] to take data, or not to. */
    fun onWritable(writable: Boolean, nowMs: Long): CallerStall = CallerStall(if (writable) null else nowMs)

    /** Time for which nothing was taken until [nowMs], if a response ends because of it; null if it goes on. */
    fun endsResponseAfterMs(nowMs: Long): Long? = sinceMs?.let { nowMs - it }?.takeIf { it > STALLED_CALLER_LIMIT_MS }

    companion object {
        /** Shorter than the time after which engines cut off a response that is not read. */
        const val STALLED_CALLER_LIMIT_MS = 3_000L
    }
}
