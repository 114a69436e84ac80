/*
 * A configuration document: the whole configuration of a deployment whose backend servers announce themselves. It is
 * replaced as one piece by a document with a higher version.
 */
package org.bramleyspur.core.document

import com.github.michaelbull.result.Result
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap

/** What may be done with a request whose outcome is unknown. */
enum class RouteKind {
    /** A plain call that may run more than once. */
    IDEMPOTENT,

    /** A plain call that runs at most once. */
    NON_IDEMPOTENT,

    /** A stream of events with increasing ids. */
    STREAMING,
}

/** A backend service of a route and its share of the requests. */
data class RouteTarget(val service: String, val weight: Int)

/**
 * A route of requests.
 *
 * @property pathPrefix begins and ends with a slash
 * @property timeoutMs longest time in milliseconds that a caller is kept waiting
 * @property targetLatencyMs time in milliseconds to the answer, or to the first event of a stream, that callers expect
 * @property priority rank, 0 is the most urgent
 * @property maxAttempts backend servers to which one request may be sent
 * @property isPublic whether requests need no key
 * @property resumable whether a stream may continue on another backend server after an event id
 * @property targetGapMs longest pause between events in milliseconds that callers expect; null when none is declared
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
    val targetGapMs: Long?,
) {
    /** Whether a request of this route may run more than once. */
    val repeatable: Boolean get() = kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAMING && resumable)
}

/**
 * A model whose replicas are groups of engines.
 *
 * @property size engines of a group
 * @property workShare expected share of the model in the work of the service, 0 to 1
 * @property timeFactor factor on all times of the engine
 * @property loadMs time in milliseconds to load the weights from the weight store
 * @property warmMs time in milliseconds to load the weights that are staged on the host
 */
data class ModelShape(
    val name: String,
    val size: Int,
    val workShare: Double,
    val timeFactor: Double,
    val loadMs: Long,
    val warmMs: Long,
)

/**
 * Published step costs of the engines of a service.
 *
 * @property slots requests in a batch
 * @property memoryTokens tokens that the memory of a group holds
 * @property stepsPerPass steps of a pass, each of which writes a token of every request
 * @property stepMs time of a step without requests, in milliseconds
 * @property perRequestMs additional time of a step for each request that writes, in milliseconds
 * @property perThousandContextMs additional time of a step for each 1,000 tokens of context, in milliseconds
 * @property readTokensPerMs prompt tokens that are read in a millisecond
 * @property chunkTokens most prompt tokens that are read in a step
 * @property loadsPerSecond loads from the weight store that may start in a second
 * @property loadsAtOnce loads that run at full speed together
 * @property crossDomainFactor factor on the times of a group that spans fabric domains
 * @property usualAnswerTokens mean number of tokens of an answer
 */
data class EngineCosts(
    val slots: Int,
    val memoryTokens: Long,
    val stepsPerPass: Int,
    val stepMs: Double,
    val perRequestMs: Double,
    val perThousandContextMs: Double,
    val readTokensPerMs: Double,
    val chunkTokens: Int,
    val loadsPerSecond: Double,
    val loadsAtOnce: Int,
    val crossDomainFactor: Double,
    val usualAnswerTokens: Double,
)

/**
 * A service of backend servers.
 *
 * @property maxConnections connections that a backend server accepts from all callers together
 * @property costs null for services that are no model engines
 * @property models models of the engines, in the order of the document
 */
data class DocumentService(
    val name: String,
    val maxConnections: Int,
    val costs: EngineCosts?,
    val models: ImmutableList<ModelShape>,
)

/** A client account, its keys and its priority (0 is the most urgent; null takes the route's). */
data class DocumentAccount(val name: String, val keys: ImmutableList<String>, val priority: Int?)

/** What a client may send and how long it may take. */
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
 * A whole configuration.
 *
 * @property accounts null when requests need no key
 */
data class Document(
    val version: Long,
    val routes: ImmutableList<DocumentRoute>,
    val services: ImmutableMap<String, DocumentService>,
    val accounts: ImmutableList<DocumentAccount>?,
    val limits: ClientLimits,
)

/** Why a document is refused; [message] names the remedy. */
data class DocumentError(val message: String)

/** Reads a document from the bytes of an adapter's format. */
typealias DocumentDecoder = (bytes: ByteArray) -> Result<Document, DocumentError>
