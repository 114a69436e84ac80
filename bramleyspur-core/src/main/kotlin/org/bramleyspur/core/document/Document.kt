/*
 * A configuration document: the complete configuration of a deployment whose backend servers announce themselves. It
 * is replaced atomically by a document with a higher version.
 */
package org.bramleyspur.core.document

import com.github.michaelbull.result.Result
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.ImmutableSet

/** Kind of a route; it determines whether a request with an unknown outcome may be retried. */
enum class RouteKind {
    /** A unary request that may run more than once. */
    IDEMPOTENT,

    /** A unary request that must run at most once. */
    NON_IDEMPOTENT,

    /** A response stream of events with increasing ids. */
    STREAMING,
}

/** A backend service of a route; it gets requests in proportion to its [weight]. */
data class RouteTarget(val service: String, val weight: Int)

/**
 * A route for requests with a given host and path prefix.
 *
 * @property pathPrefix begins and ends with a slash
 * @property timeoutMs maximum time in milliseconds that a caller waits for the response
 * @property targetLatencyMs expected time in milliseconds to the response, or to the first event of a stream
 * @property priority priority of the requests; 0 is the most urgent
 * @property maxAttempts maximum number of backend servers to which one request may be sent
 * @property isPublic whether requests need no API key
 * @property resumable whether a stream may continue on another backend server after an event id
 * @property targetEventIntervalMs expected maximum time in milliseconds between events; null when none is declared
 * @property allowedRegions regions whose backend servers may receive the requests; null for any
 */
data class DocumentRoute(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val kind: RouteKind,
    val timeoutMs: Long,
    val targetLatencyMs: Long,
    val priority: Int,
    val targets: ImmutableList<RouteTarget>,
    val maxAttempts: Int,
    val isPublic: Boolean,
    val resumable: Boolean,
    val targetEventIntervalMs: Long?,
    val allowedRegions: ImmutableSet<String>? = null,
) {
    /** Whether a request of this route may run more than once. */
    val idempotent: Boolean get() = kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAMING && resumable)
}

/**
 * A model whose replicas are groups of engines.
 *
 * @property groupSize number of engines in a group
 * @property workShare expected share of this model in the total work of the service, 0 to 1
 * @property timeFactor factor by which all times of the engine are multiplied
 * @property loadMs time in milliseconds to load the weights from the weight store
 * @property stagedLoadMs time in milliseconds to load weights that are staged on the host
 */
data class ModelSpec(
    val name: String,
    val groupSize: Int,
    val workShare: Double,
    val timeFactor: Double,
    val loadMs: Long,
    val stagedLoadMs: Long,
)

/**
 * Published cost model of the engines of a service.
 *
 * @property slots maximum number of requests in a batch
 * @property kvCacheTokens number of tokens that fit into the key-value cache of a group
 * @property stepsPerPass decode steps in a pass; each one generates one token for every request
 * @property stepMs base time of a step in milliseconds, without requests
 * @property perRequestMs additional time of a step in milliseconds for each request that generates tokens
 * @property perThousandContextMs additional time of a step in milliseconds for each 1,000 tokens of context
 * @property prefillTokensPerMs prompt tokens that are prefilled per millisecond
 * @property prefillChunkTokens maximum number of prompt tokens that are prefilled in a step
 * @property loadsPerSecond maximum number of loads from the weight store that may start per second
 * @property fullSpeedLoads number of concurrent loads that run at full speed
 * @property crossDomainFactor factor by which the times of a group that spans fabric domains are multiplied
 * @property meanResponseTokens mean number of tokens in a response
 */
data class EngineCosts(
    val slots: Int,
    val kvCacheTokens: Long,
    val stepsPerPass: Int,
    val stepMs: Double,
    val perRequestMs: Double,
    val perThousandContextMs: Double,
    val prefillTokensPerMs: Double,
    val prefillChunkTokens: Int,
    val loadsPerSecond: Double,
    val fullSpeedLoads: Int,
    val crossDomainFactor: Double,
    val meanResponseTokens: Double,
)

/**
 * A service of backend servers.
 *
 * @property maxConnections maximum number of connections that a backend server accepts from all callers together
 * @property costs cost model of the engines; null for services that are not model engines
 * @property models models of the engines, in the order of the document
 * @property coldStartMs time in milliseconds for which a backend server is cold after its start
 * @property coldRequestsPerSecond requests per second that a cold backend server tolerates from all entries together; 0
 * for no bound
 */
data class DocumentService(
    val name: String,
    val maxConnections: Int,
    val costs: EngineCosts?,
    val models: ImmutableList<ModelSpec>,
    val coldStartMs: Long = 0,
    val coldRequestsPerSecond: Double = 0.0,
)

/**
 * A client account and its keys.
 *
 * @property priority 0 is the most urgent; null takes the route's
 * @property allowedRegions regions whose backend servers may receive its requests; null for any
 */
data class DocumentAccount(
    val name: String,
    val keys: ImmutableList<String>,
    val priority: Int?,
    val allowedRegions: ImmutableSet<String>? = null,
)

/** Limits on the size of client requests and the time to send them. */
data class ClientLimits(
    val maxHeaderBytes: Int = DEFAULT_HEADER_BYTES,
    val maxBodyBytes: Int = DEFAULT_BODY_BYTES,
    val headerTimeoutMs: Long = DEFAULT_HEADER_TIMEOUT_MS,
    val idleTimeoutMs: Long = DEFAULT_IDLE_TIMEOUT_MS,
) {
    private companion object {
        const val DEFAULT_HEADER_BYTES = 16 * 1024
        const val DEFAULT_BODY_BYTES = 4 * 1024 * 1024
        const val DEFAULT_HEADER_TIMEOUT_MS = 3_000L
        const val DEFAULT_IDLE_TIMEOUT_MS = 15_000L
    }
}

/**
 * A complete configuration.
 *
 * @property accounts client accounts; null when requests need no API key
 */
data class Document(
    val version: Long,
    val routes: ImmutableList<DocumentRoute>,
    val services: ImmutableMap<String, DocumentService>,
    val accounts: ImmutableList<DocumentAccount>?,
    val limits: ClientLimits,
) {
    companion object {
        /** Maximum size of an encoded document. The limits of each transport and of the control log follow from it. */
        const val MAX_BYTES = 3 * 1024 * 1024
    }
}

/** Why a document is rejected; [message] includes the remedy. */
data class DocumentError(val message: String)

/** Decodes a document from the format that an adapter uses. */
typealias DocumentDecoder = (bytes: ByteArray) -> Result<Document, DocumentError>
