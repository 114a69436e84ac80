/*
 * Carries out the repair policy while this member leads: proposes assignments and their ends, and accounts for group
 * downtime and stranded accelerators.
 */
package org.bramleyspur.daemon.session

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.collections.immutable.toImmutableList
import org.bramleyspur.control.placement.Measures
import org.bramleyspur.control.placement.PlacementAction
import org.bramleyspur.control.placement.PlacementSnapshot
import org.bramleyspur.control.placement.Repair
import org.bramleyspur.control.placement.RepairPolicy
import org.bramleyspur.control.placement.ReplicaState
import org.bramleyspur.control.placement.decidePlacement
import org.bramleyspur.control.placement.measure
import org.bramleyspur.control.session.placementSnapshot
import org.bramleyspur.control.state.Assign
import org.bramleyspur.control.state.AssignmentDefinition
import org.bramleyspur.control.state.ControlCommand
import org.bramleyspur.control.state.EndAssignment
import org.bramleyspur.control.state.ExpireClaims
import org.bramleyspur.control.state.FinishRollOut
import org.bramleyspur.core.model.Member
import org.bramleyspur.core.model.ReplicaId
import org.bramleyspur.core.model.Service
import org.bramleyspur.core.time.TimerService
import org.bramleyspur.daemon.member.ControlNode
import java.util.UUID

private val logger = KotlinLogging.logger {}

/** Forms and ends replicas by [policy]. */
class PlacementDriver(
    private val node: ControlNode,
    private val sessions: SessionService,
    private val timers: TimerService,
    private val policy: RepairPolicy,
    private val metrics: PlacementMetrics,
    private val wallClockMs: () -> Long,
) {
    private var outstanding = 0
    private var repairs: List<Repair> = emptyList()
    private var loadingSinceMs: Map<ReplicaId, Long> = emptyMap()
    private var loadMs = FIRST_LOAD_MS
    private var measuredAtMs: Long? = null
    private var lastReasons: List<String> = emptyList()

    /** Why wanted replicas are not placed or not replaced, by service. */
    var reasons: List<PlacementReason> = emptyList()
        private set

    /** Starts the timers of the decisions. */
    fun start() {
        timers.every(DECIDE_MS) { run() }
        timers.every(EXPIRE_MS) { if (node.leadingTerm() != null) propose(ExpireClaims(wallClockMs())) }
    }

    private fun run() {
        val nowMs = timers.nowMs()
        if (node.leadingTerm() == null || !sessions.state.canDeclareLost(nowMs)) {
            measuredAtMs = null
            return
        }
        val snapshot = sessions.state.placementSnapshot(repairs, loadMs, nowMs)
        account(snapshot, nowMs)
        noteLoads(snapshot, nowMs)
        if (outstanding > 0) return
        val actions = decidePlacement(snapshot, policy, nowMs)
        reasons = actions.mapNotNull { it.toReason() }
        logNewReasons()
        actions.forEach { carryOut(it, snapshot, nowMs) }
        finishRollOuts(snapshot)
    }

    private fun account(snapshot: PlacementSnapshot, nowMs: Long) {
        val since = measuredAtMs
        measuredAtMs = nowMs
        val measures = measure(snapshot)
        metrics.set(measures, snapshot)
        if (since != null) metrics.add(measures.accumulatedOver(nowMs - since))
    }

    /** Learns the time that a load takes, which is what the policy weighs a wait against. */
    private fun noteLoads(snapshot: PlacementSnapshot, nowMs: Long) {
        val loading = snapshot.replicas.filter { it.state == ReplicaState.Loading }.map { it.id }.toSet()
        val serving = snapshot.replicas.filter { it.state == ReplicaState.Serving }.map { it.id }.toSet()
        loadingSinceMs.filterKeys { it in serving }.values.forEach { sinceMs ->
            loadMs += ((nowMs - sinceMs) - loadMs) / LOAD_SMOOTHING
        }
        loadingSinceMs = loading.associateWith { loadingSinceMs[it] ?: nowMs }
    }

    private fun carryOut(action: PlacementAction, snapshot: PlacementSnapshot, nowMs: Long) {
        when (action) {
            is PlacementAction.CreateReplica -> create(action, snapshot, nowMs)
            is PlacementAction.RetireReplica -> retire(action)
            is PlacementAction.Wait, is PlacementAction.NotPossible -> Unit
        }
    }

    private fun create(action: PlacementAction.CreateReplica, snapshot: PlacementSnapshot, nowMs: Long) {
        val service = snapshot.services[action.service] ?: return
        val definition = AssignmentDefinition(
            replica = ReplicaId("r-" + UUID.randomUUID().toString().take(REPLICA_ID_LENGTH)),
            service = service.name,
            model = service.model,
            version = action.version,
            adapters = service.adapters,
            members = action.members.map { it.withAddresses() }.toImmutableList(),
        )
        val members = definition.members.joinToString { it.instance.value }
        logger.info { "forming replica ${definition.replica} of ${service.name} from $members" }
        noteRepair(action, snapshot, nowMs)
        propose(Assign(listOf(definition).toImmutableList()))
    }

    private fun noteRepair(action: PlacementAction.CreateReplica, snapshot: PlacementSnapshot, nowMs: Long) {
        val domain = snapshot.instances[action.members.first().instance]?.fabricDomain ?: return
        repairs = (repairs + Repair(action.service, domain, nowMs)).takeLast(KEPT_REPAIRS)
    }

    private fun Member.withAddresses(): Member {
        val hello = sessions.state.sessions[instance]?.process ?: return this
        return Member(instance, hello.address, hello.backendAddress)
    }

    private fun retire(action: PlacementAction.RetireReplica) {
        val assignment = node.state.assignments[action.replica] ?: return
        logger.info { "ending replica ${action.replica}: ${action.reason}" }
        propose(EndAssignment(action.replica, assignment.fencingNumber))
    }

    /** A roll-out is finished when every wanted replica serves the next version and no other replica is left. */
    private fun finishRollOuts(snapshot: PlacementSnapshot) {
        snapshot.services.values.forEach { service ->
            val next = service.nextVersion
            if (next != null && isRolledOut(snapshot, service, next)) propose(FinishRollOut(service.name, next))
        }
    }

    private fun isRolledOut(snapshot: PlacementSnapshot, service: Service, version: String): Boolean {
        val replicas = snapshot.replicas.filter { it.assignment.service == service.name }
        val serving = replicas.count { it.assignment.version == version && it.state == ReplicaState.Serving }
        return replicas.all { it.assignment.version == version } && serving >= service.placements.values.sum()
    }

    private fun propose(command: ControlCommand) {
        outstanding += 1
        node.propose(command) { result ->
            outstanding -= 1
            result.component2()?.let { logger.info { "decision not committed: ${it.message}" } }
        }
    }

    private fun logNewReasons() {
        val texts = reasons.map { "${it.service}: ${it.reason}" }
        (texts - lastReasons.toSet()).forEach { logger.info { it } }
        lastReasons = texts
    }

    private fun PlacementAction.toReason(): PlacementReason? = when (this) {
        is PlacementAction.Wait -> PlacementReason(service, replica?.value.orEmpty(), reason)
        is PlacementAction.NotPossible -> PlacementReason(service, dataCentre, reason)
        else -> null
    }

    private companion object {
        const val DECIDE_MS = 250L
        const val EXPIRE_MS = 60_000L
        const val FIRST_LOAD_MS = 90_000L
        const val LOAD_SMOOTHING = 4
        const val KEPT_REPAIRS = 100
        const val REPLICA_ID_LENGTH = 8
    }
}

/** Why a service does not have a replica that it should have; [subject] is the replica or the data centre. */
data class PlacementReason(val service: String, val subject: String, val reason: String)
