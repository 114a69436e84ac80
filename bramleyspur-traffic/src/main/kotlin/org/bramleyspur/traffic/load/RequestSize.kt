package org.bramleyspur.traffic.load

import org.bramleyspur.core.document.EngineCosts

/** A request as the choice of a backend server weighs it, in tokens. */
class RequestSize(val promptTokens: Long, val outputTokens: Long)

/** Mean size of the requests of [work]; null if there are none. */
fun meanSize(work: List<ServerLoad>, costs: EngineCosts): RequestSize? {
    val inFlight = work.sumOf { it.inFlight }
    if (inFlight == 0) return null
    return RequestSize(work.sumOf { it.contextTokens } / inFlight, costs.meanResponseTokens.toLong())
}
