package org.bramleyspur.daemon.orders

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.bramleyspur.core.backend.Announcement
import org.bramleyspur.core.backend.BackendState
import org.bramleyspur.core.backend.GroupMembership
import org.bramleyspur.core.document.ClientLimits
import org.bramleyspur.core.document.Document
import org.bramleyspur.core.document.DocumentService
import org.bramleyspur.core.document.EngineCosts
import org.bramleyspur.core.document.ModelSpec

/** A document whose service `s` has [models]. */
internal fun engineDocument(vararg models: ModelSpec) = Document(
    version = 1,
    routes = persistentListOf(),
    services = persistentMapOf(
        "s" to DocumentService(
            "s",
            392,
            EngineCosts(34, 1_000_000, 3, 6.0, 0.34, 0.007, 46.0, 2_048, 3.0, 6, 2.5, 85.0),
            persistentListOf(*models),
        ),
    ),
    accounts = null,
    limits = ClientLimits(),
)

internal fun modelSpec(name: String, groupSize: Int, share: Double = 1.0) =
    ModelSpec(name, groupSize, share, 1.0, 16_000, 1_600)

/** What the ready engine `e[number]` of the service announces; its host holds the weights of the model `m`. */
internal fun engineAnnouncement(number: Int, membership: GroupMembership? = null) = Announcement(
    id = "e$number",
    startedAtMs = 1,
    sequence = 1,
    service = "s",
    address = "10.0.0.1:${number + 1}",
    dataCentre = "a",
    slots = 34,
    state = BackendState.READY,
    fabricDomain = "d",
    stagedModels = persistentListOf("m"),
    groupMembership = membership,
)
