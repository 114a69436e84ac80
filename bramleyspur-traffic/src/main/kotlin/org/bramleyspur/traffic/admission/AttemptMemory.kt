/*
 * What an agent remembers of attempts that wait or run no longer. A lookup may say "not begun" only if that is certain,
 * so the ends of non-idempotent attempts are kept for as long as a claim can name them. They are kept as 64-bit hashes:
 * at 5 a second for 24 h that is 432,000 attempts, and a collision only makes an answer more cautious.
 */
package org.bramleyspur.traffic.admission

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** Remembered attempts of one agent run. Used by one thread. */
internal class AttemptMemory(keepEndedMs: Long) {
    private var barred: PersistentMap<AttemptKey, Long> = persistentMapOf()
    private val onceOnlyEnds = RotatingHashes(keepEndedMs)
    private val repeatableEnds = RotatingHashes(SETTLE_MS)

    /** Refuses [key] until [untilMs]. */
    fun bar(key: AttemptKey, untilMs: Long) {
        barred = barred.put(key, untilMs)
    }

    /** Remembers that the attempt of [offer] ran. */
    fun end(offer: AttemptOffer) {
        (if (offer.idempotent) repeatableEnds else onceOnlyEnds).add(hash(offer.key))
    }

    fun isBarred(key: AttemptKey): Boolean = key in barred

    fun hasEnded(key: AttemptKey): Boolean = hash(key).let { it in onceOnlyEnds || it in repeatableEnds }

    /** Forgets what no message can ask about any more. */
    fun prune(nowMs: Long) {
        barred = barred.entries.fold(barred) { kept, (key, untilMs) -> if (untilMs < nowMs) kept.remove(key) else kept }
        onceOnlyEnds.rotate(nowMs)
        repeatableEnds.rotate(nowMs)
    }

    private fun hash(key: AttemptKey): Long {
        var hash = FNV_OFFSET
        key.request.value.forEach { hash = (hash xor it.code.toLong()) * FNV_PRIME }
        return (hash xor key.attempt.toLong()) * FNV_PRIME
    }

    private companion object {
        /** A doubled start of an idempotent attempt arrives within this time, and is harmless later. */
        const val SETTLE_MS = 60_000L

        /** Offset and prime of the 64-bit FNV-1a hash. */
        const val FNV_OFFSET = -0x340d631b7bdddcdbL
        const val FNV_PRIME = 0x100000001b3L
    }
}

/** Hashes that are kept for one to two times [periodMs]. */
internal class RotatingHashes(private val periodMs: Long) {
    private var recent = LongHashSet()
    private var older = LongHashSet()
    private var rotatedMs: Long? = null

    fun add(hash: Long) = recent.add(hash)

    operator fun contains(hash: Long): Boolean = hash in recent || hash in older

    fun rotate(nowMs: Long) {
        val since = rotatedMs ?: nowMs.also { rotatedMs = it }
        if (nowMs - since < periodMs) return
        older = recent
        recent = LongHashSet()
        rotatedMs = nowMs
    }
}

/** A set of 64-bit hashes with open addressing, 8 bytes for each place. */
internal class LongHashSet {
    private var table = LongArray(INITIAL_PLACES)
    private var size = 0

    /** Adds [hash]; 0 stands for an empty place and is stored as 1. */
    fun add(hash: Long) {
        if (size * 2 >= table.size) grow()
        if (insert(table, stored(hash))) size++
    }

    operator fun contains(hash: Long): Boolean {
        val value = stored(hash)
        var place = place(table, value)
        while (table[place] != 0L) {
            if (table[place] == value) return true
            place = (place + 1) and (table.size - 1)
        }
        return false
    }

    private fun grow() {
        val larger = LongArray(table.size * 2)
        table.forEach { if (it != 0L) insert(larger, it) }
        table = larger
    }

    private fun insert(into: LongArray, value: Long): Boolean {
        var place = place(into, value)
        while (into[place] != 0L) {
            if (into[place] == value) return false
            place = (place + 1) and (into.size - 1)
        }
        into[place] = value
        return true
    }

    private fun place(of: LongArray, value: Long): Int = ((value xor (value ushr 32)).toInt()) and (of.size - 1)

    private fun stored(hash: Long): Long = if (hash == 0L) 1L else hash

    private companion object {
        const val INITIAL_PLACES = 64
    }
}
