/*
 * The backend servers that a process knows, merged from announcements that arrive on several ways, late and out of
 * order.
 */
package org.bramleyspur.core.backend

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** A backend server and the time in milliseconds at which its last announcement reached a control instance. */
data class KnownBackend(val announcement: Announcement, val heardMs: Long)

/**
 * The head of a group.
 *
 * @property spansDomains whether the group has members in several fabric domains, which makes it slower
 */
data class GroupHead(val announcement: Announcement, val spansDomains: Boolean)

/**
 * Backend servers by id. One that has left stays as [BackendState.GONE] for [TOMBSTONE_MS], so that a late announcement
 * does not bring it back.
 */
data class BackendDirectory(val backends: PersistentMap<String, KnownBackend> = persistentMapOf()) {
    /** Computed once for each version of the directory, since every request asks for heads. */
    private val membersByGroup: Map<Pair<String, GroupId>, List<Announcement>> by lazy(LazyThreadSafetyMode.NONE) {
        backends.values
            .map { it.announcement }
            .filter { it.state != BackendState.GONE && it.place != null }
            .groupBy { it.service to it.place!!.id }
    }

    /** The directory with [announcement], unless it is older than what is known; [heardMs] is when it arrived. */
    fun with(announcement: Announcement, heardMs: Long): BackendDirectory {
        val known = backends[announcement.id]
        if (known != null && !announcement.isNewerThan(known.announcement)) return this
        val sameAddress = backends.values.filter {
            it.announcement.address == announcement.address && it.announcement.id != announcement.id
        }
        // The later start holds the address; an announcement of the earlier one was delayed on its way.
        val successor = sameAddress.firstOrNull {
            it.announcement.bornMs > announcement.bornMs && it.announcement.state != BackendState.GONE
        }
        if (successor != null && announcement.state != BackendState.GONE) return this
        val replaced = if (announcement.state == BackendState.GONE) emptyList() else sameAddress
        val kept = replaced.fold(backends) { map, old -> map.remove(old.announcement.id) }
        return BackendDirectory(kept.put(announcement.id, KnownBackend(announcement, heardMs)))
    }

    /** The directory without what has left, or was not heard of, for a long time before [nowMs]. */
    fun expire(nowMs: Long): BackendDirectory {
        val old = backends.filter { (_, known) ->
            val silentMs = nowMs - known.heardMs
            silentMs > if (known.announcement.state == BackendState.GONE) TOMBSTONE_MS else FORGET_MS
        }
        return if (old.isEmpty()) this else BackendDirectory(old.keys.fold(backends) { map, id -> map.remove(id) })
    }

    /** Backend servers of a plain [service] that take new work. */
    fun plain(service: String): List<KnownBackend> =
        backends.values.filter { it.announcement.service == service && it.announcement.state == BackendState.READY }

    /** Heads of open and complete groups of [model] in [service]; [size] is the number of engines in a group. */
    fun heads(service: String, model: String, size: Int): List<GroupHead> {
        val members = membersByGroup
        return backends.values.map { it.announcement }.filter { announcement ->
            val place = announcement.place
            announcement.service == service && announcement.state == BackendState.READY && place != null &&
                place.rank == 0 && place.state == GroupState.OPEN && place.model == model &&
                members.getValue(service to place.id).size >= size
        }.map { head ->
            GroupHead(head, members.getValue(service to head.place!!.id).distinctBy { it.domain }.size > 1)
        }
    }

    private companion object {
        /** An announcement can be several seconds late; a minute covers every delay that was seen. */
        const val TOMBSTONE_MS = 60_000L

        /** A partition from control of this length leaves a backend server in use. */
        const val FORGET_MS = 300_000L
    }
}
