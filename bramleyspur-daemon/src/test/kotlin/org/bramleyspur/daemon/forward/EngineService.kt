/*
 * A service of model engines, each of which is the head of its own group.
 */
package org.bramleyspur.daemon.forward

import kotlinx.collections.immutable.persistentListOf
import org.bramleyspur.core.backend.Announcement
import org.bramleyspur.core.backend.GroupId
import org.bramleyspur.core.backend.GroupMembership
import org.bramleyspur.core.backend.GroupState
import org.bramleyspur.core.document.DocumentService
import org.bramleyspur.core.document.EngineCosts
import org.bramleyspur.core.document.ModelSpec

private val costs = EngineCosts(
    slots = 8,
    kvCacheTokens = 1_000_000,
    stepsPerPass = 3,
    stepMs = 6.0,
    perRequestMs = 0.3,
    perThousandContextMs = 0.01,
    prefillTokensPerMs = 40.0,
    prefillChunkTokens = 2_048,
    loadsPerSecond = 3.0,
    fullSpeedLoads = 6,
    crossDomainFactor = 2.5,
    meanResponseTokens = 80.0,
)

/** Serves the model `m`. */
internal val engineService =
    DocumentService("s", 100, costs, persistentListOf(ModelSpec("m", 1, 1.0, 1.0, 1_000, 100)))

/** The announcement of an engine at [address] that serves the model `m`. */
internal fun ForwardTest.engine(index: Int, address: String): Announcement =
    announcement(index, address).copy(groupMembership = GroupMembership(GroupId("g$index", 1), 0, GroupState.OPEN, "m"))
