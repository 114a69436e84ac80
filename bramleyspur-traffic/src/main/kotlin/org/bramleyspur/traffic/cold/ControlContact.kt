/*
 * What an entry knows of the other entries, and whether it is in touch: with control, and with the time that passes. An
 * entry that was frozen reads what was queued meanwhile as if it were new.
 */
package org.bramleyspur.traffic.cold

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap

/**
 * The contact of an entry with control and its own pauses. All times are in milliseconds of the entry's clock.
 *
 * @property entryCounts when each number of entries was last told by a control instance
 * @property firstEventMs time of the first event, or of the first one after a gap that ended a start; null before it
 * @property activeMs when the entry was last seen to run
 * @property wokeMs when it last ran again after a pause of more than [MAX_PAUSE_MS]; null for never
 */
data class ControlContact(
    val activeMs: Long,
    private val entryCounts: PersistentMap<Int, Long> = persistentMapOf(),
    private val firstEventMs: Long? = null,
    private val lastEventMs: Long? = null,
    private val wokeMs: Long? = null,
) {
    /** The contact after the entry was seen to run at [nowMs]. */
    fun onActive(nowMs: Long): ControlContact =
        if (isPause(nowMs)) copy(activeMs = nowMs, wokeMs = nowMs) else copy(activeMs = nowMs)

    /** Whether the entry paused before [nowMs]. */
    fun isPause(nowMs: Long): Boolean = nowMs - activeMs > MAX_PAUSE_MS

    /** The contact after a control instance told at [nowMs] that it knows [entries]. */
    fun onEvent(entries: Int, nowMs: Long): ControlContact = copy(
        entryCounts = entryCounts.filterValues { nowMs - it <= ENTRY_MEMORY_MS }.toPersistentMap().put(entries, nowMs),
        firstEventMs = if (isJoining && !isHeard(nowMs)) nowMs else firstEventMs,
        lastEventMs = nowMs,
    )

    /** Whether the entry has not been told of the others for long enough to know their number, nor they of it. */
    private val isJoining: Boolean
        get() = firstEventMs == null || lastEventMs == null || lastEventMs - firstEventMs < JOINING_MS

    private fun isHeard(nowMs: Long) = lastEventMs != null && nowMs - lastEventMs <= MAX_EVENT_AGE_MS

    /** Whether control's latest events say how the backend servers are at [nowMs]. */
    fun isInTouch(nowMs: Long): Boolean = isHeard(nowMs) && !hasWokenLately(nowMs)

    private fun hasWokenLately(nowMs: Long) = wokeMs != null && nowMs - wokeMs <= WAKING_MS

    /** Whether a statement that was received at [receivedMs] may have been queued while the entry paused. */
    fun mayBeQueued(receivedMs: Long): Boolean = wokeMs != null && receivedMs <= wokeMs + QUEUE_MS

    /**
     * The part of [limit] that this entry may use: an equal one, where some entries that are not told yet are counted
     * in addition. The other entries may not have been told of one that is new, which gets at most one; so does one
     * that has lost control soon after its start, when control knew few of those that had started with it.
     */
    fun share(limit: Int): Int {
        val entries = entryCounts.keys.maxOrNull()?.coerceAtLeast(1) ?: return 0
        val equal = limit / (entries + (entries + ENTRIES_PER_UNKNOWN - 1) / ENTRIES_PER_UNKNOWN)
        return if (isJoining) minOf(1, equal) else equal
    }

    companion object {
        /** A request may leave this much later than it was decided; a connection is opened for no longer either. */
        const val MAX_PAUSE_MS = 300L

        /** Control instances send an event every 300 ms. */
        const val MAX_EVENT_AGE_MS = 1_000L

        /** Events and announcements that arrived during a pause are read within this time after it. */
        const val QUEUE_MS = 500L

        /** Includes a regular event after [QUEUE_MS]. */
        const val WAKING_MS = 1_000L

        /** A frozen entry is no longer told by control after 3 s, but uses its share when it wakes. */
        const val ENTRY_MEMORY_MS = 60_000L

        /** The others learn of a new entry with the next regular event; what they sent before counts for a window. */
        const val JOINING_MS = 2_000L

        /** One entry in addition for this many; enough for those that start together in a replacement. */
        const val ENTRIES_PER_UNKNOWN = 5
    }
}
