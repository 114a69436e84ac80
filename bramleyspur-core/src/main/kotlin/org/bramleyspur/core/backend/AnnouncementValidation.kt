/*
 * Checks of announcements. They may come from anyone who can reach a control instance; one that cannot be meant names
 * no backend server, and must not affect the others.
 */
package org.bramleyspur.core.backend

import com.github.michaelbull.result.fold
import org.bramleyspur.core.settings.Address

/** A field of an announcement; adapters name it as their format does. */
enum class AnnouncementField {
    ID,
    STARTED_AT,
    SEQUENCE,
    SERVICE,
    ADDRESS,
    DATA_CENTRE,
    SLOTS,
    FABRIC_DOMAIN,
    STAGED_MODELS,
    GROUP_NAME,
    GROUP_EPOCH,
    GROUP_RANK,
    GROUP_MODEL,
    COLD_REMAINING,
}

/** Why an announcement is refused; [reason] follows the field's name, and includes the remedy. */
data class AnnouncementError(val field: AnnouncementField, val reason: String)

/** Bounds of the fields of an announcement. */
object AnnouncementBounds {
    val SLOTS: LongRange = 1L..1_000_000L
    val RANK: LongRange = 0L..9_999L
    val EPOCH: LongRange = 0L..Long.MAX_VALUE

    /** Far longer than any engine takes to warm up. */
    val COLD_REMAINING_MS: LongRange = 0L..3_600_000L

    /** Largest number that every JSON implementation reads exactly. */
    val SEQUENCE: LongRange = 0L..(1L shl 53)
    const val MAX_NAME_CHARS = 128
    const val MAX_STAGED_MODELS = 64

    /** Together with the limit of the directory, this bounds the messages and the memory of every instance. */
    const val MAX_TEXT_BYTES = 2_048

    /** Far more than two clocks differ; a start in the future would own its address for as long as it is announced. */
    const val MAX_CLOCK_DIFFERENCE_MS = 5 * 60_000L
}

/** Checks the announcement at the Unix time [nowMs]; returns null when it names a usable backend server. */
fun Announcement.validate(nowMs: Long): AnnouncementError? =
    idError() ?: lifeError(nowMs) ?: if (isBareTombstone) null else contentError()

private fun Announcement.contentError(): AnnouncementError? = numberError() ?: textError() ?: addressError()

/** Whether the end of a life is all that is known of it. */
private val Announcement.isBareTombstone: Boolean
    get() = copy(sequence = 0) == unknownTombstone(id, startedAtMs)

/** The id becomes the value of a header of every request to the server. */
private fun Announcement.idError(): AnnouncementError? =
    if (id.length in 1..AnnouncementBounds.MAX_NAME_CHARS && id.all { it in '!'..'~' }) {
        null
    } else {
        val reason = "must have 1 to ${AnnouncementBounds.MAX_NAME_CHARS} visible ASCII characters"
        AnnouncementError(AnnouncementField.ID, reason)
    }

private fun Announcement.lifeError(nowMs: Long): AnnouncementError? {
    val startedAt = 0..nowMs + AnnouncementBounds.MAX_CLOCK_DIFFERENCE_MS
    // A deregistration continues the sequence of the last announcement.
    val sequences = if (state == BackendState.GONE) 0..Long.MAX_VALUE else AnnouncementBounds.SEQUENCE
    return rangeError(AnnouncementField.STARTED_AT, startedAtMs, startedAt)
        ?: rangeError(AnnouncementField.SEQUENCE, sequence, sequences)
}

private fun Announcement.numberError(): AnnouncementError? =
    rangeError(AnnouncementField.SLOTS, slots.toLong(), AnnouncementBounds.SLOTS)
        ?: rangeError(AnnouncementField.COLD_REMAINING, coldRemainingMs, AnnouncementBounds.COLD_REMAINING_MS)
        ?: groupMembership?.let {
            rangeError(AnnouncementField.GROUP_EPOCH, it.id.epoch, AnnouncementBounds.EPOCH)
                ?: rangeError(AnnouncementField.GROUP_RANK, it.rank.toLong(), AnnouncementBounds.RANK)
        }

private fun rangeError(field: AnnouncementField, value: Long, range: LongRange): AnnouncementError? =
    if (value in range) null else AnnouncementError(field, outsideRange(value, range))

/** Says that [value] must lie in [range]. */
fun outsideRange(value: Any, range: LongRange): String =
    "is $value; give a whole number from ${range.first} to ${range.last}"

private fun Announcement.textError(): AnnouncementError? {
    val names = listOf(
        AnnouncementField.SERVICE to service,
        AnnouncementField.DATA_CENTRE to dataCentre,
        AnnouncementField.FABRIC_DOMAIN to fabricDomain,
        AnnouncementField.GROUP_NAME to groupMembership?.id?.name.orEmpty(),
        AnnouncementField.GROUP_MODEL to groupMembership?.model.orEmpty(),
    ) + stagedModels.map { AnnouncementField.STAGED_MODELS to it }
    return when {
        service.isEmpty() -> AnnouncementError(AnnouncementField.SERVICE, "is empty; name the service")
        stagedModels.size > AnnouncementBounds.MAX_STAGED_MODELS -> AnnouncementError(
            AnnouncementField.STAGED_MODELS,
            "has ${stagedModels.size} entries; give at most ${AnnouncementBounds.MAX_STAGED_MODELS}",
        )
        names.sumOf { (_, name) -> name.encodeToByteArray().size } > AnnouncementBounds.MAX_TEXT_BYTES ->
            longest(names).let { (field, _) ->
                AnnouncementError(field, "is too long: all texts may have ${AnnouncementBounds.MAX_TEXT_BYTES} bytes")
            }
        else -> names.firstNotNullOfOrNull { (field, name) -> nameError(field, name) }
    }
}

private fun longest(names: List<Pair<AnnouncementField, String>>) = names.maxBy { (field, _) ->
    names.sumOf { (other, name) -> if (other == field) name.length else 0 }
}

private fun nameError(field: AnnouncementField, name: String): AnnouncementError? = when {
    name.length > AnnouncementBounds.MAX_NAME_CHARS ->
        AnnouncementError(field, "has ${name.length} characters; give at most ${AnnouncementBounds.MAX_NAME_CHARS}")
    name.any { it.isISOControl() } -> AnnouncementError(field, "has control characters; leave them out")
    else -> null
}

private fun Announcement.addressError(): AnnouncementError? =
    Address.parseServer(address).fold({ null }, { AnnouncementError(AnnouncementField.ADDRESS, it) })
