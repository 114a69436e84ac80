/*
 * The rules of an entry without a shared view: its own requests, corrected by the last load header, and the wait limit.
 */
package org.bramleyspur.traffic.model.forward

import org.bramleyspur.traffic.forward.Candidate
import org.bramleyspur.traffic.forward.RouteTargets
import org.bramleyspur.traffic.forward.ServerPool
import org.bramleyspur.traffic.forward.WaitLimits
import org.bramleyspur.traffic.forward.chooseBackend
import org.bramleyspur.traffic.forward.firstEventMs

internal fun ownView(entry: ModelEntry, nowMs: Double): List<Candidate> = entry.loads.map { load ->
    val own = load.own
    val recent = nowMs - load.reportedAtMs <= REPORT_VALIDITY_MS
    val reported = load.running + load.waiting + own.inFlight - load.ownAtReport
    val running = if (recent) maxOf(own.inFlight, reported) else own.inFlight
    candidateOf(entry, load, ModelWork(running, own.pendingTokens, own.contextTokens))
}

internal fun candidateOf(entry: ModelEntry, load: ModelLoad, work: ModelWork) = Candidate(
    id = load.engine.id,
    running = work.inFlight,
    slots = entry.scenario.costs.slots,
    pendingPrefillTokens = work.pendingTokens,
    contextTokens = work.contextTokens,
    timeFactor = load.engine.timeFactor,
    roundTripMs = 0.0,
    suspect = false,
)

internal val earliest: ChoiceRule = { _, _, candidates, _, random, cost ->
    chooseBackend(candidates, random.nextDouble(), cost)
}

/** Starts a request whose wait is predicted within the limit of its routes, else refuses it for 300 ms. */
internal fun waitLimitAdmission(): AdmissionRule {
    val pool = ServerPool("engines", null)
    var limits = WaitLimits()
    return { entry, request, chosen, nowMs ->
        val kind = request.kind
        val targets = RouteTargets(kind.targetMs, kind.priority)
        limits = limits.with(pool, kind.name, targets, nowMs.toLong())
        val expected = chosen?.let { firstEventMs(it, kind.promptTokens.toLong(), entry.scenario.costs) }
        val prefillMs = (chosen?.timeFactor ?: 1.0) * kind.promptTokens / entry.scenario.costs.prefillTokensPerMs
        val remainingMs = request.arrivedMs + entry.scenario.deadlineMs - nowMs
        if (expected != null && expected <= remainingMs && expected - prefillMs <= limits.limitMs(pool, targets)) {
            Admission.Start(request.kind.priority)
        } else {
            Admission.Refuse(RETRY_AFTER_MS)
        }
    }
}

internal val presentRules = Rules("present", ::ownView, earliest) { waitLimitAdmission() }

private const val REPORT_VALIDITY_MS = 1_000.0
private const val RETRY_AFTER_MS = 300.0
