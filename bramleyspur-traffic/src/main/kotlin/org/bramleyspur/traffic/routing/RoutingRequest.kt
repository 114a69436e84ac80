package org.bramleyspur.traffic.routing

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.bramleyspur.core.model.Incarnation
import org.bramleyspur.core.model.Route

/**
 * Request for which a route is chosen.
 *
 * @property prompt digests of the prompt's prefixes by increasing length; empty for a call
 * @property version version that must serve, null for any
 * @property adapter adapter that must be loaded, null for none
 * @property excluded agent incarnations on which an attempt of this request has failed
 */
class RoutingRequest(
    val service: String,
    val account: String,
    val prompt: LongArray = LongArray(0),
    val version: String? = null,
    val adapter: String? = null,
    val excluded: PersistentSet<Incarnation> = persistentSetOf(),
)

/** Cost of a link from this entry to a data centre; [penaltyMs] is added when routes are compared. */
data class LinkCost(val roundTripMs: Double, val penaltyMs: Double) {
    companion object {
        /** The link inside one data centre. */
        val LOCAL = LinkCost(0.0, 0.0)
    }
}

/**
 * Settings of the routing; times in milliseconds.
 *
 * @property localChoices routes sampled in the entry's own data centre
 * @property remoteChoices routes sampled in other data centres
 * @property initialServiceMs service time assumed until one has been measured
 * @property initialPrefillMs prefill time of a block assumed until one has been measured
 */
data class RoutingSettings(
    val dataCentre: String,
    val localChoices: Int = 3,
    val remoteChoices: Int = 2,
    val initialServiceMs: Double = 1000.0,
    val initialPrefillMs: Double = 5.0,
)

/**
 * An attempt that was sent on [route].
 *
 * @property expectedMs predicted time to the first token, without the link
 * @property uncachedBlocks blocks of the prompt that the engine was not expected to hold in its cache
 */
class RoutedAttempt internal constructor(
    val route: Route,
    val account: String,
    val sentAtMs: Long,
    internal val number: Long,
    internal val expectedMs: Double,
    internal val expectedWaitMs: Double,
    internal val uncachedBlocks: Int,
)

/** Load that an agent reported; [received] counts the attempts of this entry that the report includes. */
data class ReportedLoad(
    val running: Int,
    val queued: Int,
    val slots: Int,
    val predictedWaitMs: Long,
    val received: Long,
)
