package org.bramleyspur.testbed.engine

import java.util.concurrent.TimeUnit

/** Interval between load samples in milliseconds. */
internal const val LOAD_SAMPLE_MS = 50L

private const val TOKEN_RATE_WINDOW_MS = 1000L

/** Samples the load and reports it with a lag of [lagMs] milliseconds. Times are those of [System.nanoTime]. */
internal class LoadMeter(private val lagMs: Long, private val slots: Int) {
    private data class Sample(val atNanos: Long, val running: Int, val queued: Int, val tokens: Long)

    private val samples = ArrayDeque<Sample>()
    private var tokens = 0L

    fun countToken() {
        tokens++
    }

    /** Records a sample of the current load. */
    fun sample(nowNanos: Long, running: Int, queued: Int) {
        samples.addLast(Sample(nowNanos, running, queued, tokens))
        val retentionMs = lagMs + TOKEN_RATE_WINDOW_MS + LOAD_SAMPLE_MS
        while (samples.size > 1 && ageMs(nowNanos, samples[1]) >= retentionMs) samples.removeFirst()
    }

    /** Returns the newest sample that is at least [lagMs] old, or the oldest one if none is. */
    fun report(nowNanos: Long): LoadReport {
        val sample = samples.lastOrNull { ageMs(nowNanos, it) >= lagMs } ?: samples.first()
        val windowStart = samples.first { ageMs(sample.atNanos, it) <= TOKEN_RATE_WINDOW_MS }
        val seconds = (sample.atNanos - windowStart.atNanos) / 1e9
        val rate = if (seconds > 0) (sample.tokens - windowStart.tokens) / seconds else 0.0
        return LoadReport(sample.running, sample.queued, slots, rate, ageMs(nowNanos, sample))
    }

    private fun ageMs(nowNanos: Long, sample: Sample): Long = TimeUnit.NANOSECONDS.toMillis(nowNanos - sample.atNanos)
}
