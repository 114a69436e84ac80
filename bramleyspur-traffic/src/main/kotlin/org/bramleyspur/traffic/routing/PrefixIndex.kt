/*
 * The prompt prefixes that one engine is believed to hold in its cache. Cache events arrive late and with gaps; after a
 * gap an eviction may have been missed, so the index starts again from empty. Routing only saves time with it: a wrong
 * entry costs a prefill and never a wrong answer.
 */
package org.bramleyspur.traffic.routing

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf

/** A change of an engine's cache; [prefix] is the digest of the first 256 x k bytes of a prompt. */
data class CacheEvent(val sequence: Long, val stored: Boolean, val prefix: Long)

/**
 * Prefixes of one engine in the order of their last use.
 *
 * @property sequence sequence number of the last event, null before the first
 */
data class PrefixIndex(val sequence: Long? = null, private val prefixes: PersistentSet<Long> = persistentSetOf()) {
    /** The index after [event]; an event that is already included changes nothing. */
    fun apply(event: CacheEvent): PrefixIndex {
        if (sequence != null && event.sequence <= sequence) return this
        val gap = sequence != null && event.sequence != sequence + 1
        val kept = if (gap) persistentSetOf() else prefixes
        val next = if (event.stored) touch(kept, event.prefix) else kept.remove(event.prefix)
        return PrefixIndex(event.sequence, next)
    }

    /** The index after a prompt was sent to the engine, which will store its prefixes. */
    fun assumeStored(sent: LongArray): PrefixIndex =
        PrefixIndex(sequence, sent.fold(prefixes) { kept, prefix -> touch(kept, prefix) })

    /** Number of leading prefixes of a prompt that the engine holds; [prompt] lists them by rising length. */
    fun match(prompt: LongArray): Int {
        for (index in prompt.indices.reversed()) if (prompt[index] in prefixes) return index + 1
        return 0
    }

    private fun touch(kept: PersistentSet<Long>, prefix: Long): PersistentSet<Long> {
        val next = kept.remove(prefix).add(prefix)
        return if (next.size > MAX_PREFIXES) next.remove(next.first()) else next
    }

    private companion object {
        /** About 1 MB of prompt text; with 37 engines the indexes stay below 20 MB. */
        const val MAX_PREFIXES = 4096
    }
}
