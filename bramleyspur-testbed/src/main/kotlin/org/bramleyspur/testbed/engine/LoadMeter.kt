package org.bramleyspur.testbed.engine

import java.util.concurrent.TimeUnit

/** Milliseconds between load samples. */
internal const val LOAD_SAMPLE_MS = 50L

private const val RATE_WINDOW_MS = 1000L

/** Load samples, from which a report that is [lagMs] milliseconds old is taken. Times are of [System.nanoTime]. */
internal class LoadMeter(private val lagMs: Long, private val slots: Int) {
    private data class Sample(val atNanos: Long, val running: Int, val queued: Int, val tokens: Long)

    private val samples = ArrayDeque<Sample>()
    private var tokens = 0L

    /** Counts one generated token. */
    fun countToken() {
        tokens++
    }

    /** Takes a sample of the present load. */
    fun sample(nowNanos: Long, running: Int, queued: Int) {
        samples.addLast(Sample(nowNanos, running, queued, tokens))
        val keptMs = lagMs + RATE_WINDOW_MS + LOAD_SAMPLE_MS
        while (samples.size > 1 && ageMs(nowNanos, samples[1]) >= keptMs) samples.removeFirst()
    }

    /** The newest sample that is at least the lag old; the oldest one while the engine is younger than that. */
    fun report(nowNanos: Long): LoadReport {
        val sample = samples.lastOrNull { ageMs(nowNanos, it) >= lagMs } ?: samples.first()
        val base = samples.first { ageMs(sample.atNanos, it) <= RATE_WINDOW_MS }
        val seconds = (sample.atNanos - base.atNanos) / 1e9
        val rate = if (seconds > 0) (sample.tokens - base.tokens) / seconds else 0.0
        return LoadReport(sample.running, sample.queued, slots, rate, ageMs(nowNanos, sample))
    }

    private fun ageMs(nowNanos: Long, sample: Sample): Long = TimeUnit.NANOSECONDS.toMillis(nowNanos - sample.atNanos)
}
