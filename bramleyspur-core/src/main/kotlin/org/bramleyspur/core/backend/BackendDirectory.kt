/*
 * The backend servers that a process knows, merged from announcements that can arrive by several routes, late and out
 * of order.
 */
package org.bramleyspur.core.backend

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * A backend server.
 *
 * @property receivedAtMs when its last announcement reached a control instance, in milliseconds
 * @property lastModel model of the last group in which it announced itself ready since its start; null for none
 */
data class KnownBackend(val announcement: Announcement, val receivedAtMs: Long, val lastModel: String? = null) {
    /** Checksum of what the announcement says, apart from its sequence number. */
    val contentChecksum: Int by lazy(LazyThreadSafetyMode.NONE) { announcement.contentChecksum() }
}

/** A further announcement of a backend server whose content has the checksum [contentChecksum]. */
data class Renewal(val id: String, val startedAtMs: Long, val sequence: Long, val contentChecksum: Int)

/** Outcome of a renewal. */
sealed interface RenewalOutcome {
    /** The backend server is renewed in [directory]. */
    data class Renewed(val directory: BackendDirectory) : RenewalOutcome

    /** As new an announcement is known already. */
    data object Outdated : RenewalOutcome

    /** The announcement to which the renewal refers is not known. */
    data object Unknown : RenewalOutcome
}

/**
 * The engine that receives the requests of a group.
 *
 * @property spansDomains whether the group spans several fabric domains, which makes it slower
 */
data class GroupHead(val announcement: Announcement, val spansDomains: Boolean)

/**
 * Backend servers by id. A backend server that has deregistered ([BackendState.GONE]) is retained as a
 * tombstone for [TOMBSTONE_RETENTION_MS], so that a delayed announcement does not add it again. At most [MAX_BACKENDS]
 * are retained: those that were announced last.
 */
class BackendDirectory private constructor(
    val backends: PersistentMap<String, KnownBackend>,
    private val index: BackendIndex,
) {
    constructor(backends: PersistentMap<String, KnownBackend> = persistentMapOf()) : this(
        backends,
        BackendIndex(backends),
    )

    /** Adds [announcement], received at [receivedAtMs], unless what is known of its sender is newer or final. */
    fun withAnnouncement(announcement: Announcement, receivedAtMs: Long): BackendDirectory {
        val current = backends[announcement.id]
        if (current != null && !announcement.replaces(current.announcement)) return this
        if (current != null && announcement.hasContentOf(current.announcement)) {
            return withSequence(current, announcement.sequence, receivedAtMs)
        }
        val sameAddress = backends.values.filter {
            it.announcement.address == announcement.address && it.announcement.id != announcement.id
        }
        // The backend server that started last owns the address; an announcement of an earlier one was delayed.
        val successor = sameAddress.firstOrNull {
            it.announcement.startedAtMs > announcement.startedAtMs && it.announcement.state != BackendState.GONE
        }
        if (successor != null && announcement.state != BackendState.GONE) return this
        val replaced = if (announcement.state == BackendState.GONE) emptyList() else sameAddress
        val remaining = replaced.fold(backends) { map, superseded -> map.remove(superseded.announcement.id) }
        val known = KnownBackend(announcement, receivedAtMs, lastModelAfter(current, announcement))
        return BackendDirectory(remaining.put(announcement.id, known).bounded())
    }

    /** Applies [renewal], received at [receivedAtMs]. */
    fun renew(renewal: Renewal, receivedAtMs: Long): RenewalOutcome {
        val current = backends[renewal.id] ?: return RenewalOutcome.Unknown
        val known = current.announcement
        return when {
            known.startedAtMs > renewal.startedAtMs -> RenewalOutcome.Outdated
            known.startedAtMs < renewal.startedAtMs -> RenewalOutcome.Unknown
            known.state == BackendState.GONE || known.sequence >= renewal.sequence -> RenewalOutcome.Outdated
            current.contentChecksum != renewal.contentChecksum -> RenewalOutcome.Unknown
            else -> RenewalOutcome.Renewed(withSequence(current, renewal.sequence, receivedAtMs))
        }
    }

    /**
     * Returns the announcement that a life of the backend server [id] has ended: the one that began at [startedAtMs],
     * or by default the known one; null if a later life is known. A life that is not known yet may still be announced
     * late, so it gets a tombstone as well.
     */
    fun tombstone(id: String, startedAtMs: Long?): Announcement? {
        val known = backends[id]?.announcement
        val life = startedAtMs ?: known?.startedAtMs ?: 0
        return when {
            known == null || life > known.startedAtMs -> unknownTombstone(id, life)
            life < known.startedAtMs -> null
            else -> known.copy(state = BackendState.GONE, sequence = known.sequence + 1)
        }
    }

    private fun withSequence(current: KnownBackend, sequence: Long, receivedAtMs: Long): BackendDirectory {
        val renewed = current.copy(
            announcement = current.announcement.copy(sequence = sequence),
            receivedAtMs = receivedAtMs,
        )
        return BackendDirectory(backends.put(renewed.announcement.id, renewed), index)
    }

    private fun lastModelAfter(current: KnownBackend?, announcement: Announcement): String? {
        val membership = announcement.groupMembership?.takeIf { it.state != GroupState.JOINING }
        return membership?.model
            ?: current?.takeIf { it.announcement.startedAtMs == announcement.startedAtMs }?.lastModel
    }

    /** Without the backend server that was announced the longest time ago, if there are too many. */
    private fun PersistentMap<String, KnownBackend>.bounded(): PersistentMap<String, KnownBackend> =
        if (size <= MAX_BACKENDS) this else remove(minBy { (_, backend) -> backend.receivedAtMs }.key)

    /** Removes tombstones, and backend servers without announcements, whose retention time has passed at [nowMs]. */
    fun expire(nowMs: Long): BackendDirectory {
        val stale = backends.filter { (_, backend) ->
            val ageMs = nowMs - backend.receivedAtMs
            ageMs > if (backend.announcement.state == BackendState.GONE) TOMBSTONE_RETENTION_MS else EXPIRY_MS
        }
        return if (stale.isEmpty()) this else BackendDirectory(stale.keys.fold(backends) { map, id -> map.remove(id) })
    }

    /** Announcements of the backend servers of a plain [service] that accept new requests. */
    fun readyPlainBackends(service: String): List<Announcement> = index.readyBackends(service)

    /** Heads of the open and complete groups of [model] in [service]; a complete group has [groupSize] engines. */
    fun openGroupHeads(service: String, model: String, groupSize: Int): List<GroupHead> =
        index.openHeads(service, model, groupSize)

    override fun equals(other: Any?): Boolean = other is BackendDirectory && other.backends == backends

    override fun hashCode(): Int = backends.hashCode()

    companion object {
        /**
         * Maximum number of backend servers. Every one is part of the first message to a watcher, and each announcement
         * takes time in proportion to this number.
         */
        const val MAX_BACKENDS = 2_048

        /** A backend server that is partitioned from the control instances stays in use for this long. */
        private const val EXPIRY_MS = 300_000L

        /**
         * Longer than [EXPIRY_MS], so that a process that was partitioned when the backend server left, and reports
         * what it knows afterwards, does not bring it back.
         */
        private const val TOMBSTONE_RETENTION_MS = 360_000L
    }
}
