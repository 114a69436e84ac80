package org.bramleyspur.core.backend

import kotlinx.collections.immutable.persistentListOf

/** The announcement of a ready backend server, which tests vary by copying it. */
internal val testAnnouncement = Announcement(
    id = "a",
    startedAtMs = 100,
    sequence = 5,
    service = "s",
    address = "10.0.0.1:80",
    dataCentre = "z",
    slots = 4,
    state = BackendState.READY,
    fabricDomain = "d",
    stagedModels = persistentListOf(),
    groupMembership = null,
)
