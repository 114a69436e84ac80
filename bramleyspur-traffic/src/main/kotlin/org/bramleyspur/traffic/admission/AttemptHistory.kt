/*
 * Records of attempts that are no longer queued or running. A lookup may return "not begun" only if that is certain, so
 * the ends of non-idempotent attempts are retained for as long as a claim can name them. They are stored as 64-bit
 * hashes: 5 a second for 24 h are 432,000 attempts, and a collision only makes a lookup more cautious.
 */
package org.bramleyspur.traffic.admission

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** Blocked and ended attempts of one agent incarnation. Not thread-safe. */
internal class AttemptHistory(endedRetentionMs: Long) {
    private var blocked: PersistentMap<AttemptKey, Long> = persistentMapOf()
    private val nonIdempotentEnds = RotatingHashSet(endedRetentionMs)
    private val idempotentEnds = RotatingHashSet(DUPLICATE_WINDOW_MS)

    /** Refuses [key] until [untilMs]. */
    fun block(key: AttemptKey, untilMs: Long) {
        blocked = blocked.put(key, untilMs)
    }

    /** Records that the attempt of [offer] ran. */
    fun recordEnd(offer: AttemptOffer) {
        (if (offer.idempotent) idempotentEnds else nonIdempotentEnds).add(hash(offer.key))
    }

    fun isBlocked(key: AttemptKey): Boolean = key in blocked

    fun hasEnded(key: AttemptKey): Boolean = hash(key).let { it in nonIdempotentEnds || it in idempotentEnds }

    /** Removes records that no late message can refer to any more. */
    fun prune(nowMs: Long) {
        blocked = blocked.entries.fold(blocked) { all, (key, untilMs) -> if (untilMs < nowMs) all.remove(key) else all }
        nonIdempotentEnds.rotate(nowMs)
        idempotentEnds.rotate(nowMs)
    }

    private fun hash(key: AttemptKey): Long {
        var hash = FNV_OFFSET
        key.request.value.forEach { hash = (hash xor it.code.toLong()) * FNV_PRIME }
        return (hash xor key.attempt.toLong()) * FNV_PRIME
    }

    private companion object {
        /** A duplicate start of an idempotent attempt arrives within this time; a later one is harmless. */
        const val DUPLICATE_WINDOW_MS = 60_000L

        /** Offset and prime of the 64-bit FNV-1a hash. */
        const val FNV_OFFSET = -0x340d631b7bdddcdbL
        const val FNV_PRIME = 0x100000001b3L
    }
}

/** A set that retains each hash for one to two times [periodMs]. */
internal class RotatingHashSet(private val periodMs: Long) {
    private var recent = LongHashSet()
    private var older = LongHashSet()
    private var lastRotationMs: Long? = null

    fun add(hash: Long) = recent.add(hash)

    operator fun contains(hash: Long): Boolean = hash in recent || hash in older

    fun rotate(nowMs: Long) {
        val periodStartMs = lastRotationMs ?: nowMs.also { lastRotationMs = it }
        if (nowMs - periodStartMs < periodMs) return
        older = recent
        recent = LongHashSet()
        lastRotationMs = nowMs
    }
}

/** A set of 64-bit hashes with open addressing, 8 bytes per slot. */
internal class LongHashSet {
    private var table = LongArray(INITIAL_SLOTS)
    private var size = 0

    /** Adds [hash]; 0 marks an empty slot, so a hash of 0 is stored as 1. */
    fun add(hash: Long) {
        if (size * 2 >= table.size) grow()
        if (insert(table, nonZero(hash))) size++
    }

    operator fun contains(hash: Long): Boolean {
        val value = nonZero(hash)
        var slot = slot(table, value)
        while (table[slot] != 0L) {
            if (table[slot] == value) return true
            slot = (slot + 1) and (table.size - 1)
        }
        return false
    }

    private fun grow() {
        val larger = LongArray(table.size * 2)
        table.forEach { if (it != 0L) insert(larger, it) }
        table = larger
    }

    private fun insert(into: LongArray, value: Long): Boolean {
        var slot = slot(into, value)
        while (into[slot] != 0L) {
            if (into[slot] == value) return false
            slot = (slot + 1) and (into.size - 1)
        }
        into[slot] = value
        return true
    }

    private fun slot(of: LongArray, value: Long): Int = ((value xor (value ushr 32)).toInt()) and (of.size - 1)

    private fun nonZero(hash: Long): Long = if (hash == 0L) 1L else hash

    private companion object {
        const val INITIAL_SLOTS = 64
    }
}
