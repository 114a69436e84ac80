/*
 * Finds the prompt parts that crash the engines that begin a response to them, from what all entries observe, and
 * keeps requests with these parts away from the engines.
 *
 * Every request that an engine was to begin when it ended makes its shared parts suspect; a request with the part that
 * an engine goes on with clears it. A part that crashes engines is never cleared. The requests that happened to be on
 * the engine share parts with many others, which clear these parts soon. Parts that have always been suspect together
 * cannot be told apart, so only requests with all of them are kept away, until one of them is cleared or suspect alone.
 */
package org.bramleyspur.traffic.quarantine

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/**
 * A part that may crash engines.
 *
 * @property engines engines that ended while they were to begin a response to a request with the part
 * @property lastEndMs when the last of these ends became known
 * @property lastTestMs when a request with the part was last let through although the part was blocked
 */
data class SuspectPart(val engines: PersistentSet<EngineLife>, val lastEndMs: Long, val lastTestMs: Long? = null)

/** Whether a request may be sent to an engine. */
sealed interface PartVerdict {
    /** No part of the request is blocked. */
    data object Allowed : PartVerdict

    /** The request may be sent once, to find out whether [part] still crashes engines. */
    data class Test(val part: String) : PartVerdict

    /** The request must not be sent; the part may be tested again in [retryAfterMs]. */
    data class Blocked(val part: String, val retryAfterMs: Long) : PartVerdict
}

/**
 * The suspect parts that one process knows. Observations may arrive repeatedly and in any order. Immutable.
 *
 * @property suspects suspect parts by their ids
 * @property known ends of engines that were taken into account, so that a repeated one does not undo a survival
 */
data class PartQuarantine(
    val suspects: PersistentMap<String, SuspectPart> = persistentMapOf(),
    private val known: PersistentSet<PartObservation.EngineEnded> = persistentSetOf(),
) {
    /** This state with [observation]; the same instance if it changes nothing. */
    fun with(observation: PartObservation, nowMs: Long): PartQuarantine = when (observation) {
        is PartObservation.EngineEnded -> withEnd(observation, nowMs)
        is PartObservation.Survived ->
            if (observation.part in suspects) copy(suspects = suspects.remove(observation.part)) else this
    }

    private fun withEnd(end: PartObservation.EngineEnded, nowMs: Long): PartQuarantine {
        if (end in known) return this
        val before = suspects[end.part] ?: SuspectPart(persistentSetOf(), nowMs)
        val updated = before.copy(engines = before.engines.add(end.engine), lastEndMs = nowMs)
        val bounded = if (known.size >= MAX_KNOWN_ENDS) known.remove(known.first()) else known
        return copy(suspects = suspects.put(end.part, updated).bounded(), known = bounded.add(end))
    }

    private fun PersistentMap<String, SuspectPart>.bounded(): PersistentMap<String, SuspectPart> =
        if (size <= MAX_SUSPECTS) this else remove(minBy { (_, suspect) -> suspect.lastEndMs }.key)

    /** This state without the parts that have not been suspected for [SUSPICION_MS]. */
    fun expire(nowMs: Long): PartQuarantine {
        val expired = suspects.filterValues { nowMs - it.lastEndMs > SUSPICION_MS }.keys
        if (expired.isEmpty()) return this
        return PartQuarantine(
            expired.fold(suspects) { remaining, part -> remaining.remove(part) },
            known.filterNot { it.part in expired }.fold(persistentSetOf()) { kept, end -> kept.add(end) },
        )
    }

    /** Everything that another process needs to know the same suspects. */
    fun observations(): List<PartObservation> = suspects.flatMap { (part, suspect) ->
        suspect.engines.map { PartObservation.EngineEnded(part, it) }
    }

    /** This state after a request with [part] was let through as a test. */
    fun withTest(part: String, nowMs: Long): PartQuarantine {
        val suspect = suspects[part] ?: return this
        return copy(suspects = suspects.put(part, suspect.copy(lastTestMs = nowMs)))
    }

    /**
     * Whether a request with the shared parts [parts] may be sent for the first time. [delayFactor], from 1 to 2,
     * belongs to this process, so that the processes do not test a part at the same moment.
     */
    fun verdict(parts: List<String>, nowMs: Long, delayFactor: Double): PartVerdict {
        val part = culprit(parts, BLOCKING_ENDS) ?: return PartVerdict.Allowed
        val suspect = suspects.getValue(part)
        val doublings = (suspect.engines.size - BLOCKING_ENDS).coerceAtMost(MAX_TEST_DOUBLINGS)
        val intervalMs = ((TEST_INTERVAL_MS shl doublings) * delayFactor).toLong()
        val nextTestMs = maxOf(suspect.lastEndMs, suspect.lastTestMs ?: 0L) + intervalMs
        return if (nowMs >= nextTestMs) PartVerdict.Test(part) else PartVerdict.Blocked(part, nextTestMs - nowMs)
    }

    /** Whether a request that an engine was to begin when it ended may be sent to another engine. */
    fun allowsRetry(parts: List<String>): Boolean = culprit(parts, RETRY_BLOCKING_ENDS) == null

    /** A part of the request to which at least [ends] ends of engines are due; null for none. */
    private fun culprit(parts: List<String>, ends: Int): String? = parts.firstOrNull { part ->
        val engines = suspects[part]?.engines
        engines != null && engines.size >= ends && alternatives(part, engines).all { it in parts }
    }

    /** The other parts to which the same ends of engines may be due. */
    private fun alternatives(part: String, engines: Set<EngineLife>): List<String> =
        suspects.filter { (other, suspect) -> other != part && suspect.engines.containsAll(engines) }.map { it.key }

    private companion object {
        /** Two engines can end for another reason while they hold requests with a common part. */
        const val BLOCKING_ENDS = 3

        /** A second send repeats at once what an engine may just have ended under, so one end less is enough. */
        const val RETRY_BLOCKING_ENDS = 2
        const val TEST_INTERVAL_MS = 30_000L
        const val MAX_TEST_DOUBLINGS = 4

        /** Longer than the longest interval between two tests. */
        const val SUSPICION_MS = 1_200_000L
        const val MAX_SUSPECTS = 1_000
        const val MAX_KNOWN_ENDS = 4_000
    }
}
