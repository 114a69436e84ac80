/*
 * Rates of the requests for each model, from the cumulative counts of all entries. Every control instance receives the
 * reports of all entries, so a new leader knows the rates.
 */
package org.bramleyspur.control.demand

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import kotlin.math.exp

/** Work by model, as engine milliseconds per millisecond, and the number of requests that it was measured on. */
data class MeasuredWork(val byModel: Map<String, Double>, val requests: Double)

/** The measured rates by entry. */
class DemandMeter private constructor(private val entries: PersistentMap<String, EntryRates>) {
    constructor() : this(persistentMapOf())

    /**
     * This meter with a [report] that was received at [nowMs].
     *
     * The first report of an entry, or the first after its restart, only sets the counts from which the next ones are
     * measured. So does a report whose counts have decreased or increased faster than an entry can take requests.
     */
    fun with(report: DemandReport, nowMs: Long): DemandMeter {
        val before = entries[report.entry]
        val next = before?.with(report, nowMs) ?: EntryRates(report, nowMs)
        return if (next === before) this else DemandMeter(entries.put(report.entry, next))
    }

    /** This meter without the entries that have been silent for [RETENTION_MS]. */
    fun expire(nowMs: Long): DemandMeter {
        val kept = entries.filterValues { nowMs - it.receivedAtMs < RETENTION_MS }
        return if (kept.size == entries.size) this else DemandMeter(kept.toPersistentMap())
    }

    /**
     * The work of the models of [service]; [workOf] converts a rate to engine milliseconds per millisecond. No entry
     * counts for more than all others together, so that one alone decides nothing.
     */
    fun work(service: String, nowMs: Long, workOf: (model: String, rate: DemandRate) -> Double): MeasuredWork {
        val byEntry = entries.values.map { entry -> entry to entry.work(service, nowMs, workOf) }
        val total = byEntry.sumOf { (_, work) -> work.values.sum() }
        val sums = HashMap<String, Double>()
        var requests = 0.0
        for ((entry, work) in byEntry) {
            val own = work.values.sum()
            val part = if (byEntry.size == 1 || own <= total - own) 1.0 else (total - own) / own
            work.forEach { (model, value) -> sums.merge(model, value * part, Double::plus) }
            requests += entry.observedRequests(service, nowMs) * part
        }
        return MeasuredWork(sums, requests)
    }

    private companion object {
        /** Longer than an entry takes to restart. */
        const val RETENTION_MS = 60_000L
    }
}

/**
 * Smoothed rates of an entry.
 *
 * @property weight sum of the weights of the measurements in [smoothed], which grows from 0 to 1
 */
private data class EntryRates(
    val startedAtMs: Long,
    val receivedAtMs: Long,
    val counts: Map<ServedModel, DemandCounts>,
    val smoothed: PersistentMap<ServedModel, DemandRate> = persistentMapOf(),
    val weight: Double = 0.0,
) {
    constructor(report: DemandReport, nowMs: Long) : this(report.startedAtMs, nowMs, report.counts)

    fun with(report: DemandReport, nowMs: Long): EntryRates {
        val elapsedMs = nowMs - receivedAtMs
        val rebased = copy(startedAtMs = report.startedAtMs, receivedAtMs = nowMs, counts = report.counts)
        if (report.startedAtMs != startedAtMs) return rebased
        if (elapsedMs < MIN_INTERVAL_MS) return this
        val models = smoothed.keys + report.counts.keys
        val increases = models.associateWith { (report.counts[it] ?: counts[it] ?: NONE) - (counts[it] ?: NONE) }
        if (increases.values.any { !isPlausible(it, elapsedMs) }) return rebased
        val newWeight = 1 - exp(-elapsedMs / SMOOTHING_MS)
        return rebased.copy(
            smoothed = increases.mapValues { (model, increase) ->
                val rate = increase.perMs(elapsedMs)
                (smoothed[model] ?: DemandRate()) * (1 - newWeight) + rate * newWeight
            }.toPersistentMap(),
            weight = weight + newWeight * (1 - weight),
        )
    }

    private fun isPlausible(increase: DemandCounts, elapsedMs: Long): Boolean =
        minOf(increase.requests, increase.refused, increase.promptTokens, increase.outputTokens) >= 0 &&
            increase.requests <= elapsedMs * MAX_REQUESTS_PER_MS &&
            maxOf(increase.promptTokens, increase.outputTokens) <= increase.requests * DemandCounts.MAX_REQUEST_TOKENS

    fun work(service: String, nowMs: Long, workOf: (String, DemandRate) -> Double): Map<String, Double> =
        smoothed.filterKeys { it.service == service }
            .entries
            .associate { (model, rate) -> model.model to workOf(model.model, rate * scale(nowMs)) }

    /** Requests on which the rates rest. */
    fun observedRequests(service: String, nowMs: Long): Double =
        smoothed.entries.sumOf { (model, rate) -> if (model.service == service) rate.requests else 0.0 } *
            SMOOTHING_MS * presence(nowMs)

    private fun scale(nowMs: Long) = if (weight == 0.0) 0.0 else presence(nowMs) / weight

    /** 1 for an entry that reports; the requests of a silent one soon arrive at others and are counted there. */
    private fun presence(nowMs: Long): Double {
        val silentMs = nowMs - receivedAtMs
        return if (silentMs <= SILENCE_MS) 1.0 else exp(-(silentMs - SILENCE_MS) / FADING_MS)
    }

    private fun DemandCounts.perMs(ms: Long) =
        DemandRate(requests.toDouble(), refused.toDouble(), promptTokens.toDouble(), outputTokens.toDouble()) *
            (1.0 / ms)

    private companion object {
        val NONE = DemandCounts()

        /** Averages over the seconds in which single long prompts or a short burst change the rates. */
        const val SMOOTHING_MS = 3_000.0

        /** Reports between the regular ones wait for the next, since a rate over so short a time says little. */
        const val MIN_INTERVAL_MS = 200L

        /** An entry that is late or reconnects is silent for up to this time. */
        const val SILENCE_MS = 3_000L
        const val FADING_MS = 2_000.0

        /** Far above what one process can read. */
        const val MAX_REQUESTS_PER_MS = 50L
    }
}
