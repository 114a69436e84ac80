/*
 * Questions to engines of which it is not known whether they are up: their announcement is overdue, or entries see
 * their group stalled.
 */
package org.bramleyspur.control.group

import org.bramleyspur.core.backend.BackendState
import org.bramleyspur.core.backend.KnownBackend

/** Asks engines whose announcement is overdue, and the members of a group that entries see stalled. */
internal fun Planning.probeDoubtful() {
    val members = state.groups.values.flatMap { it.members }.toSet()
    val stalled = state.groups.values
        .filter { it.phase == GroupPhase.SERVING && isSilentForEntries(it.members.first()) }
        .flatMap { it.members }
        .toSet()
    for (known in input.engines.values) {
        val life = known.announcement.life
        val ended = known.announcement.state == BackendState.GONE && life !in members
        val isEngine = input.document.services[known.announcement.service]?.costs != null
        if (isEngine && !ended) probeIfDoubtful(life, known, life in stalled)
    }
}

private fun Planning.probeIfDoubtful(life: EngineLife, known: KnownBackend, stalled: Boolean) {
    val last = state.probes[life]
    val heardSince = last != null && last.failures > 0 && known.heardMs > last.sentMs
    if (heardSince && !stalled) state = state.copy(probes = state.probes.remove(life))
    val due = last == null || isUnconfirmed(last, stalled) || input.nowMs - last.sentMs >= probeGapMs(last)
    val doubtful = stalled || input.nowMs - known.heardMs > OVERDUE_MS
    if (doubtful && due) probe(life, known.announcement.address)
}

/**
 * Whether a member of a stalled group has missed too few questions for a verdict. It is asked again at once, since
 * the group serves nobody until the verdict.
 */
private fun Planning.isUnconfirmed(last: ProbeRecord, stalled: Boolean): Boolean =
    stalled && !last.waiting && last.failures in 1 until PROBE_FAILURES

private fun Planning.probeGapMs(record: ProbeRecord): Long =
    if (record.failures <= PROBE_FAILURES) PROBE_GAP_MS else DEAD_PROBE_GAP_MS

/** A quarter more than the interval of announcements. */
private const val OVERDUE_MS = 1_500L
private const val DEAD_PROBE_GAP_MS = 2_000L
