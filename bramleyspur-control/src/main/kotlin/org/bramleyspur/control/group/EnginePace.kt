/*
 * How slow engines are, according to the reports that the leader asks for anyway: before joins, and when an
 * announcement is overdue.
 */
package org.bramleyspur.control.group

/**
 * What the reports of an engine tell of its pace.
 *
 * @property factor by which the work of the engine takes longer than usual, as last reported; 1 for a sound engine
 * @property reportedMs when the last report arrived
 * @property slowSinceMs when the first of the reports without a gap arrived that found it slow; null while it is sound
 */
data class EnginePace(val factor: Double, val reportedMs: Long, val slowSinceMs: Long? = null) {
    /** For how long the reports have found the engine slow; 0 after a single one. */
    val slowForMs: Long get() = slowSinceMs?.let { reportedMs - it } ?: 0L

    /** Whether the last report still counts. */
    fun isRecent(nowMs: Long): Boolean = nowMs - reportedMs <= REPORT_VALIDITY_MS

    companion object {
        /** A smaller slowdown is hardly worth the reform of a group. */
        const val SLOW_FACTOR = 1.25

        /** Lower than [SLOW_FACTOR], so that an engine near it does not change by each report. */
        const val SOUND_FACTOR = 1.1

        /** Announcements arrive late often enough for several reports of an engine in this time. */
        const val REPORT_VALIDITY_MS = 10_000L
    }
}

/** The pace after a report of [factor] at [nowMs]; [last] is null before the first one. */
internal fun paceAfter(last: EnginePace?, factor: Double, nowMs: Long): EnginePace {
    val slowSinceMs = last?.takeIf { it.isRecent(nowMs) }?.slowSinceMs
    val limit = if (slowSinceMs == null) EnginePace.SLOW_FACTOR else EnginePace.SOUND_FACTOR
    val slow = if (slowSinceMs == null) factor >= limit else factor > limit
    return EnginePace(factor, nowMs, if (slow) slowSinceMs ?: nowMs else null)
}
