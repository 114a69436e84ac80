package org.bramleyspur.traffic.pressure

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * The requests that wait at an entry, by key, with a bound on their number and on the bytes of their bodies.
 *
 * @property bytes bytes of the bodies of all of them
 */
class WaitingRoom<K> private constructor(private val waiting: PersistentMap<K, Place>, val bytes: Long) {
    constructor() : this(persistentMapOf(), 0)

    private data class Place(val priority: Int, val receivedAtMs: Long, val bytes: Int)

    /** Number of requests that wait. */
    val count: Int get() = waiting.size

    /** Whether a request with a body of [bytes] that is not in the room may wait. */
    fun hasRoom(key: K, bytes: Int): Boolean = key in waiting || (count < MAX_COUNT && this.bytes + bytes <= MAX_BYTES)

    /** With a request that waits. */
    fun with(key: K, priority: Int, receivedAtMs: Long, bytes: Int): WaitingRoom<K> {
        val before = waiting[key]?.bytes ?: 0
        return WaitingRoom(waiting.put(key, Place(priority, receivedAtMs, bytes)), this.bytes + bytes - before)
    }

    /** Without a request that has started, was refused or whose caller has left. */
    fun without(key: K): WaitingRoom<K> {
        val place = waiting[key] ?: return this
        return WaitingRoom(waiting.remove(key), bytes - place.bytes)
    }

    /** All requests in the order in which they are decided on: the most urgent first, and of these the newest. */
    fun order(): List<K> = waiting.entries
        .sortedWith(compareBy<Map.Entry<K, Place>> { it.value.priority }.thenByDescending { it.value.receivedAtMs })
        .map { it.key }

    private companion object {
        const val MAX_COUNT = 256
        const val MAX_BYTES = 16L * 1024 * 1024
    }
}
