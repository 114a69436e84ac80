package org.bramleyspur.control.group

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.bramleyspur.core.backend.Announcement
import org.bramleyspur.core.backend.GroupId
import org.bramleyspur.core.backend.KnownBackend
import org.bramleyspur.core.document.Document

/** One start of an engine: an engine that starts again may keep its id. */
data class EngineLife(val id: String, val bornMs: Long)

/** The start of the engine that announced itself. */
internal val Announcement.life: EngineLife get() = EngineLife(id, bornMs)

/** Where a group is on its way from its first join to its end. */
enum class GroupPhase {
    /** One engine joins alone, so that it joins others of the model sooner later; it never opens. */
    WARMING,

    /** Members were ordered to join; the group opens when all are ready. */
    FORMING,

    /** The head serves. */
    SERVING,

    /** The head finishes its requests and takes no new ones. */
    CLOSING,

    /** The head was ordered to leave; a member is free once the head, or the member itself, is known to have left. */
    RELEASING,
}

/**
 * A group that the leader knows.
 *
 * @property members engine lives, the head first
 * @property sinceMs when the phase began
 */
data class PlannedGroup(
    val id: GroupId,
    val service: String,
    val model: String,
    val members: ImmutableList<EngineLife>,
    val phase: GroupPhase,
    val sinceMs: Long,
)

/**
 * What the leader remembers between two plans. It is not replicated: a new leader takes over the groups from the
 * announcements of their members.
 *
 * @property epochs epochs given out in this term
 * @property lastModel model of the last group in which a life of an engine was ready; it joins again within 0.2 s
 * @property loadStartsMs times of loads from the weight store
 * @property sentMs when each order was last sent, for repeats
 * @property stageRefusedMs when each engine last refused, or left unanswered, an order to stage weights
 * @property orderedMs when each engine was last sent an order
 * @property absent lives at whose address another backend server answers
 * @property firstSeenMs when each engine was first known to this leader
 * @property verified what is known of the engines' orders, which joins depend on
 * @property openJoins joins without a result, which may still be carried out
 * @property left engines that have left a group by order while its head may still be in it
 * @property endedGroups groups whose head is known to have left; their members are free
 * @property headlessSinceMs when a group was first seen of which no head has announced itself
 * @property probes questions to engines whose announcement is overdue or whose group stalls
 */
data class PlannerState(
    val groups: PersistentMap<GroupId, PlannedGroup> = persistentMapOf(),
    val epochs: Int = 0,
    val lastModel: PersistentMap<EngineLife, String> = persistentMapOf(),
    val loadStartsMs: PersistentList<Long> = persistentListOf(),
    val sentMs: PersistentMap<SentOrder, Long> = persistentMapOf(),
    val stageRefusedMs: PersistentMap<EngineLife, Long> = persistentMapOf(),
    val orderedMs: PersistentMap<EngineLife, Long> = persistentMapOf(),
    val absent: PersistentMap<String, Long> = persistentMapOf(),
    val firstSeenMs: PersistentMap<String, Long> = persistentMapOf(),
    val probes: PersistentMap<EngineLife, ProbeRecord> = persistentMapOf(),
    val verified: PersistentMap<EngineLife, Verified> = persistentMapOf(),
    val openJoins: PersistentMap<EngineLife, OpenJoin> = persistentMapOf(),
    val left: PersistentMap<GroupId, PersistentSet<EngineLife>> = persistentMapOf(),
    val endedGroups: PersistentSet<GroupId> = persistentSetOf(),
    val headlessSinceMs: PersistentMap<GroupId, Long> = persistentMapOf(),
)

/**
 * What the leader knows of the orders that an engine has begun.
 *
 * @property orders their number
 * @property inFlight orders of this leader whose results have not come
 * @property mismatch whether the engine's report named another group than its announcement; it is asked again
 */
data class Verified(val orders: Long, val inFlight: Int, val mismatch: Boolean)

/** A join that names [expectedOrders]; it is void once the engine has begun more orders. */
data class OpenJoin(val group: GroupId, val expectedOrders: Long)

/**
 * Questions to an engine that is not sure to be up.
 *
 * @property failures questions in a row that got no answer
 * @property answeredMs when it last answered one; null for never
 * @property waiting whether the result of the last question is awaited
 */
data class ProbeRecord(
    val sentMs: Long,
    val failures: Int = 0,
    val answeredMs: Long? = null,
    val waiting: Boolean = false,
)

/** An order to an engine. Each is counted by itself, so that two that are sent in turn are not repeated at once. */
data class SentOrder(val life: EngineLife, val command: EngineCommand)

/**
 * What entries saw of an engine.
 *
 * @property answeredMs when it last sent a piece of an answer; null for never
 * @property silentMs when an entry last reported that it had stopped answering; null for never
 */
data class EngineEvidence(val answeredMs: Long? = null, val silentMs: Long? = null)

/**
 * Everything that a plan depends on.
 *
 * @property term term of the control leader
 * @property engines all backend servers that have announced themselves
 * @property trafficStarted whether a request was served; before, loads are fast and are not limited
 */
data class PlannerInput(
    val nowMs: Long,
    val term: Long,
    val document: Document,
    val engines: Map<String, KnownBackend>,
    val evidence: Map<String, EngineEvidence>,
    val trafficStarted: Boolean,
)

/** A question for the state of the engine [life] at [address]. */
data class EngineProbe(val life: EngineLife, val address: String)

/** The next state and what to send. */
data class PlanStep(val state: PlannerState, val orders: List<EngineOrder>, val probes: List<EngineProbe>)
