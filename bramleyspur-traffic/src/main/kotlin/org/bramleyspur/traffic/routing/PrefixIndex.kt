/*
 * Tracks the prompt prefixes that an engine is expected to hold in its cache. Cache events arrive late and with gaps;
 * after a gap an eviction may have been missed, so the index is cleared. The index is only a routing hint: a wrong
 * entry costs a prefill, never a wrong result.
 */
package org.bramleyspur.traffic.routing

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf

/**
 * A change of an engine's cache.
 *
 * @property stored true for a stored prefix, false for an evicted one
 * @property prefix digest of the first bytes of a prompt, in multiples of 256
 */
data class CacheEvent(val sequence: Long, val stored: Boolean, val prefix: Long)

/**
 * Prefixes of one engine, least recently used first.
 *
 * @property sequence sequence number of the last event, null before the first
 */
data class PrefixIndex(val sequence: Long? = null, private val prefixes: PersistentSet<Long> = persistentSetOf()) {
    /** Returns the index after [event]; an event that is already included changes nothing. */
    fun apply(event: CacheEvent): PrefixIndex {
        if (sequence != null && event.sequence <= sequence) return this
        val gap = sequence != null && event.sequence != sequence + 1
        val known = if (gap) persistentSetOf() else prefixes
        val next = if (event.stored) touch(known, event.prefix) else known.remove(event.prefix)
        return PrefixIndex(event.sequence, next)
    }

    /** Returns the index after a prompt was sent to the engine, which will store its prefixes. */
    fun assumeStored(prompt: LongArray): PrefixIndex =
        PrefixIndex(sequence, prompt.fold(prefixes) { known, prefix -> touch(known, prefix) })

    /** Returns how many leading prefixes of a prompt the engine holds; [prompt] lists them by increasing length. */
    fun match(prompt: LongArray): Int {
        for (index in prompt.indices.reversed()) if (prompt[index] in prefixes) return index + 1
        return 0
    }

    private fun touch(known: PersistentSet<Long>, prefix: Long): PersistentSet<Long> {
        val next = known.remove(prefix).add(prefix)
        return if (next.size > MAX_PREFIXES) next.remove(next.first()) else next
    }

    private companion object {
        /** About 1 MB of prompt text per engine; the indexes of 37 engines stay below 20 MB. */
        const val MAX_PREFIXES = 4096
    }
}
