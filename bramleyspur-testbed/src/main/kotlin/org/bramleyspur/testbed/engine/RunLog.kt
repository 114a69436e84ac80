package org.bramleyspur.testbed.engine

/** Number of entries kept before the oldest is discarded; bounds the memory use of a long load test. */
private const val MAX_KEPT_RUNS = 200_000

/** Returns the request id of an attempt named `ID/N`. */
internal fun requestIdOf(attempt: String): String = attempt.substringBeforeLast('/')

/** Counts of begun runs by key; the total includes discarded keys. */
internal class RunCounter {
    private val counts =
        object : LinkedHashMap<String, Int>() {
            override fun removeEldestEntry(eldest: Map.Entry<String, Int>): Boolean = size > MAX_KEPT_RUNS
        }

    /** Number of runs begun. */
    var total = 0L
        private set

    fun count(key: String) {
        total++
        counts.merge(key, 1, Int::plus)
    }

    fun byKey(): Map<String, Int> = counts
}

/** Records for each attempt whether it has begun to run. */
internal class AttemptLog {
    private val began =
        object : LinkedHashMap<String, Boolean>() {
            override fun removeEldestEntry(eldest: Map.Entry<String, Boolean>): Boolean = size > MAX_KEPT_RUNS
        }

    /** Records that an attempt was received. */
    fun recordReceived(attempt: String) {
        began.putIfAbsent(attempt, false)
    }

    /** Records that an attempt has begun to run. */
    fun recordBegun(attempt: String) {
        began[attempt] = true
    }

    /** Returns the response to a cancellation of [attempt]. */
    fun cancelResponse(attempt: String): CancelResponse {
        val known = began[attempt]
        return CancelResponse(known = known != null, began = known == true)
    }
}
