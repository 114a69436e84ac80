/*
 * Latencies and outcome counts of a run, by group. Times are recorded in microseconds.
 */
package org.bramleyspur.testbed.bench

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram
import java.util.concurrent.TimeUnit

/** Longest time that a histogram keeps, in microseconds; longer ones count as this. */
private const val HIGHEST_MICROS = 600_000_000L

/** Outcomes that the bench gives itself; the others are refusal kinds of the `Bramleyspur-Outcome` header. */
internal object Outcomes {
    const val COMPLETE = "complete"
    const val WRONG_TEXT = "wrong_text"
    const val ERROR_EVENT = "error_event"
    const val BROKEN = "broken"
    const val TIMED_OUT = "timed_out"
    const val NOT_CONNECTED = "not_connected"
}

/** Percentiles in milliseconds. */
@Serializable
internal data class Percentiles(
    val count: Long,
    @SerialName("p50_ms") val p50: Double,
    @SerialName("p95_ms") val p95: Double,
    @SerialName("p99_ms") val p99: Double,
    @SerialName("max_ms") val max: Double,
)

/** Results of one group of calls. Goodput is in complete answers a second over the group's arrival time. */
@Serializable
internal data class GroupReport(
    val group: String,
    val offered: Long,
    val outcomes: Map<String, Long>,
    @SerialName("goodput_per_s") val goodput: Double,
    @SerialName("tokens_received") val tokens: Long,
    @SerialName("first_token") val firstToken: Percentiles,
    @SerialName("between_tokens") val betweenTokens: Percentiles,
    val total: Percentiles,
)

/** Collects the results of one group. */
internal class GroupRecorder(private val group: String) {
    private val firstToken = Histogram(HIGHEST_MICROS, 3)
    private val betweenTokens = Histogram(HIGHEST_MICROS, 3)
    private val total = Histogram(HIGHEST_MICROS, 3)
    private val outcomes = sortedMapOf<String, Long>()
    private var tokens = 0L
    private var offered = 0L

    /** Counts a call that was due. */
    fun offered() {
        offered++
    }

    /** Records the time from the intended start to the first token. */
    fun firstToken(nanos: Long) {
        tokens++
        firstToken.add(nanos)
    }

    /** Records the time between two tokens. */
    fun nextToken(nanos: Long) {
        tokens++
        betweenTokens.add(nanos)
    }

    /** Records the end of a call; [nanos] counts from the intended start. */
    fun ended(outcome: String, nanos: Long) {
        outcomes.merge(outcome, 1, Long::plus)
        if (outcome == Outcomes.COMPLETE) total.add(nanos)
    }

    /** The results, for a group whose calls were due over [seconds]. */
    fun report(seconds: Double): GroupReport = GroupReport(
        group = group,
        offered = offered,
        outcomes = outcomes.toMap(),
        goodput = (outcomes[Outcomes.COMPLETE] ?: 0) / seconds,
        tokens = tokens,
        firstToken = firstToken.percentiles(),
        betweenTokens = betweenTokens.percentiles(),
        total = total.percentiles(),
    )

    private fun Histogram.add(nanos: Long) =
        recordValue(TimeUnit.NANOSECONDS.toMicros(nanos).coerceIn(0, HIGHEST_MICROS))

    private fun Histogram.percentiles(): Percentiles = Percentiles(
        count = totalCount,
        p50 = getValueAtPercentile(50.0) / 1e3,
        p95 = getValueAtPercentile(95.0) / 1e3,
        p99 = getValueAtPercentile(99.0) / 1e3,
        max = maxValue / 1e3,
    )
}
