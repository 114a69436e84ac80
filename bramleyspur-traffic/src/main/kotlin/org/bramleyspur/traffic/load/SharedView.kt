/*
 * What an entry believes of the work at backend servers: its own, which it knows, and the other entries' as the leader
 * told it last. Events come from all control instances, and only those of the leader carry work; an event without work
 * says nothing, so the last one counts until it is too old.
 */
package org.bramleyspur.traffic.load

/** The work of the other entries by backend server, and when the leader told it. */
class SharedView private constructor(private val others: Map<String, ServerLoad>, private val toldAtMs: Long?) {
    constructor() : this(emptyMap(), null)

    /** The view after an event with [work] of the other entries, which is empty in events that carry none. */
    fun onEvent(work: Map<String, ServerLoad>, nowMs: Long): SharedView =
        if (work.isEmpty()) this else SharedView(work, nowMs)

    /** Age of the view in milliseconds; null if there is none. */
    fun ageMs(nowMs: Long): Long? = toldAtMs?.let { nowMs - it }

    /**
     * Mean age in milliseconds of the work in the view, with that of the reports; null if it is not usable. An overdue
     * view counts no older than a regular one: what is extrapolated for longer says little of any server.
     */
    fun dataAgeMs(nowMs: Long): Double? = ageMs(nowMs)?.takeIf { isUsable(nowMs) }
        ?.let { minOf(it, EVENT_INTERVAL_MS) + MEAN_REPORT_AGE_MS }

    /** Whether the view is recent enough to choose by; without one, an entry chooses by what it knows itself. */
    fun isUsable(nowMs: Long): Boolean = toldAtMs != null && nowMs - toldAtMs <= VIEW_VALIDITY_MS

    /** Work of the other entries at [backend]; null if the view is not usable. */
    fun othersAt(backend: String, nowMs: Long): ServerLoad? =
        if (isUsable(nowMs)) others[backend] ?: ServerLoad() else null

    private companion object {
        /** Requests start and end within about a second, so an older view misleads. */
        const val VIEW_VALIDITY_MS = 1_000L

        /** Interval between the events of the leader. */
        const val EVENT_INTERVAL_MS = 300L

        /** Half of the interval between the reports of an entry. */
        const val MEAN_REPORT_AGE_MS = 125.0
    }
}
