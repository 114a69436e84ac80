package org.bramleyspur.testbed.engine

/** Entries kept before the oldest is forgotten; bounds the memory of a long load test. */
private const val KEPT_RUNS = 200_000

/** The request id of an attempt that is named `ID/N`. */
internal fun requestOf(attempt: String): String = attempt.substringBeforeLast('/')

/** Counts of begun runs by key; the total covers forgotten keys too. */
internal class RunCounter {
    private val counts =
        object : LinkedHashMap<String, Int>() {
            override fun removeEldestEntry(eldest: Map.Entry<String, Int>): Boolean = size > KEPT_RUNS
        }

    /** Number of runs begun. */
    var total = 0L
        private set

    /** Counts one run under [key]. */
    fun count(key: String) {
        total++
        counts.merge(key, 1, Int::plus)
    }

    /** The counts by key. */
    fun byKey(): Map<String, Int> = counts
}

/** What became of each attempt: whether it has begun to run. */
internal class AttemptLog {
    private val began =
        object : LinkedHashMap<String, Boolean>() {
            override fun removeEldestEntry(eldest: Map.Entry<String, Boolean>): Boolean = size > KEPT_RUNS
        }

    /** Records an attempt that was refused or queued. */
    fun seen(attempt: String) {
        began.putIfAbsent(attempt, false)
    }

    /** Records that an attempt has begun to run. */
    fun begun(attempt: String) {
        began[attempt] = true
    }

    /** The answer to a cancellation of [attempt]. */
    fun answer(attempt: String): CancelAnswer {
        val known = began[attempt]
        return CancelAnswer(known = known != null, began = known == true)
    }
}
