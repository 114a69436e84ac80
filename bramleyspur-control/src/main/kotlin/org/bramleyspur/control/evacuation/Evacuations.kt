/*
 * The data centres whose backend servers get no requests. Part of the replicated state: the order of a start and a
 * finish is the order in which the log holds them.
 */
package org.bramleyspur.control.evacuation

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * An evacuation in force.
 *
 * @property revision log index of the command that began it
 * @property startedAtMs wall-clock milliseconds of the leader that accepted the command
 */
data class Evacuation(val revision: Long, val startedAtMs: Long)

/** A data centre whose [evacuation] has begun, or has ended if not [begun]. */
data class EvacuationChange(val dataCentre: String, val evacuation: Evacuation, val begun: Boolean)

/**
 * How far an evacuation has reached.
 *
 * @property confirmedBy number of entries that know it
 * @property missing entries that do not
 */
data class EvacuationProgress(
    val dataCentre: String,
    val evacuation: Evacuation,
    val confirmedBy: Int,
    val missing: List<String>,
)

/**
 * The evacuated data centres, by name.
 *
 * @property revision log index of the last change; 0 before the first one
 */
data class Evacuations(
    val revision: Long = 0,
    val byDataCentre: PersistentMap<String, Evacuation> = persistentMapOf(),
) {
    /** Begins the evacuation of [dataCentre] with the command at [index]; one that has begun is left as it is. */
    fun start(dataCentre: String, index: Long, nowMs: Long): Evacuations = if (dataCentre in byDataCentre) {
        this
    } else {
        Evacuations(index, byDataCentre.put(dataCentre, Evacuation(index, nowMs)))
    }

    /** Ends the evacuation of [dataCentre] with the command at [index]; without one, nothing changes. */
    fun finish(dataCentre: String, index: Long): Evacuations =
        if (dataCentre in byDataCentre) Evacuations(index, byDataCentre.remove(dataCentre)) else this

    /** The evacuations, with the entries that know them; [entries] has the revision that each entry has reported. */
    fun progress(entries: Map<String, Long>): List<EvacuationProgress> =
        byDataCentre.entries.sortedBy { it.key }.map { (name, evacuation) ->
            val (confirmed, missing) = entries.entries.partition { it.value >= evacuation.revision }
            EvacuationProgress(name, evacuation, confirmed.size, missing.map { it.key }.sorted())
        }

    /** The evacuations that have begun or ended since [before]. */
    fun changesSince(before: Evacuations): List<EvacuationChange> {
        val ended = before.byDataCentre.filter { (name, evacuation) -> byDataCentre[name] != evacuation }
        val begun = byDataCentre.filter { (name, evacuation) -> before.byDataCentre[name] != evacuation }
        return ended.map { (name, evacuation) -> EvacuationChange(name, evacuation, begun = false) } +
            begun.map { (name, evacuation) -> EvacuationChange(name, evacuation, begun = true) }
    }
}
