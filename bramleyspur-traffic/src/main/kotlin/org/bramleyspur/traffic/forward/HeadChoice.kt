/*
 * Chooses the backend server of a request: the one with the earliest predicted answer among those that are not suspect.
 */
package org.bramleyspur.traffic.forward

import org.bramleyspur.core.document.EngineCosts

/** Predicted time in milliseconds to the first event of a request with [promptTokens]. */
fun firstEventMs(candidate: Candidate, promptTokens: Long, costs: EngineCosts): Double {
    val reading = (candidate.unreadTokens + promptTokens) / costs.readTokensPerMs
    val waiting = maxOf(0, candidate.running + 1 - candidate.slots)
    // The requests of a full batch end one after the other, each after a step for every token of its answer.
    val queue = waiting * costs.usualAnswerTokens * stepMs(candidate, costs) / candidate.slots
    return candidate.distanceMs + candidate.timeFactor * (reading + stepMs(candidate, costs) * STEPS_BEFORE_FIRST) +
        candidate.timeFactor * queue
}

/**
 * Cost of a request on the candidate, in milliseconds: the time to its first event, and a part of the time to its last
 * one, since a request that writes for long is late or cut off on a slow group.
 */
fun generationCost(candidate: Candidate, promptTokens: Long, outputTokens: Long, costs: EngineCosts): Double =
    firstEventMs(candidate, promptTokens, costs) +
        WRITING_WEIGHT * outputTokens * candidate.timeFactor * stepMs(candidate, costs)

/** Predicted time of a step in milliseconds, before the candidate's own factor. */
fun stepMs(candidate: Candidate, costs: EngineCosts): Double {
    val writers = minOf(candidate.running + 1, candidate.slots)
    return costs.stepMs + writers * costs.perRequestMs +
        candidate.contextTokens / TOKENS_PER_THOUSAND * costs.perThousandContextMs
}

/**
 * Time in milliseconds within which a head that works sends an event to each request that writes: a pass that also
 * reads a prompt of [promptTokens], the prompts before it, and as much of other entries' prompts as a step takes.
 */
fun longestPassMs(candidate: Candidate, promptTokens: Long, costs: EngineCosts): Double {
    val reading = (candidate.unreadTokens + promptTokens + costs.chunkTokens) / costs.readTokensPerMs
    return candidate.timeFactor * (costs.stepsPerPass * stepMs(candidate, costs) + reading)
}

/** Predicted answer time in milliseconds of a plain service whose calls take [workMs]. */
fun plainAnswerMs(candidate: Candidate, workMs: Double): Double = candidate.distanceMs + workMs * (
    1 + maxOf(
        0,
        candidate.running + 1 - candidate.slots,
    ).toDouble() / candidate.slots
    ) +
    workMs * LOAD_SLOWDOWN * candidate.running / candidate.slots

/**
 * The candidate with the lowest [predictedMs]; suspect ones only when there is no other. Candidates within
 * [TIE_SHARE] of the best are equal, and [point] (uniform in 0 until 1) chooses among them, so that several entries
 * with the same view do not all send to one backend server.
 */
fun chooseBackend(candidates: List<Candidate>, point: Double, predictedMs: (Candidate) -> Double): Candidate? {
    val usable = candidates.filter { !it.suspect }.ifEmpty { candidates }
    if (usable.isEmpty()) return null
    val predicted = usable.map { it to predictedMs(it) }
    val best = predicted.minOf { it.second }
    val near = predicted.filter { it.second <= best * (1 + TIE_SHARE) + TIE_MS }.map { it.first }
    return near[(point * near.size).toInt().coerceAtMost(near.size - 1)]
}

/** Callers judge the first event against its target, and the whole against a deadline that is some ten times later. */
private const val WRITING_WEIGHT = 0.1
private const val TOKENS_PER_THOUSAND = 1000.0

/** A pass in progress ends before a new prompt is read, and the first event needs a step of its own. */
private const val STEPS_BEFORE_FIRST = 4

/** A plain backend server with all slots taken is this much slower than an idle one. */
private const val LOAD_SLOWDOWN = 0.5
private const val TIE_SHARE = 0.05
private const val TIE_MS = 1.0
