/*
 * Entries of the replicated log and the part of the log that a member holds in memory. The log begins after a base
 * index, whose entry has been compacted; its term is kept for the consistency check of append requests.
 */
package org.bramleyspur.log.consensus

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

/** Kind of an entry. The [code] is stored with the entry, and sent as the first byte of the payload. */
enum class EntryKind(val code: Byte) {
    /** Appended by a new leader so that it can commit the entries of earlier terms. */
    NO_OP(0),

    /** A command for the state machine. */
    COMMAND(1),

    /** An encoded [Membership]. */
    MEMBERSHIP(2),
    ;

    internal companion object {
        /** Returns the kind with [code], or null for an unknown code. */
        fun of(code: Byte): EntryKind? = entries.firstOrNull { it.code == code }
    }
}

/** One log entry. The bytes of [payload] are never modified. */
class Entry(val index: Long, val term: Long, val kind: EntryKind, val payload: ByteArray) {
    override fun toString(): String = "Entry($index, term $term, $kind, ${payload.size} bytes)"
}

/** The entries after [baseIndex], whose own entry had [baseTerm]. */
internal class EntryLog(
    val baseIndex: Long,
    val baseTerm: Long,
    val entries: PersistentList<Entry> = persistentListOf(),
) {
    val lastIndex: Long get() = baseIndex + entries.size
    val lastTerm: Long get() = if (entries.isEmpty()) baseTerm else entries.last().term

    /** Returns the entry at [index], or null when it has been compacted or does not exist. */
    fun entry(index: Long): Entry? =
        if (index <= baseIndex || index > lastIndex) null else entries[(index - baseIndex - 1).toInt()]

    /** Returns the term at [index], or null when it is not known. */
    fun term(index: Long): Long? = if (index == baseIndex) baseTerm else entry(index)?.term

    /** Returns entries beginning at [from], up to [maxEntries] or until their payloads reach [maxBytes]. */
    fun slice(from: Long, maxEntries: Int, maxBytes: Int): List<Entry> {
        val result = ArrayList<Entry>()
        var bytes = 0
        var next = entry(from)
        while (next != null && result.size < maxEntries && bytes < maxBytes) {
            result += next
            bytes += next.payload.size
            next = entry(next.index + 1)
        }
        return result
    }

    fun append(added: List<Entry>): EntryLog = EntryLog(baseIndex, baseTerm, entries.addAll(added))

    /** Removes the entries at [index] and above. */
    fun truncateFrom(index: Long): EntryLog {
        val remainingCount = (index - baseIndex - 1).toInt()
        return EntryLog(
            baseIndex,
            baseTerm,
            entries.mutate { while (it.size > remainingCount) it.removeAt(it.lastIndex) },
        )
    }

    /** Removes the entries up to and including [index]. */
    fun compactTo(index: Long): EntryLog {
        val term = term(index)
        if (index <= baseIndex || term == null) return this
        return EntryLog(index, term, entries.subList((index - baseIndex).toInt(), entries.size).toPersistentList())
    }

    /** Returns the first index that has the same term as [index]. */
    fun firstIndexOfTerm(index: Long): Long {
        val term = term(index)
        var first = index
        while (first - 1 > baseIndex && entry(first - 1)?.term == term) first--
        return first
    }
}
