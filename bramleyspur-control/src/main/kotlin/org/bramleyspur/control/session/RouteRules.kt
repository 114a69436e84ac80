package org.bramleyspur.control.session

import kotlinx.collections.immutable.toImmutableList
import org.bramleyspur.core.model.Assignment
import org.bramleyspur.core.model.AssignmentState
import org.bramleyspur.core.model.FencingNumber
import org.bramleyspur.core.model.Route
import org.bramleyspur.core.model.RouteTable
import org.bramleyspur.core.model.ServiceKind

internal fun SessionState.publishRoutes(nowMs: Long): SessionStep {
    if (!canDeclareLost(nowMs)) return step()
    val next = currentRoutes(nowMs).toImmutableList()
    if (routes.term == term && routes.routes == next) return step()
    val table = RouteTable(term, if (routes.term == term) routes.sequence + 1 else 1, next)
    val entries = sessions.values.filter { it.process.role == ProcessRole.ENTRY }
    val effects = entries.mapNotNull { session -> session.stream?.let { SessionEffect.SendRoutes(it, table) } }
    return SessionStep(copy(routes = table), effects)
}

private fun SessionState.currentRoutes(nowMs: Long): List<Route> {
    val plainRoutes = sessions.values.filter { isRoutablePlain(it, nowMs) }.map { it.plainRoute() }
    val replicaRoutes = assignments.mapNotNull { replicaRoute(it) }
    return (plainRoutes + replicaRoutes).sortedWith(compareBy({ it.service }, { it.instance }))
}

/** The route of a restarted backend server is withdrawn until its next heartbeat, so that entries drop the old one. */
private fun SessionState.isRoutablePlain(session: Session, nowMs: Long): Boolean {
    val process = session.process
    val report = session.report ?: return false
    val connected = !session.lost && session.stream != null && nowMs < session.lastMessageAtMs + timing.plainTimeoutMs
    val healthy = report.backendHealthy && !report.leaving && session.bootConfirmed
    return process.role == ProcessRole.AGENT &&
        process.backendKind == ServiceKind.PLAIN &&
        process.instance !in configuration.drainedInstances &&
        connected &&
        healthy
}

private fun Session.plainRoute(): Route = Route(
    service = process.plainService,
    replica = null,
    fencingNumber = FencingNumber(0),
    instance = process.instance,
    incarnation = process.incarnation,
    address = process.address,
    region = process.region,
    dataCentre = process.dataCentre,
    slots = report?.slots ?: 1,
)

private fun SessionState.replicaRoute(assignment: Assignment): Route? {
    val session = sessions[assignment.firstMember.instance] ?: return null
    val report = session.report ?: return null
    val serving = report.assignments.any {
        it.replica == assignment.replica &&
            it.fencingNumber == assignment.fencingNumber &&
            it.state == AssignmentState.SERVING
    }
    if (session.lost || report.leaving || !serving) return null
    return session.plainRoute().copy(
        service = assignment.service,
        replica = assignment.replica,
        fencingNumber = assignment.fencingNumber,
        version = assignment.version,
        adapters = assignment.adapters,
    )
}
