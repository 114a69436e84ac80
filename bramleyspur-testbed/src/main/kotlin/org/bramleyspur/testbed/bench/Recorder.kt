/*
 * Latencies and outcome counts of a run by group. Times are recorded in microseconds.
 */
package org.bramleyspur.testbed.bench

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram
import java.util.concurrent.TimeUnit

/** Highest value of a histogram in microseconds; longer times are recorded as this value. */
private const val MAX_MICROS = 600_000_000L

/** Outcomes determined by the load tool; others are the values of the `Bramleyspur-Outcome` header of refusals. */
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

/** Results of one group of calls. Goodput is the number of complete responses a second of its arrival period. */
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
    private val firstToken = Histogram(MAX_MICROS, 3)
    private val betweenTokens = Histogram(MAX_MICROS, 3)
    private val total = Histogram(MAX_MICROS, 3)
    private val outcomes = sortedMapOf<String, Long>()
    private var tokens = 0L
    private var offered = 0L

    /** Counts a planned call that is due. */
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

    /** Records the end of a call, [nanos] after the intended start. */
    fun ended(outcome: String, nanos: Long) {
        outcomes.merge(outcome, 1, Long::plus)
        if (outcome == Outcomes.COMPLETE) total.add(nanos)
    }

    /** Returns the results of a group whose calls were due over [seconds]. */
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

    private fun Histogram.add(nanos: Long) = recordValue(TimeUnit.NANOSECONDS.toMicros(nanos).coerceIn(0, MAX_MICROS))

    private fun Histogram.percentiles(): Percentiles = Percentiles(
        count = totalCount,
        p50 = getValueAtPercentile(50.0) / 1e3,
        p95 = getValueAtPercentile(95.0) / 1e3,
        p99 = getValueAtPercentile(99.0) / 1e3,
        max = maxValue / 1e3,
    )
}
