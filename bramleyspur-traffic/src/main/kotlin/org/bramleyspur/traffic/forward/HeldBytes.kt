/*
 * Bounds the bytes that a process holds for its callers: bodies of requests, and parts of responses that callers have
 * not taken. The limit of each caller falls as the free part of the bound falls (dynamic thresholds of shared
 * buffers), so that any number of callers that stop reading stays within the bound, while a few may be slow without
 * any effect on their backend servers.
 */
package org.bramleyspur.traffic.forward

/**
 * The bytes held for callers.
 *
 * @property boundBytes what may be held for all callers together
 * @property bodyBytes held bodies of requests
 * @property responseBytes held parts of responses
 */
data class HeldBytes(val boundBytes: Long, val bodyBytes: Long = 0, val responseBytes: Long = 0) {
    private val freeBytes: Long get() = (boundBytes - bodyBytes - responseBytes).coerceAtLeast(0)

    /** Whether a body of [bytes] may be read. */
    fun takesBody(bytes: Long): Boolean = bytes <= freeBytes

    /**
     * Bytes that may be held for one caller before its backend server is not read any more. A power of two, so that it
     * changes seldom, from [MIN_CALLER_BYTES] to [MAX_CALLER_BYTES].
     */
    fun callerLimitBytes(): Int = java.lang.Long.highestOneBit(freeBytes / FREE_SHARE)
        .coerceIn(MIN_CALLER_BYTES.toLong(), MAX_CALLER_BYTES.toLong())
        .toInt()

    companion object {
        const val MIN_CALLER_BYTES = 2 * 1024
        const val MAX_CALLER_BYTES = 64 * 1024

        /** A single caller may hold this part of what is free. */
        private const val FREE_SHARE = 64
    }
}
