/*
 * Probes of engines that may be down: their announcement is overdue, or entries report that the head of their group
 * does not respond.
 */
package org.bramleyspur.control.group

import org.bramleyspur.core.backend.BackendState
import org.bramleyspur.core.backend.KnownBackend

/** Probes engines whose announcement is overdue, and members of groups whose head is reported as unresponsive. */
internal fun Planning.probeSuspects() {
    val members = state.groups.values.flatMap { it.members }.toSet()
    val stalled = state.groups.values
        .filter { it.phase == GroupPhase.SERVING || it.phase == GroupPhase.CLOSING }
        .filter { isReportedUnresponsive(it.members.first()) }
        .flatMap { it.members }
        .toSet()
    for (backend in input.engines.values) {
        val incarnation = backend.announcement.incarnation
        val ended = backend.announcement.state == BackendState.GONE && incarnation !in members
        val isEngine = input.document.services[backend.announcement.service]?.costs != null
        val probing = Probing(stalled = incarnation in stalled, grouped = incarnation in members)
        if (isEngine && !ended) probeIfSuspect(incarnation, backend, probing)
    }
}

/** Whether an engine is in a group, and whether that group is stalled. */
private class Probing(val stalled: Boolean, val grouped: Boolean)

private fun Planning.probeIfSuspect(incarnation: EngineIncarnation, backend: KnownBackend, probing: Probing) {
    val stalled = probing.stalled
    val last = state.probes[incarnation]
    val announcedSince = last != null && last.failures > 0 && backend.receivedAtMs > last.sentMs
    if (announcedSince && !stalled) state = state.copy(probes = state.probes.remove(incarnation))
    val due = last == null || isFailureUnconfirmed(last, stalled) ||
        input.nowMs - last.sentMs >= probeIntervalMs(incarnation, last, probing.grouped)
    val suspect = stalled || input.nowMs - backend.receivedAtMs - input.lagMs > ANNOUNCEMENT_OVERDUE_MS
    if (suspect && due) probe(incarnation, backend.announcement.address)
}

/**
 * Whether a member of a stalled group has failed too few probes to count as unreachable. It is probed again at once,
 * since the group cannot serve requests until its failure is confirmed.
 */
private fun isFailureUnconfirmed(last: ProbeRecord, stalled: Boolean): Boolean =
    stalled && !last.awaitingResult && last.failures in 1 until UNREACHABLE_PROBE_FAILURES

/** An engine whose loss is established is probed less often. */
private fun Planning.probeIntervalMs(incarnation: EngineIncarnation, record: ProbeRecord, grouped: Boolean): Long {
    val established =
        record.failures > UNREACHABLE_PROBE_FAILURES && (!grouped || lossOf(incarnation) != null)
    return if (established) UNREACHABLE_PROBE_INTERVAL_MS else PROBE_INTERVAL_MS
}

/** 25 % longer than the announcement interval. */
private const val ANNOUNCEMENT_OVERDUE_MS = 1_500L
private const val UNREACHABLE_PROBE_INTERVAL_MS = 2_000L
