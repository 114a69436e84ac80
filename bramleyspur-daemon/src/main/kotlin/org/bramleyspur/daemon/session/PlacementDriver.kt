/*
 * Executes the repair policy while this member leads: proposes and ends assignments, and measures group downtime and
 * stranded accelerators.
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

/** Creates and retires replicas according to [policy]. */
class PlacementDriver(
    private val node: ControlNode,
    private val sessions: SessionService,
    private val timers: TimerService,
    private val policy: RepairPolicy,
    private val metrics: PlacementMetrics,
    private val wallClockMs: () -> Long,
) {
    private var pendingProposals = 0
    private var repairs: List<Repair> = emptyList()
    private var loadingSinceMs: Map<ReplicaId, Long> = emptyMap()
    private var averageLoadTimeMs = INITIAL_LOAD_TIME_MS
    private var lastMeasuredMs: Long? = null
    private var loggedReasons: List<String> = emptyList()

    /** Reasons for which wanted replicas are not placed or not replaced. */
    var reasons: List<PlacementReason> = emptyList()
        private set

    /** Starts the timers for placement decisions and for the expiry of claims. */
    fun start() {
        timers.every(DECISION_INTERVAL_MS) { decidePlacement() }
        timers.every(CLAIM_EXPIRY_INTERVAL_MS) { if (node.leadingTerm() != null) propose(ExpireClaims(wallClockMs())) }
    }

    private fun decidePlacement() {
        val nowMs = timers.nowMs()
        if (node.leadingTerm() == null || !sessions.state.canDeclareLost(nowMs)) {
            lastMeasuredMs = null
            return
        }
        val snapshot = sessions.state.placementSnapshot(repairs, averageLoadTimeMs, nowMs)
        updateMetrics(snapshot, nowMs)
        updateLoadTime(snapshot, nowMs)
        if (pendingProposals > 0) return
        val actions = decidePlacement(snapshot, policy, nowMs)
        reasons = actions.mapNotNull { it.toReason() }
        logNewReasons()
        actions.forEach { execute(it, snapshot, nowMs) }
        finishRollOuts(snapshot)
    }

    private fun updateMetrics(snapshot: PlacementSnapshot, nowMs: Long) {
        val measuredMs = lastMeasuredMs
        lastMeasuredMs = nowMs
        val measures = measure(snapshot)
        metrics.set(measures, snapshot)
        if (measuredMs != null) metrics.add(measures.accumulatedOver(nowMs - measuredMs))
    }

    /** Updates the average load time, against which the policy weighs waiting. */
    private fun updateLoadTime(snapshot: PlacementSnapshot, nowMs: Long) {
        val loading = snapshot.replicas.filter { it.state == ReplicaState.Loading }.map { it.id }.toSet()
        val serving = snapshot.replicas.filter { it.state == ReplicaState.Serving }.map { it.id }.toSet()
        loadingSinceMs.filterKeys { it in serving }.values.forEach { sinceMs ->
            averageLoadTimeMs += ((nowMs - sinceMs) - averageLoadTimeMs) / LOAD_TIME_AVERAGE_DIVISOR
        }
        loadingSinceMs = loading.associateWith { loadingSinceMs[it] ?: nowMs }
    }

    private fun execute(action: PlacementAction, snapshot: PlacementSnapshot, nowMs: Long) {
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
        logger.info { "creating replica ${definition.replica} of ${service.name} from $members" }
        recordRepair(action, snapshot, nowMs)
        propose(Assign(listOf(definition).toImmutableList()))
    }

    private fun recordRepair(action: PlacementAction.CreateReplica, snapshot: PlacementSnapshot, nowMs: Long) {
        val domain = snapshot.instances[action.members.first().instance]?.fabricDomain ?: return
        repairs = (repairs + Repair(action.service, domain, nowMs)).takeLast(MAX_RECORDED_REPAIRS)
    }

    private fun Member.withAddresses(): Member {
        val announcement = sessions.state.sessions[instance]?.process ?: return this
        return Member(instance, announcement.address, announcement.backendAddress)
    }

    private fun retire(action: PlacementAction.RetireReplica) {
        val assignment = node.state.assignments[action.replica] ?: return
        logger.info { "retiring replica ${action.replica}: ${action.reason}" }
        propose(EndAssignment(action.replica, assignment.fencingNumber))
    }

    /** A roll-out is complete when every wanted replica serves the next version and no other replica remains. */
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
        pendingProposals += 1
        node.propose(command) { result ->
            pendingProposals -= 1
            result.component2()?.let { logger.info { "placement decision was not committed: ${it.message}" } }
        }
    }

    private fun logNewReasons() {
        val texts = reasons.map { "${it.service}: ${it.reason}" }
        (texts - loggedReasons.toSet()).forEach { logger.info { it } }
        loggedReasons = texts
    }

    private fun PlacementAction.toReason(): PlacementReason? = when (this) {
        is PlacementAction.Wait -> PlacementReason(service, replica?.value.orEmpty(), reason)
        is PlacementAction.NotPossible -> PlacementReason(service, dataCentre, reason)
        else -> null
    }

    private companion object {
        const val DECISION_INTERVAL_MS = 250L
        const val CLAIM_EXPIRY_INTERVAL_MS = 60_000L

        /** Load time of a replica that is assumed until one has been measured. */
        const val INITIAL_LOAD_TIME_MS = 90_000L
        const val LOAD_TIME_AVERAGE_DIVISOR = 4
        const val MAX_RECORDED_REPAIRS = 100
        const val REPLICA_ID_LENGTH = 8
    }
}

/** Reason for which a service lacks a replica; [subject] is the replica or the data centre. */
data class PlacementReason(val service: String, val subject: String, val reason: String)
