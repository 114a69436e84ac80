/*
 * What control knows of the work that entries have sent to backend servers. Only the leader collects it. A new leader
 * starts without reports and tells none of its sums until every entry has had the time to report to it: a sum over a part
 * of the entries would make busy servers look idle.
 */
package org.bramleyspur.traffic.load

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** The last report of each entry, and since when this instance leads. */
class WorkReports private constructor(
    private val leadingSinceMs: Long?,
    private val reports: PersistentMap<String, Report>,
) {
    constructor() : this(null, persistentMapOf())

    private class Report(val receivedAtMs: Long, val work: Map<String, ServerLoad>)

    /** Summed up once for the events to all entries, not for each report. */
    private val total: Map<String, ServerLoad> by lazy(LazyThreadSafetyMode.NONE) {
        val sums = HashMap<String, ServerLoad>()
        reports.values.forEach { report ->
            report.work.forEach { (id, load) -> sums.merge(id, load, ServerLoad::plus) }
        }
        sums
    }

    /** With the knowledge whether this instance leads at [nowMs]; what was reported before a change is dropped. */
    fun asLeader(leads: Boolean, nowMs: Long): WorkReports = when {
        leads == (leadingSinceMs != null) -> this
        else -> WorkReports(nowMs.takeIf { leads }, persistentMapOf())
    }

    /** With the report of [entry], which replaces its last one; [work] is by backend server. */
    fun with(entry: String, work: Map<String, ServerLoad>, nowMs: Long): WorkReports =
        if (leadingSinceMs == null) this else WorkReports(leadingSinceMs, reports.put(entry, Report(nowMs, work)))

    /** Without the reports of entries that have sent none for [REPORT_VALIDITY_MS]: they are dead or out of reach. */
    fun expire(nowMs: Long): WorkReports {
        val expired = reports.filterValues { nowMs - it.receivedAtMs > REPORT_VALIDITY_MS }.keys
        if (expired.isEmpty()) return this
        return WorkReports(leadingSinceMs, expired.fold(reports) { left, entry -> left.remove(entry) })
    }

    /** The work of all entries but [entry] by backend server, for servers with work; empty if it is not known. */
    fun othersOf(entry: String, nowMs: Long): Map<String, ServerLoad> {
        if (leadingSinceMs == null || nowMs - leadingSinceMs < COLLECTION_MS) return emptyMap()
        val own = reports[entry]?.work.orEmpty()
        return total.mapValues { (id, load) -> own[id]?.let { load - it } ?: load }.filterValues { it.inFlight > 0 }
    }

    private companion object {
        /** Four intervals between reports. */
        const val REPORT_VALIDITY_MS = 1_000L

        /** An entry learns of a new leader with its next event and then reports to it: two intervals. */
        const val COLLECTION_MS = 700L
    }
}
