/*
 * Chooses a backend server at random, weighted by predicted room. Entries that choose by the same view between two
 * events would all choose the server that looks best. Each server therefore gets the share of the requests that would
 * raise all servers to the same predicted time, if the requests of one view went to the servers below it.
 */
package org.bramleyspur.traffic.load

import org.bramleyspur.core.document.EngineCosts
import org.bramleyspur.traffic.forward.Candidate
import org.bramleyspur.traffic.forward.chooseBackend
import org.bramleyspur.traffic.forward.stepMs

/**
 * Returns the number of requests that all entries start at [candidates] within [ageMs], by Little's law: requests in
 * flight over the predicted time of a response.
 */
fun unseenRequests(candidates: List<Candidate>, size: RequestSize, costs: EngineCosts, ageMs: Double): Double =
    candidates.sumOf {
        val stepMs = it.timeFactor * stepMs(it, costs)
        val prefillMs = it.timeFactor * (it.pendingPrefillTokens + size.promptTokens) / costs.prefillTokensPerMs
        minOf(it.running, it.slots) * ageMs / (prefillMs + size.outputTokens * stepMs + 1)
    }

/**
 * Returns one of [candidates] by [fraction] (uniform in 0 until 1), a suspect one only when there is no other, weighted
 * by how far its [predictedMs] is below the level that [unseen] further requests of [size] would raise all of them to.
 */
fun chooseByRoom(
    candidates: List<Candidate>,
    fraction: Double,
    size: RequestSize,
    unseen: Double,
    predictedMs: (Candidate) -> Double,
): Candidate? {
    val usable = candidates.filter { !it.suspect }.ifEmpty { candidates }
    if (usable.size <= 1) return usable.firstOrNull()
    val predicted = usable.map { predictedMs(it) }
    val addedMs = usable.indices.sumOf { predictedMs(usable[it].withRequest(size)) - predicted[it] } / usable.size
    val level = levelMs(predicted, unseen * addedMs)
    val room = predicted.map { maxOf(0.0, level - it) }
    val sum = room.sum()
    if (sum < MIN_ROOM_MS) return chooseBackend(usable, fraction, predictedMs)
    var left = fraction * sum
    val index = room.indexOfFirst { share -> (left < share).also { left -= share } }
    return usable.getOrElse(index) { usable.last() }
}

/** Returns the largest number of requests at one of [candidates] over the mean number; null if they have none. */
fun spreadOf(candidates: List<Candidate>): Double? {
    val sum = candidates.sumOf { it.running }
    return if (sum == 0) null else candidates.maxOf { it.running } * candidates.size.toDouble() / sum
}

private fun Candidate.withRequest(size: RequestSize) = copy(
    running = running + 1,
    pendingPrefillTokens = pendingPrefillTokens + size.promptTokens,
    contextTokens = contextTokens + size.promptTokens,
)

/** The level up to which [addedMs] fill the servers that are below it. */
private fun levelMs(predicted: List<Double>, addedMs: Double): Double {
    var sum = 0.0
    predicted.sorted().forEachIndexed { index, ms ->
        if (index > 0 && ms * index - sum >= addedMs) return (sum + addedMs) / index
        sum += ms
    }
    return (sum + addedMs) / predicted.size
}

/** Below this, the servers that are predicted to be equal share the requests evenly. */
private const val MIN_ROOM_MS = 1.0
