/*
 * Converts the sessions into the input of the repair policy. The input is complete only once the leader can tell which
 * missing sessions are lost ([SessionState.canDeclareLost]); the policy must not be called before.
 */
package org.bramleyspur.control.session

import kotlinx.collections.immutable.toPersistentMap
import org.bramleyspur.control.placement.Health
import org.bramleyspur.control.placement.PlacementInstance
import org.bramleyspur.control.placement.PlacementReplica
import org.bramleyspur.control.placement.PlacementSnapshot
import org.bramleyspur.control.placement.Repair
import org.bramleyspur.control.placement.ReplicaState
import org.bramleyspur.core.model.Assignment
import org.bramleyspur.core.model.AssignmentState
import org.bramleyspur.core.model.Member
import org.bramleyspur.core.model.ServiceKind

/** Input of the repair policy at [nowMs], with the caller's history of [repairs] and its measured [loadMs]. */
fun SessionState.placementSnapshot(repairs: List<Repair>, loadMs: Long, nowMs: Long): PlacementSnapshot {
    val engines = sessions.filterValues {
        it.process.role == ProcessRole.AGENT && it.process.backendKind == ServiceKind.MODEL
    }
    val releasing = withdrawals.map {
        PlacementReplica(it.assignment, dataCentreOf(it.assignment), ReplicaState.Releasing)
    }
    val replicas = assignments.map {
        PlacementReplica(it, dataCentreOf(it), progress[it.replica] ?: ReplicaState.Loading)
    }
    val services = configuration.services.filterValues { it.kind == ServiceKind.MODEL }
    return PlacementSnapshot(
        services,
        engines.mapValues {
            placementInstance(it.value, nowMs)
        },
        replicas + releasing,
        repairs,
        loadMs,
    )
}

private fun SessionState.dataCentreOf(assignment: Assignment): String =
    assignment.members.firstNotNullOfOrNull { sessions[it.instance]?.process?.dataCentre }.orEmpty()

private fun SessionState.placementInstance(session: Session, nowMs: Long): PlacementInstance {
    val process = session.process
    return PlacementInstance(
        member = Member(process.instance, process.address),
        dataCentre = process.dataCentre,
        fabricDomain = process.fabricDomain,
        accelerators = process.accelerators,
        health = session.health(),
        free = isFree(session, nowMs),
        drained = process.instance in configuration.drainedInstances,
        leaving = session.report?.leaving == true,
        failuresMs = failures[process.instance].orEmpty(),
        upSinceMs = session.upSinceMs,
    )
}

private fun Session.health(): Health = when {
    lost && crashed -> Health.Failed(lastMessageAtMs)
    lost -> Health.Suspect(lastMessageAtMs)
    report?.backendHealthy != true -> Health.Suspect(upSinceMs)
    else -> Health.Live
}

private fun SessionState.isFree(session: Session, nowMs: Long): Boolean {
    val report = session.report ?: return false
    val released = report.assignments.all { it.state == AssignmentState.RELEASED }
    return !session.lost && report.backendHealthy && released && !isOfferPending(session.offer, report, nowMs)
}

/** Whether the agent may still accept the last offer; after a session timeout it must have received it. */
private fun SessionState.isOfferPending(offer: Offer?, report: HeartbeatReport, nowMs: Long): Boolean = offer != null &&
    report.assignments.none { it.fencingNumber >= offer.fencingNumber } &&
    nowMs < offer.sentAtMs + timing.sessionTimeoutMs

/** Whether an agent with a live session has not yet released [assignment]. */
internal fun SessionState.isStillHeld(assignment: Assignment): Boolean = assignment.members.any { member ->
    val session = sessions[member.instance]
    val state = session?.stateOf(assignment)
    session?.lost == false && state != null && state != AssignmentState.RELEASED
}

private fun Session.stateOf(assignment: Assignment): AssignmentState? = report
    ?.assignments
    ?.firstOrNull { it.replica == assignment.replica && it.fencingNumber == assignment.fencingNumber }
    ?.state

internal fun SessionState.updateProgress(nowMs: Long): SessionState {
    val next = assignments.associate { it.replica to progressOf(it, nowMs) }
    return if (next == progress) this else copy(progress = next.toPersistentMap())
}

private fun SessionState.progressOf(assignment: Assignment, nowMs: Long): ReplicaState {
    val before = progress[assignment.replica]
    val known = assignment.members.map { sessions[it.instance] }
    val states = known.map { it?.stateOf(assignment) }
    val absent = known.any { it == null || it.health() != Health.Live }
    val ended = states.any { it == AssignmentState.RELEASED || it == AssignmentState.FAILED }
    return when {
        !canDeclareLost(nowMs) && absent -> ReplicaState.Loading
        ended -> broken(before, nowMs, recoverable = false)
        absent -> broken(before, nowMs, recoverable = true)
        states.first() == AssignmentState.SERVING -> ReplicaState.Serving
        states.all { it == AssignmentState.READY } -> loadedButNotServing(before, nowMs)
        else -> ReplicaState.Loading
    }
}

private fun broken(before: ReplicaState?, nowMs: Long, recoverable: Boolean): ReplicaState.Broken {
    val sinceMs = (before as? ReplicaState.Broken)?.sinceMs ?: nowMs
    return ReplicaState.Broken(sinceMs, recoverable)
}

/** State of a replica with all members loaded whose first one does not serve: broken if it has served before. */
private fun loadedButNotServing(before: ReplicaState?, nowMs: Long): ReplicaState =
    if (before == ReplicaState.Loading || before == null) ReplicaState.Loading else broken(before, nowMs, true)
