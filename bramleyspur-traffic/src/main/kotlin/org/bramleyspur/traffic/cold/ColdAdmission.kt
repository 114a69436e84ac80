/*
 * Bounds the requests to cold backend servers. Every entry uses an equal share of a server's bound by itself, so that
 * the bound holds for all entries together without messages, whoever is frozen or out of touch.
 */
package org.bramleyspur.traffic.cold

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap

/** Why a backend server counts as cold. */
enum class ColdReason(val text: String) {
    ANNOUNCED("it says so"),
    NEW_LIFE("it has just started, or does not say when it started"),
    UNHEARD("it has not been announced lately"),
    OUT_OF_TOUCH("this entry has no news of control"),
    ;

    /** Whether the server itself gave the reason. */
    val isKnown: Boolean get() = this == ANNOUNCED || this == NEW_LIFE
}

/**
 * What is known of a backend server.
 *
 * @property coldUntilMs until when it said that it is cold
 * @property receivedMs when its last announcement reached control
 * @property ageMs time since its start; null if it is unknown
 */
data class ServerView(val id: String, val coldUntilMs: Long, val receivedMs: Long, val ageMs: Long?)

/**
 * Bounds of a service.
 *
 * @property limit largest number of requests to a cold server in one second, from all entries together
 * @property coldStartMs how long a server is cold after its start
 * @property announcementIntervalMs interval at which servers announce themselves
 */
data class ServiceColdBounds(val limit: Int, val coldStartMs: Long, val announcementIntervalMs: Long)

/** Whether a request may be sent to a backend server. */
sealed interface ColdDecision {
    /** The server is not cold, or the share of this entry is not used up. */
    data object Allowed : ColdDecision

    /** No request until [untilMs]. */
    data class Held(val untilMs: Long, val reason: ColdReason) : ColdDecision
}

/**
 * The requests that this entry sent lately, and its [contact] with control.
 *
 * @property sentMs when requests were sent, by the id of the backend server; the oldest one is first
 */
data class ColdAdmission(
    val contact: ControlContact,
    private val sentMs: PersistentMap<String, PersistentList<Long>> = persistentMapOf(),
) {
    /** The state after the entry was seen to run at [nowMs]; to be called before anything else happens. */
    fun onActive(nowMs: Long): ColdAdmission {
        if (nowMs == contact.activeMs) return this
        val next = contact.onActive(nowMs)
        if (!contact.isPause(nowMs)) return copy(contact = next)
        // What was decided before the pause may leave only now.
        val leaving = sentMs.mapValues { (_, times) ->
            times.filter { contact.activeMs - it < WINDOW_MS }.map { nowMs }.toPersistentList()
        }
        return ColdAdmission(next, leaving.filterValues { it.isNotEmpty() }.toPersistentMap())
    }

    /** The state after a control instance told at [nowMs] that it knows [entries]. */
    fun onEvent(entries: Int, nowMs: Long): ColdAdmission = copy(contact = contact.onEvent(entries, nowMs))

    /** The state after a request was sent to the backend server [id], whether it was cold or not. */
    fun onSent(id: String, nowMs: Long): ColdAdmission {
        val times = recent(id, nowMs)
        // Shares are smaller than this, so that older requests decide nothing.
        val kept = if (times.size < MAX_KEPT) times else times.drop(1)
        return copy(sentMs = sentMs.put(id, kept.toPersistentList().add(nowMs)))
    }

    /** Without the requests that no longer count at [nowMs]. */
    fun expire(nowMs: Long): ColdAdmission =
        copy(sentMs = sentMs.filterValues { nowMs - it.last() < WINDOW_MS }.toPersistentMap())

    /** Whether a request may be sent to [server] at [nowMs]. */
    fun decide(server: ServerView, bounds: ServiceColdBounds, nowMs: Long): ColdDecision {
        val reason = coldReason(server, bounds, nowMs) ?: return ColdDecision.Allowed
        val equal = contact.share(minOf(bounds.limit, MAX_KEPT))
        // A deployment of more entries than the limit would serve nothing while control cannot be reached.
        val share = if (reason.isKnown) equal else maxOf(1, equal)
        val sent = recent(server.id, nowMs)
        return when {
            sent.size < share -> ColdDecision.Allowed
            share == 0 -> ColdDecision.Held(maxOf(server.coldUntilMs, nowMs + WINDOW_MS), reason)
            else -> ColdDecision.Held(sent[sent.size - share] + WINDOW_MS, reason)
        }
    }

    /** Why [server] counts as cold; null if it does not. */
    fun coldReason(server: ServerView, bounds: ServiceColdBounds, nowMs: Long): ColdReason? = when {
        nowMs < server.coldUntilMs -> ColdReason.ANNOUNCED
        bounds.coldStartMs > 0 && isNewLife(server, bounds) -> ColdReason.NEW_LIFE
        !contact.isInTouch(nowMs) -> ColdReason.OUT_OF_TOUCH
        isUnheard(server, bounds, nowMs) -> ColdReason.UNHEARD
        else -> null
    }

    /** A start in the future tells of a clock that was stepped; the server's own word counts then. */
    private fun isNewLife(server: ServerView, bounds: ServiceColdBounds): Boolean =
        server.ageMs == null || server.ageMs in 0 until bounds.coldStartMs

    private fun isUnheard(server: ServerView, bounds: ServiceColdBounds, nowMs: Long): Boolean =
        nowMs - server.receivedMs > MISSED_ANNOUNCEMENTS * bounds.announcementIntervalMs + RENEWAL_DELAY_MS ||
            contact.mayBeQueued(server.receivedMs)

    private fun recent(id: String, nowMs: Long): List<Long> =
        (sentMs[id] ?: persistentListOf()).filter { nowMs - it < WINDOW_MS }

    companion object {
        /**
         * A second, and the time by which a request may leave after it was decided: while a connection is opened, or
         * while this process is late.
         */
        const val WINDOW_MS = 1_000L + ControlContact.MAX_PAUSE_MS
        private const val MISSED_ANNOUNCEMENTS = 2

        /** Renewals are passed on together with regular events. */
        private const val RENEWAL_DELAY_MS = 300L

        /** Bounds the memory and the time for one server. */
        private const val MAX_KEPT = 1_000
    }
}
