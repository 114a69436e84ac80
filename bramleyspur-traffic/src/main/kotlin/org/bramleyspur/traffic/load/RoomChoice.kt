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
import kotlin.math.roundToInt

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
 * A choice by room.
 *
 * @property candidate the chosen one
 * @property expected the chosen one with its share of the requests that no report tells yet
 */
class RoomChoice(val candidate: Candidate, val expected: Candidate)

/**
 * Returns what is left of the work at this server after [ageMs], in which it finished requests of [size] and read
 * prompts; the [own] work of this entry, which is known at any time, stays. Without this, a server whose queue has
 * drained since the reports looks full, gets no requests and is idle, while the others get them all.
 */
fun Candidate.drained(own: ServerLoad, size: RequestSize, costs: EngineCosts, ageMs: Double): Candidate {
    val durationMs =
        timeFactor * (size.promptTokens / costs.prefillTokensPerMs + size.outputTokens * stepMs(this, costs))
    val finished = (minOf(running, slots) * ageMs / (durationMs + 1)).toInt()
    val read = (ageMs * costs.prefillTokensPerMs / timeFactor).toLong()
    return copy(
        running = maxOf(minOf(running, own.inFlight), running - finished),
        pendingPrefillTokens = maxOf(
            minOf(pendingPrefillTokens, own.pendingPrefillTokens),
            pendingPrefillTokens - read,
        ),
    )
}

/**
 * Returns one of [candidates] by [fraction] (uniform in 0 until 1), a suspect one only when there is no other, weighted
 * by how far its [predictedMs] is below the level to which it raises all of them what is still to be placed of the
 * [unseen] requests of [size].
 */
fun chooseByRoom(
    candidates: List<Candidate>,
    fraction: Double,
    size: RequestSize,
    unseen: Double,
    predictedMs: (Candidate) -> Double,
): RoomChoice? {
    val usable = candidates.filter { !it.suspect }.ifEmpty { candidates }
    if (usable.size <= 1) return usable.firstOrNull()?.let { RoomChoice(it, it.withRequests(unseen, size)) }
    val predicted = usable.map { predictedMs(it) }
    val addedMs = usable.indices.sumOf { predictedMs(usable[it].withRequests(1.0, size)) - predicted[it] } / usable.size
    val level = levelMs(predicted, unseen * UNPLACED_SHARE * addedMs)
    val room = predicted.map { maxOf(0.0, level - it) }
    val sum = room.sum()
    if (sum < MIN_ROOM_MS) return chooseBackend(usable, fraction, predictedMs)?.let { RoomChoice(it, it) }
    var left = fraction * sum
    val index =
        room.indexOfFirst { share -> (left < share).also { left -= share } }.takeIf { it >= 0 } ?: usable.lastIndex
    return RoomChoice(usable[index], usable[index].withRequests(unseen * room[index] / sum, size))
}

/** Returns the largest number of requests at one of [candidates] over the mean number; null if they have none. */
fun spreadOf(candidates: List<Candidate>): Double? {
    val sum = candidates.sumOf { it.running }
    return if (sum == 0) null else candidates.maxOf { it.running } * candidates.size.toDouble() / sum
}

private fun Candidate.withRequests(count: Double, size: RequestSize) = copy(
    running = running + count.roundToInt(),
    pendingPrefillTokens = pendingPrefillTokens + (count * size.promptTokens).toLong(),
    contextTokens = contextTokens + (count * size.promptTokens).toLong(),
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

/** Requests arrive evenly over the age of a view, so that half of them are placed already when one is chosen for. */
private const val UNPLACED_SHARE = 0.5

/** Below this, the servers that are predicted to be equal share the requests evenly. */
private const val MIN_ROOM_MS = 1.0
