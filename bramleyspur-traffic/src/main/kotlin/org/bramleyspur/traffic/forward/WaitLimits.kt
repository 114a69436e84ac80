/*
 * Longest time for which a stream may queue at the backend servers before its first event. Routes that share backend
 * servers share the limit: with a limit for each route, the queue of saturated servers grows to the longest one, and
 * the other routes are refused for as long as the saturation lasts.
 */
package org.bramleyspur.traffic.forward

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap

/** The backend servers of a model, or all of a service if [model] is null. */
data class ServerPool(val service: String, val model: String?)

/**
 * What a route expects of the backend servers.
 *
 * @property targetMs expected time in milliseconds to the first event
 * @property priority 0 is the most urgent
 */
data class RouteTargets(val targetMs: Long, val priority: Int)

/** The routes whose requests the same backend servers serve, as far as they have had requests lately. */
class WaitLimits private constructor(private val routes: PersistentMap<ServerPool, PersistentMap<String, Seen>>) {
    constructor() : this(persistentMapOf())

    private data class Seen(val targets: RouteTargets, val atMs: Long)

    /** With a request of the route [name] for [pool], which arrived at [nowMs]. */
    fun with(pool: ServerPool, name: String, targets: RouteTargets, nowMs: Long): WaitLimits {
        val current = routes[pool].orEmpty().filterValues { nowMs - it.atMs <= ROUTE_VALIDITY_MS }
        return WaitLimits(routes.put(pool, (current + (name to Seen(targets, nowMs))).toPersistentMap()))
    }

    /**
     * Longest acceptable queueing time in milliseconds at [pool] for a route with [own] targets. Routes that are less
     * urgent do not shorten it.
     */
    fun limitMs(pool: ServerPool, own: RouteTargets): Double {
        val targetsMs = routes[pool].orEmpty().values.map { it.targets }
            .filter { it.priority <= own.priority }
            .map { it.targetMs }
        return minOf(own.targetMs, targetsMs.minOrNull() ?: own.targetMs) * MAX_WAIT_TARGET_RATIO
    }

    private companion object {
        /** A route without requests for this long does not limit the others. */
        const val ROUTE_VALIDITY_MS = 10_000L

        /** A first event later than this multiple of its target is of little use, and delays other requests. */
        const val MAX_WAIT_TARGET_RATIO = 1.5
    }
}
