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

/**
 * The entries after [baseIndex], whose own entry had [baseTerm].
 *
 * @property baseEnd payload bytes up to and including the entry at [baseIndex], counted from an arbitrary origin
 * @property ends the same count for each of [entries], so that the payload of a range is a difference of two counts
 */
internal class EntryLog private constructor(
    val baseIndex: Long,
    val baseTerm: Long,
    val entries: PersistentList<Entry>,
    private val baseEnd: Long,
    private val ends: PersistentList<Long>,
) {
    constructor(baseIndex: Long, baseTerm: Long, entries: PersistentList<Entry> = persistentListOf()) :
        this(baseIndex, baseTerm, entries, 0, payloadEnds(0, entries).toPersistentList())

    /** Payload bytes of all entries. */
    val payloadBytes: Long get() = end(lastIndex) - baseEnd

    val lastIndex: Long get() = baseIndex + entries.size
    val lastTerm: Long get() = if (entries.isEmpty()) baseTerm else entries.last().term

    /** Returns the entry at [index], or null when it has been compacted or does not exist. */
    fun entry(index: Long): Entry? =
        if (index <= baseIndex || index > lastIndex) null else entries[(index - baseIndex - 1).toInt()]

    /** Returns the term at [index], or null when it is not known. */
    fun term(index: Long): Long? = if (index == baseIndex) baseTerm else entry(index)?.term

    /** Returns the payload bytes of the entries from [first] to [last], as far as they are not compacted. */
    fun payloadBytes(first: Long, last: Long): Long = maxOf(0, end(last) - end(first - 1))

    private fun end(index: Long): Long =
        if (index <= baseIndex) baseEnd else ends[(minOf(index, lastIndex) - baseIndex - 1).toInt()]

    /**
     * Returns the index after which the log keeps entries when a snapshot at [index] has been saved: at most
     * [maxEntries] entries of together at most [maxBytes] remain up to [index].
     */
    fun trailingBase(index: Long, maxEntries: Long, maxBytes: Long): Long {
        var base = index
        while (base > baseIndex && index - base < maxEntries && payloadBytes(base, index) <= maxBytes) base--
        return base
    }

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

    fun append(added: List<Entry>): EntryLog = EntryLog(
        baseIndex,
        baseTerm,
        entries.addAll(added),
        baseEnd,
        ends.addAll(payloadEnds(end(lastIndex), added)),
    )

    /** Removes the entries at [index] and above. */
    fun truncateFrom(index: Long): EntryLog {
        val remainingCount = (index - baseIndex - 1).toInt()
        return EntryLog(
            baseIndex,
            baseTerm,
            entries.mutate { while (it.size > remainingCount) it.removeAt(it.lastIndex) },
            baseEnd,
            ends.mutate { while (it.size > remainingCount) it.removeAt(it.lastIndex) },
        )
    }

    /** Removes the entries up to and including [index]. */
    fun compactTo(index: Long): EntryLog {
        val term = term(index)
        if (index <= baseIndex || term == null) return this
        val removed = (index - baseIndex).toInt()
        return EntryLog(
            index,
            term,
            entries.subList(removed, entries.size).toPersistentList(),
            end(index),
            ends.subList(removed, ends.size).toPersistentList(),
        )
    }

    /** Returns the first index that has the same term as [index]. */
    fun firstIndexOfTerm(index: Long): Long {
        val term = term(index)
        var first = index
        while (first - 1 > baseIndex && entry(first - 1)?.term == term) first--
        return first
    }
}

/** Returns the running count of payload bytes after each of [entries], beginning at [origin]. */
private fun payloadEnds(origin: Long, entries: List<Entry>): List<Long> =
    entries.runningFold(origin) { end, entry -> end + entry.payload.size }.drop(1)
