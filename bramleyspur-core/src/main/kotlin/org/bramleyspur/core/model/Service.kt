package org.bramleyspur.core.model

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/** Kind of backend server that provides a service. */
enum class ServiceKind {
    /** Model engines that form replicas of several instances. */
    MODEL,

    /** Independent servers to which requests are routed by path. */
    PLAIN,
}

/**
 * A service that operators declare.
 *
 * @property version version that serves, and to which a roll-out can be rolled back
 * @property nextVersion version that a roll-out is moving to, null when none is in progress
 * @property instancesPerReplica instances that one replica spans, at least 1
 * @property placements wanted number of replicas by data centre
 * @property accounts client accounts that may call the service
 * @property nonIdempotent whether calls with an unsafe HTTP method must run at most once
 * @property idempotencyRetentionMs time in milliseconds for which an idempotency key is retained
 * @property timeoutMs time-out in milliseconds of a request that specifies none
 */
data class Service(
    val name: String,
    val kind: ServiceKind,
    val model: String = "",
    val version: String = "",
    val nextVersion: String? = null,
    val adapters: ImmutableList<String> = persistentListOf(),
    val instancesPerReplica: Int = 1,
    val placements: ImmutableMap<String, Int> = persistentMapOf(),
    val accounts: ImmutableSet<String> = persistentSetOf(),
    val nonIdempotent: Boolean = false,
    val idempotencyRetentionMs: Long = DEFAULT_IDEMPOTENCY_RETENTION_MS,
    val timeoutMs: Long = DEFAULT_TIMEOUT_MS,
) {
    companion object {
        /** One day, the period within which callers are expected to retry. */
        const val DEFAULT_IDEMPOTENCY_RETENTION_MS = 24L * 60 * 60 * 1000

        const val DEFAULT_TIMEOUT_MS = 120_000L
    }
}
