/*
 * What an entry knows of the evacuated data centres. Control instances may be behind each other, so the highest
 * revision counts, whichever of them told it.
 */
package org.bramleyspur.traffic.evacuation

import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toImmutableSet

/**
 * The evacuated data centres as of [revision].
 *
 * @property revision revision of the last change that is known; 0 before the first one
 * @property confirmed whether a leader with a valid lease has told its evacuations since the entry's start
 */
data class EvacuationView(
    val revision: Long = 0,
    val dataCentres: ImmutableSet<String> = persistentSetOf(),
    val confirmed: Boolean = false,
) {
    /** The view after a control instance told its state; [byLeader] if it leads with a valid lease. */
    fun onEvent(revision: Long, dataCentres: Collection<String>, byLeader: Boolean): EvacuationView =
        if (revision > this.revision) {
            EvacuationView(revision, dataCentres.toImmutableSet(), confirmed || byLeader)
        } else {
            copy(confirmed = confirmed || byLeader)
        }

    /**
     * Whether requests may be sent [uptimeMs] after the entry's start. A follower that has just started may not know
     * the last changes, so the leader is awaited; without one, the newest view is used after [LEADER_WAIT_MS].
     */
    fun usable(uptimeMs: Long): Boolean = confirmed || uptimeMs >= LEADER_WAIT_MS

    /** Whether requests may be sent to the backend servers of [dataCentre]. */
    fun allows(dataCentre: String): Boolean = dataCentre !in dataCentres

    companion object {
        /** An election takes about a second; after this time, the followers' state is the newest available. */
        const val LEADER_WAIT_MS = 2_500L
    }
}
