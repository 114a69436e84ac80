/*
 * Announcements by which backend servers register themselves.
 */
package org.bramleyspur.core.backend

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import java.util.zip.CRC32

/** Whether a backend server accepts new requests. */
enum class BackendState { READY, LEAVING, GONE }

/** State of an engine in its group. A [BROKEN] group refuses requests until it is formed again. */
enum class GroupState { JOINING, READY, OPEN, CLOSING, BROKEN }

/** Name and epoch of a group; the epoch increases when a group is formed again under the same name. */
data class GroupId(val name: String, val epoch: Long)

/** Membership of an engine in a group; the engine with [rank] 0 is the head, which receives the requests. */
data class GroupMembership(val id: GroupId, val rank: Int, val state: GroupState, val model: String?)

/**
 * A backend server's announcement.
 *
 * @property id identity of the backend server, usually a new one at each start
 * @property startedAtMs start time of the backend server in Unix milliseconds; 0 when it is not announced
 * @property sequence number that increases with each announcement since the start
 * @property address `host:port` at which it accepts requests
 * @property fabricDomain fabric domain; empty for backend servers that are not engines
 * @property stagedModels models whose weights are stored on its host
 * @property groupMembership membership in a group; null when the engine is in none
 * @property coldRemainingMs time in milliseconds for which it stays cold after the announcement; 0 when it is not cold
 */
data class Announcement(
    val id: String,
    val startedAtMs: Long,
    val sequence: Long,
    val service: String,
    val address: String,
    val dataCentre: String,
    val slots: Int,
    val state: BackendState,
    val fabricDomain: String,
    val stagedModels: ImmutableList<String>,
    val groupMembership: GroupMembership?,
    val coldRemainingMs: Long = 0,
) {
    /**
     * Whether this announcement replaces [other] of the same backend server. Within one life the end is final:
     * announcements that were under way when it was recorded may have any sequence number.
     */
    fun replaces(other: Announcement): Boolean = when {
        startedAtMs != other.startedAtMs -> startedAtMs > other.startedAtMs
        other.state == BackendState.GONE -> false
        else -> state == BackendState.GONE || sequence > other.sequence
    }

    /** Whether this announcement says the same as [other], apart from its sequence number. */
    fun hasContentOf(other: Announcement): Boolean = copy(sequence = other.sequence) == other
}

/** The announcement that the life of [id] which began at [startedAtMs] has ended, when nothing else is known of it. */
internal fun unknownTombstone(id: String, startedAtMs: Long) = Announcement(
    id = id,
    startedAtMs = startedAtMs,
    sequence = 0,
    service = "",
    address = "",
    dataCentre = "",
    slots = 0,
    state = BackendState.GONE,
    fabricDomain = "",
    stagedModels = persistentListOf(),
    groupMembership = null,
)

/** Checksum of all fields of the announcement but its sequence number; the same on all instances. */
internal fun Announcement.contentChecksum(): Int {
    val group = groupMembership
    val fields = listOf(
        id,
        startedAtMs,
        service,
        address,
        dataCentre,
        slots,
        state.name,
        fabricDomain,
        stagedModels.joinToString(FIELD_SEPARATOR),
        group?.id?.name,
        group?.id?.epoch,
        group?.rank,
        group?.state?.name,
        group?.model,
    ) + listOfNotNull(coldRemainingMs.takeIf { it > 0 })
    val checksum = CRC32()
    checksum.update(fields.joinToString(FIELD_SEPARATOR).encodeToByteArray())
    return checksum.value.toInt()
}

/** Not part of a name, which has no control characters. */
private const val FIELD_SEPARATOR = "\u0000"
