/*
 * Backend servers that asked this entry to send them nothing: those that are leaving, and those that turned a request
 * away and named a time after which they take requests again.
 */
package org.bramleyspur.traffic.forward

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import org.bramleyspur.traffic.quarantine.EngineLife
import java.time.DateTimeException
import java.time.Duration
import java.time.Instant
import java.time.format.DateTimeFormatter

/** The backend servers to which no request is sent. Each entry belongs to one life of a server. */
class BackendBackoff private constructor(
    private val leaving: PersistentSet<EngineLife>,
    private val untilMs: PersistentMap<EngineLife, Long>,
) {
    constructor() : this(persistentSetOf(), persistentMapOf())

    /** The state after a response of [server] said that it is leaving. */
    fun onLeaving(server: EngineLife): BackendBackoff = BackendBackoff(leaving.add(server), untilMs)

    /** The state after [server] turned a request away for [delayMs] at [nowMs]; the latest end counts. */
    fun onTurnedAway(server: EngineLife, delayMs: Long, nowMs: Long): BackendBackoff {
        val endMs = maxOf(nowMs + delayMs, untilMs[server] ?: 0)
        return BackendBackoff(leaving, untilMs.put(server, endMs))
    }

    /** Whether [server] has said that it is leaving. */
    fun isLeaving(server: EngineLife): Boolean = server in leaving

    /** Whether a request may be sent to [server] at [nowMs]. */
    fun allows(server: EngineLife, nowMs: Long): Boolean = server !in leaving && (untilMs[server] ?: 0) <= nowMs

    /** Time in milliseconds until a request may be sent to one of [servers]; null if all of them are leaving. */
    fun waitMs(servers: Collection<EngineLife>, nowMs: Long): Long? =
        servers.filter { it !in leaving }.minOfOrNull { ((untilMs[it] ?: 0) - nowMs).coerceAtLeast(0) }

    /** Without the servers that are not among [known], and the delays that have ended at [nowMs]. */
    fun expire(known: Set<EngineLife>, nowMs: Long): BackendBackoff = BackendBackoff(
        leaving.filter { it in known }.toPersistentSet(),
        untilMs.filter { (server, endMs) -> server in known && endMs > nowMs }.toPersistentMap(),
    )
}

/**
 * Delay in milliseconds that the values of `Retry-After` headers name: seconds with an optional fraction, or a date.
 * Null if none of [values] can be read or lies in the future; the longest one counts, up to [MAX_RETRY_AFTER_MS].
 */
fun retryAfterMs(values: List<String>, now: Instant): Long? =
    values.mapNotNull { secondsMs(it.trim()) ?: dateMs(it.trim(), now) }
        .filter { it > 0 }
        .maxOrNull()
        ?.coerceAtMost(MAX_RETRY_AFTER_MS)

private fun secondsMs(value: String): Long? = value.takeIf { DECIMAL.matches(it) }
    ?.let { (it.toDouble() * MS_PER_SECOND).coerceAtMost(MAX_RETRY_AFTER_MS.toDouble()).toLong() }

private fun dateMs(value: String, now: Instant): Long? = try {
    val until = Instant.from(DateTimeFormatter.RFC_1123_DATE_TIME.parse(value))
    Duration.between(now, until).seconds.coerceIn(0, MAX_RETRY_AFTER_MS / MS_PER_SECOND.toLong()) *
        MS_PER_SECOND.toLong()
} catch (_: DateTimeException) {
    null
}

private val DECIMAL = Regex("[0-9]{1,18}(\\.[0-9]{1,9})?")
private const val MS_PER_SECOND = 1_000.0

/** A server that names a longer time is asked again after this one. */
const val MAX_RETRY_AFTER_MS = 300_000L
