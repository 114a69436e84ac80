/*
 * Checks of announcements. They may come from anyone who can reach a control instance; one that cannot be meant names no
 * backend server, and must not affect the others.
 */
package org.bramleyspur.core.backend

import com.github.michaelbull.result.fold
import org.bramleyspur.core.settings.Address

/** A field of an announcement; adapters name it as their format does. */
enum class AnnouncementField { ADDRESS, }

/** Why an announcement is refused; [reason] follows the field's name and value, and includes the remedy. */
data class AnnouncementError(val field: AnnouncementField, val reason: String)

/** Checks the announcement; returns null when it names a usable backend server. */
fun Announcement.validate(): AnnouncementError? =
    Address.parseServer(address).fold({ null }, { AnnouncementError(AnnouncementField.ADDRESS, it) })
