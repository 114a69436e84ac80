/*
 * Chooses a backend server at random, weighted by predicted room. Entries that choose by the same view between two
 * events would all choose the server that looks best. Each server therefore gets the share of the requests that would
 * raise all servers to the same predicted time, if the requests of one view went to the servers below it.
 */
package org.bramleyspur.traffic.load

import org.bramleyspur.traffic.forward.Candidate
import org.bramleyspur.traffic.forward.chooseBackend

/**
 * A choice by room.
 *
 * @property server the chosen one
 * @property expected the chosen one as it is expected now, with its share of the requests that no report tells yet
 */
class RoomChoice(val server: SharedServer, val expected: Candidate)

/**
 * Returns one of [servers] by [fraction] (uniform in 0 until 1), a suspect one only when there is no other, weighted by
 * how far its [predictedMs] is below the level to which the requests that came in [unseen] raise all of them. A server
 * that had nothing to read in a part of that time has as much more room.
 */
fun chooseByRoom(
    servers: List<SharedServer>,
    fraction: Double,
    unseen: UnseenTime,
    predictedMs: (Candidate) -> Double,
): RoomChoice? {
    val usable = servers.filter { !it.reported.suspect }.ifEmpty { servers }
    if (usable.isEmpty()) return null
    val arrivals = unseen.arrivals(usable)
    val predicted = usable.map { filledMs(it, 0.0, unseen, predictedMs) }
    val addedMs =
        usable.indices.sumOf { filledMs(usable[it], 1.0, unseen, predictedMs) - predicted[it] } / usable.size
    val level = levelMs(predicted, arrivals * addedMs)
    val room = predicted.map { maxOf(0.0, level - it) }
    val sum = room.sum()
    if (sum < MIN_ROOM_MS) {
        val now = usable.map { unseen.now(it, 0.0) }
        val best = chooseBackend(now, fraction, predictedMs)
        return RoomChoice(usable[now.indexOfFirst { it === best }], best ?: return null)
    }
    var left = fraction * sum
    val index =
        room.indexOfFirst { share -> (left < share).also { left -= share } }.takeIf { it >= 0 } ?: usable.lastIndex
    return RoomChoice(usable[index], unseen.now(usable[index], arrivals * room[index] / sum))
}

/** Returns the largest number of requests at one of [candidates] over the mean number; null if they have none. */
fun spreadOf(candidates: List<Candidate>): Double? {
    val sum = candidates.sumOf { it.running }
    return if (sum == 0) null else candidates.maxOf { it.running } * candidates.size.toDouble() / sum
}

/** Predicted time of a request at [server], less the time for which it had nothing to read, after [arrivals]. */
private fun filledMs(
    server: SharedServer,
    arrivals: Double,
    unseen: UnseenTime,
    predictedMs: (Candidate) -> Double,
): Double = predictedMs(unseen.now(server, arrivals)) - unseen.idleMs(server, arrivals)

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
