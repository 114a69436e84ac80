package org.bramleyspur.traffic.pressure

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import kotlin.math.exp

/**
 * Counts by key that decay exponentially with a time constant of [timeConstantMs], so that a count divided by it is a
 * recent rate. At most [maxKeys] keys are kept; the smallest counts are dropped.
 */
internal class DecayingCounts<K> private constructor(
    private val timeConstantMs: Double,
    private val maxKeys: Int,
    private val counts: PersistentMap<K, Count>,
) {
    constructor(timeConstantMs: Double, maxKeys: Int) : this(timeConstantMs, maxKeys, persistentMapOf())

    private data class Count(val value: Double, val atMs: Long)

    /** With [amount] more for [key] at [nowMs]. */
    fun plus(key: K, nowMs: Long, amount: Double = 1.0): DecayingCounts<K> {
        val next = counts.put(key, Count(count(key, nowMs) + amount, nowMs))
        return DecayingCounts(timeConstantMs, maxKeys, if (next.size > 2 * maxKeys) largest(next, nowMs) else next)
    }

    private fun largest(all: PersistentMap<K, Count>, nowMs: Long): PersistentMap<K, Count> =
        all.entries.sortedByDescending { decayed(it.value, nowMs) }
            .take(maxKeys)
            .associate { it.key to it.value }
            .toPersistentMap()

    /** The decayed count of [key]. */
    fun count(key: K, nowMs: Long): Double = counts[key]?.let { decayed(it, nowMs) } ?: 0.0

    /** All decayed counts by key. */
    fun all(nowMs: Long): Map<K, Double> = counts.mapValues { decayed(it.value, nowMs) }

    private fun decayed(count: Count, nowMs: Long) =
        count.value * exp(-(nowMs - count.atMs).coerceAtLeast(0) / timeConstantMs)
}
