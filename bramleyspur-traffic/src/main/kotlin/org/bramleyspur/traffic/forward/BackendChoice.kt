/*
 * Chooses the backend server of a request: the one with the earliest predicted response that is not suspect.
 */
package org.bramleyspur.traffic.forward

import org.bramleyspur.core.document.EngineCosts
import kotlin.math.abs

/** Returns the predicted time in milliseconds to the first event of a request with [promptTokens]. */
fun firstEventMs(candidate: Candidate, promptTokens: Long, costs: EngineCosts): Double {
    val prefillMs = (candidate.pendingPrefillTokens + promptTokens) / costs.prefillTokensPerMs
    val queuedRequests = maxOf(0, candidate.running + 1 - candidate.slots)
    // The requests of a full batch end one after the other, each after one step per token of its response.
    val queueMs = queuedRequests * costs.meanResponseTokens * stepMs(candidate, costs) / candidate.slots
    return candidate.roundTripMs +
        candidate.timeFactor * (prefillMs + stepMs(candidate, costs) * STEPS_BEFORE_FIRST_EVENT) +
        candidate.timeFactor * queueMs
}

/**
 * Returns the cost of a request on the candidate in milliseconds: the time to its first event and a part of the decode
 * time, since a long generation on a slow group ends late or exceeds its deadline.
 */
fun generationCost(candidate: Candidate, promptTokens: Long, outputTokens: Long, costs: EngineCosts): Double =
    firstEventMs(candidate, promptTokens, costs) +
        DECODE_WEIGHT * outputTokens * candidate.timeFactor * stepMs(candidate, costs)

/** Returns the predicted time of a step in milliseconds, without the candidate's [Candidate.timeFactor]. */
fun stepMs(candidate: Candidate, costs: EngineCosts): Double {
    val batchSize = minOf(candidate.running + 1, candidate.slots)
    return costs.stepMs + batchSize * costs.perRequestMs +
        candidate.contextTokens / TOKENS_PER_THOUSAND * costs.perThousandContextMs
}

/**
 * Returns the time in milliseconds within which a working backend server sends an event to each decoding request: a
 * pass that also prefills a prompt of [promptTokens], the prompts before it, and one chunk of other entries' prompts.
 */
fun longestEventIntervalMs(candidate: Candidate, promptTokens: Long, costs: EngineCosts): Double {
    val prefillMs =
        (candidate.pendingPrefillTokens + promptTokens + costs.prefillChunkTokens) / costs.prefillTokensPerMs
    return candidate.timeFactor * (costs.stepsPerPass * stepMs(candidate, costs) + prefillMs)
}

/**
 * Whether a request of [tokens], prompt and output, fits into the free part of the engine's memory. An engine
 * whose requests exceed its memory puts the newest ones back, or ends.
 */
fun fitsMemory(candidate: Candidate, tokens: Long, costs: EngineCosts): Boolean =
    costs.kvCacheTokens <= 0 || candidate.contextTokens + tokens <= costs.kvCacheTokens

/** Returns the predicted response time in milliseconds of a plain service whose calls take [workMs]. */
fun plainResponseMs(candidate: Candidate, workMs: Double): Double = candidate.roundTripMs + workMs * (
    1 + maxOf(
        0,
        candidate.running + 1 - candidate.slots,
    ).toDouble() / candidate.slots
    ) +
    workMs * LOAD_SLOWDOWN * candidate.running / candidate.slots

/**
 * Returns the candidate with the lowest [predictedMs]; a suspect one only when there is no other. Candidates within
 * [TIE_SHARE] and [TIE_MS] of the best count as equal, and [fraction] (uniform in 0 until 1) chooses among them, so
 * that entries with the same view do not all send to one backend server. A prediction is negative where first events
 * came earlier than predicted.
 */
fun chooseBackend(candidates: List<Candidate>, fraction: Double, predictedMs: (Candidate) -> Double): Candidate? {
    val usable = candidates.filter { !it.suspect }.ifEmpty { candidates }
    if (usable.isEmpty()) return null
    val predicted = usable.map { it to predictedMs(it) }
    val best = predicted.minOf { it.second }
    val tied = predicted.filter { it.second <= best + abs(best) * TIE_SHARE + TIE_MS }.map { it.first }
    return tied[(fraction * tied.size).toInt().coerceAtMost(tied.size - 1)]
}

/** Callers expect the first event by its target, and the complete response by a deadline some ten times later. */
private const val DECODE_WEIGHT = 0.1
private const val TOKENS_PER_THOUSAND = 1000.0

/** The pass in progress ends before a new prompt is prefilled, and the first event needs a step of its own. */
private const val STEPS_BEFORE_FIRST_EVENT = 4

/** Relative increase of the call time of a plain backend server from idle to all slots taken. */
private const val LOAD_SLOWDOWN = 0.5
private const val TIE_SHARE = 0.05
private const val TIE_MS = 1.0
