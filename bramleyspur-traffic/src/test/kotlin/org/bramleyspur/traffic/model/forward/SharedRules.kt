/*
 * The rules of an entry with the shared view of load, as the daemon applies them: the work of all entries, and a choice
 * by predicted room while the view is recent.
 */
package org.bramleyspur.traffic.model.forward

import org.bramleyspur.traffic.forward.Candidate
import org.bramleyspur.traffic.load.RequestSize
import org.bramleyspur.traffic.load.ServerLoad
import org.bramleyspur.traffic.load.SharedServer
import org.bramleyspur.traffic.load.SharedView
import org.bramleyspur.traffic.load.UnseenTime
import org.bramleyspur.traffic.load.chooseByRoom
import org.bramleyspur.traffic.load.meanSize

private fun viewOf(entry: ModelEntry): SharedView = if (entry.othersAtMs.isInfinite()) {
    SharedView()
} else {
    SharedView().onEvent(entry.others.mapValues { (_, work) -> work.toServerLoad() }, entry.othersAtMs.toLong())
}

private fun ModelWork.toServerLoad() = ServerLoad(inFlight, pendingTokens, contextTokens)

/** Whether the view of [entry] counts the work of the other entries. */
internal fun knowsOthers(entry: ModelEntry, nowMs: Double) = viewOf(entry).dataAgeMs(nowMs.toLong()) != null

internal fun sharedView(entry: ModelEntry, nowMs: Double): List<Candidate> {
    val view = viewOf(entry)
    return entry.loads.zip(ownView(entry, nowMs)) { load, own ->
        val others = view.othersAt(load.engine.id, nowMs.toLong()) ?: return@zip own
        own.copy(
            running = maxOf(own.running, load.own.inFlight + others.inFlight),
            pendingPrefillTokens = own.pendingPrefillTokens + others.pendingPrefillTokens,
            contextTokens = own.contextTokens + others.contextTokens,
        )
    }
}

internal val byRoom: ChoiceRule = { entry, request, candidates, nowMs, random, cost ->
    val ageMs = viewOf(entry).dataAgeMs(nowMs.toLong())
    if (ageMs == null) {
        earliest(entry, request, candidates, nowMs, random, cost)
    } else {
        val costs = entry.scenario.costs
        val own = entry.loads.associate { it.engine.id to it.own.toServerLoad() }
        val size = meanSize(own.values + entry.others.values.map { it.toServerLoad() }, costs)
            ?: RequestSize(request.kind.promptTokens.toLong(), request.kind.outputTokens.toLong())
        val servers = candidates.map { SharedServer(it, own.getValue(it.id)) }
        chooseByRoom(servers, random.nextDouble(), UnseenTime(ageMs, size, costs), cost)?.expected
    }
}

/** The better of two random candidates. */
internal val bestOfTwo: ChoiceRule = { _, _, candidates, _, random, cost ->
    List(2) { candidates.getOrNull(random.nextInt(maxOf(1, candidates.size))) }.filterNotNull().minByOrNull(cost)
}

internal val sharedRules = Rules("shared, by room", ::sharedView, byRoom) { waitLimitAdmission() }
