package org.bramleyspur.control.group

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.bramleyspur.core.backend.Announcement
import org.bramleyspur.core.backend.GroupId
import org.bramleyspur.core.backend.KnownBackend
import org.bramleyspur.core.document.Document
import org.bramleyspur.core.document.ModelSpec

/** One incarnation of an engine, which may keep its id when it restarts. */
data class EngineIncarnation(val id: String, val startedAtMs: Long)

/** The incarnation of the engine that sent this announcement. */
internal val Announcement.incarnation: EngineIncarnation get() = EngineIncarnation(id, startedAtMs)

/** Stage in the lifecycle of a group. */
enum class GroupPhase {
    /** A single engine joins alone, which makes a later join to a group of the model faster; it never opens. */
    WARMING,

    /** Members have been ordered to join; the group opens when all are ready. */
    FORMING,

    /** The head serves. */
    SERVING,

    /** The head finishes its running requests and accepts no new ones. */
    CLOSING,

    /** The head was ordered to leave; a member is free once the head, or the member itself, is known to have left. */
    RELEASING,
}

/**
 * A group that the leader knows.
 *
 * @property members engine incarnations, the head first
 * @property sinceMs when the phase began
 * @property reason why the group entered the phase
 */
data class PlannedGroup(
    val id: GroupId,
    val service: String,
    val model: String,
    val members: ImmutableList<EngineIncarnation>,
    val phase: GroupPhase,
    val sinceMs: Long,
    val reason: PhaseReason,
)

/**
 * State of the leader between two planning runs. It is not replicated: a new leader takes over the groups from the
 * announcements of their members.
 *
 * @property issuedEpochs number of group epochs issued in this term
 * @property lastModel model of the last group in which an engine was ready; it rejoins a group of that model in 0.2 s
 * @property reassigned models for which engines were ordered to replace the weights of another one
 * @property loadStartsMs start times of recent loads from the weight store
 * @property sentMs when each order was last sent, to time its repetition
 * @property stageRefusedMs when each engine last refused, or did not respond to, an order to stage weights
 * @property shortageSinceMs since when each model has lacked engines for its wanted groups in a domain
 * @property lastOrderMs when each engine was last sent an order
 * @property absent start times of engines, by id, at whose address another backend server responds
 * @property firstSeenMs when each engine was first known to this leader
 * @property knownOrders the engines' confirmed order counts, which joins refer to
 * @property pendingJoins joins without a result, which may still be executed
 * @property leftMembers engines that have left a group on order while its head may still be in it
 * @property endedGroups groups whose head is known to have left, with the proof; their members are free
 * @property partialSinceMs when each group some of whose members have not announced themselves was first seen
 * @property probes probes of engines whose announcement is overdue or whose group is stalled
 * @property paces how slow engines are, by their reports
 * @property targets the last computed targets of each service; they change only with the engines or the models
 */
data class PlannerState(
    val groups: PersistentMap<GroupId, PlannedGroup> = persistentMapOf(),
    val issuedEpochs: Int = 0,
    val lastModel: PersistentMap<EngineIncarnation, String> = persistentMapOf(),
    val reassigned: PersistentMap<EngineIncarnation, String> = persistentMapOf(),
    val loadStartsMs: PersistentList<Long> = persistentListOf(),
    val sentMs: PersistentMap<SentOrder, Long> = persistentMapOf(),
    val stageRefusedMs: PersistentMap<EngineIncarnation, Long> = persistentMapOf(),
    val shortageSinceMs: PersistentMap<ModelInDomain, Long> = persistentMapOf(),
    val lastOrderMs: PersistentMap<EngineIncarnation, Long> = persistentMapOf(),
    val absent: PersistentMap<String, Long> = persistentMapOf(),
    val firstSeenMs: PersistentMap<String, Long> = persistentMapOf(),
    val probes: PersistentMap<EngineIncarnation, ProbeRecord> = persistentMapOf(),
    val knownOrders: PersistentMap<EngineIncarnation, KnownOrders> = persistentMapOf(),
    val pendingJoins: PersistentMap<EngineIncarnation, PendingJoin> = persistentMapOf(),
    val leftMembers: PersistentMap<GroupId, PersistentSet<EngineIncarnation>> = persistentMapOf(),
    val endedGroups: PersistentMap<GroupId, FreeReason> = persistentMapOf(),
    val partialSinceMs: PersistentMap<GroupId, Long> = persistentMapOf(),
    val paces: PersistentMap<EngineIncarnation, EnginePace> = persistentMapOf(),
    val targets: PersistentMap<String, ServiceTargets> = persistentMapOf(),
)

/** The [wanted] groups for the usable [engines] and the [models] of a service. */
data class ServiceTargets(
    val engines: Map<String, DomainEngines>,
    val models: List<ModelSpec>,
    val wanted: DomainTargets,
)

/**
 * What the leader knows of the orders that an engine has started.
 *
 * @property startedOrders number of orders that the engine has started
 * @property inFlight number of orders of this leader that have no result yet
 * @property groupMismatch whether the engine's report and announcement named different groups; it is probed again
 */
data class KnownOrders(val startedOrders: Long, val inFlight: Int, val groupMismatch: Boolean)

/** A model of a service in a fabric domain. */
data class ModelInDomain(val service: String, val model: String, val domain: String)

/** A join that the engine refuses once it has started more than [expectedOrders] orders. */
data class PendingJoin(val group: GroupId, val expectedOrders: Long)

/**
 * Identifies an order to an engine. Each order has its own repeat interval, so that two orders that alternate are not
 * resent at every planning run.
 */
data class SentOrder(val incarnation: EngineIncarnation, val command: EngineCommand)

/**
 * What entries have reported about an engine.
 *
 * @property lastResponseMs when it last sent part of a response; null for never
 * @property lastUnresponsiveMs when an entry last reported that it had stopped responding; null for never
 */
data class EngineEvidence(val lastResponseMs: Long? = null, val lastUnresponsiveMs: Long? = null)

/**
 * Input of a planning run.
 *
 * @property term term of the control leader
 * @property engines all backend servers that have announced themselves
 * @property trafficStarted whether a request has been served; until then loads are fast and not rate-limited
 * @property lagMs how late the leader has recently been in reading messages
 * @property evacuated data centres whose engines get no requests
 * @property demand what the measured demand asks of the targets, by service; none for the configured shares
 * @property replacesSlowMembers whether spares replace members that slow their group down
 */
data class PlannerInput(
    val nowMs: Long,
    val term: Long,
    val document: Document,
    val engines: Map<String, KnownBackend>,
    val evidence: Map<String, EngineEvidence>,
    val trafficStarted: Boolean,
    val lagMs: Long = 0,
    val evacuated: Set<String> = emptySet(),
    val demand: Map<String, DemandTargets> = emptyMap(),
    val replacesSlowMembers: Boolean = false,
)

/** A probe of the state of the engine [incarnation] at [address]. */
data class EngineProbe(val incarnation: EngineIncarnation, val address: String)

/**
 * Result of a planning run: the next state, and the orders and probes to send.
 *
 * @property gaps the wanted groups that are missing once traffic has started
 */
data class PlanStep(
    val state: PlannerState,
    val orders: List<EngineOrder>,
    val probes: List<EngineProbe>,
    val gaps: List<GroupGap>,
)
