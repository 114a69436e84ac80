/*
 * The backend servers that a process knows, merged from announcements that can arrive by several routes, late and out
 * of order.
 */
package org.bramleyspur.core.backend

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** A backend server; [heardMs] is the time in milliseconds when its last announcement reached a control instance. */
data class KnownBackend(val announcement: Announcement, val heardMs: Long)

/**
 * The engine that receives the requests of a group.
 *
 * @property spansDomains whether the group spans several fabric domains, which makes it slower
 */
data class GroupHead(val announcement: Announcement, val spansDomains: Boolean)

/**
 * Backend servers by id. A backend server that is [BackendState.GONE] is kept as a tombstone for
 * [TOMBSTONE_RETENTION_MS], so that a delayed announcement does not add it again.
 */
data class BackendDirectory(val backends: PersistentMap<String, KnownBackend> = persistentMapOf()) {
    /** Computed once for each version of the directory, since every request calls [heads]. */
    private val membersByGroup: Map<Pair<String, GroupId>, List<Announcement>> by lazy(LazyThreadSafetyMode.NONE) {
        backends.values
            .map { it.announcement }
            .filter { it.state != BackendState.GONE && it.place != null }
            .groupBy { it.service to it.place!!.id }
    }

    /** Adds [announcement], which arrived at [heardMs], unless a newer one of the same backend server is known. */
    fun with(announcement: Announcement, heardMs: Long): BackendDirectory {
        val current = backends[announcement.id]
        if (current != null && !announcement.isNewerThan(current.announcement)) return this
        val sameAddress = backends.values.filter {
            it.announcement.address == announcement.address && it.announcement.id != announcement.id
        }
        // The backend server that started last owns the address; an announcement of an earlier one was delayed.
        val successor = sameAddress.firstOrNull {
            it.announcement.bornMs > announcement.bornMs && it.announcement.state != BackendState.GONE
        }
        if (successor != null && announcement.state != BackendState.GONE) return this
        val replaced = if (announcement.state == BackendState.GONE) emptyList() else sameAddress
        val remaining = replaced.fold(backends) { map, superseded -> map.remove(superseded.announcement.id) }
        return BackendDirectory(remaining.put(announcement.id, KnownBackend(announcement, heardMs)))
    }

    /** Removes tombstones, and backend servers without announcements, whose retention time has passed at [nowMs]. */
    fun expire(nowMs: Long): BackendDirectory {
        val stale = backends.filter { (_, backend) ->
            val ageMs = nowMs - backend.heardMs
            ageMs > if (backend.announcement.state == BackendState.GONE) TOMBSTONE_RETENTION_MS else EXPIRY_MS
        }
        return if (stale.isEmpty()) this else BackendDirectory(stale.keys.fold(backends) { map, id -> map.remove(id) })
    }

    /** Backend servers of a plain [service] that accept new requests. */
    fun plain(service: String): List<KnownBackend> =
        backends.values.filter { it.announcement.service == service && it.announcement.state == BackendState.READY }

    /** Heads of the open and complete groups of [model] in [service]; a complete group has [size] engines. */
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
        /** Much longer than the delay of an announcement, which can be several seconds. */
        const val TOMBSTONE_RETENTION_MS = 60_000L

        /** A backend server that is partitioned from the control instances stays in use for this long. */
        const val EXPIRY_MS = 300_000L
    }
}
