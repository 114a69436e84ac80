package org.bramleyspur.daemon.session

import io.github.oshai.kotlinlogging.KotlinLogging
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.collections.immutable.toImmutableList
import org.bramleyspur.control.session.Session
import org.bramleyspur.control.state.Assign
import org.bramleyspur.control.state.AssignmentDefinition
import org.bramleyspur.control.state.EndAssignment
import org.bramleyspur.core.model.Assignment
import org.bramleyspur.core.model.AssignmentState
import org.bramleyspur.core.model.Member
import org.bramleyspur.core.model.ReplicaId
import org.bramleyspur.core.model.Service
import org.bramleyspur.core.model.ServiceKind
import org.bramleyspur.core.settings.Settings
import org.bramleyspur.core.time.TimerService
import org.bramleyspur.daemon.member.ControlNode
import java.util.UUID

private val logger = KotlinLogging.logger {}

/** Forms and ends replicas while this member leads. */
@Suppress("UnusedPrivateProperty", "UnusedParameter")
class PlacementDriver(
    private val node: ControlNode,
    private val sessions: SessionService,
    private val timers: TimerService,
    settings: Settings,
    registry: PrometheusRegistry,
) {
    private var proposing = false

    /** Starts the timer of the decisions. */
    fun start() {
        timers.every(DECIDE_MS) { decide() }
    }

    fun onLeading() = Unit

    fun onSessionsChanged() = Unit

    private fun decide() {
        if (proposing || node.leadingTerm() == null || !sessions.state.judges(timers.nowMs())) return
        val broken = node.state.assignments.values.firstOrNull { !isWanted(it) || it.members.any { m -> isLost(m) } }
        if (broken != null) {
            propose { done -> node.propose(EndAssignment(broken.replica, broken.fencingNumber)) { done() } }
            return
        }
        val definition = node.state.configuration.services.values.firstNotNullOfOrNull { missing(it) } ?: return
        logger.info { "forming replica ${definition.replica} of ${definition.service}" }
        propose { done -> node.propose(Assign(listOf(definition).toImmutableList())) { done() } }
    }

    private fun propose(action: (() -> Unit) -> Unit) {
        proposing = true
        action { proposing = false }
    }

    private fun isWanted(assignment: Assignment): Boolean {
        val service = node.state.configuration.services[assignment.service] ?: return false
        return service.version == assignment.version
    }

    private fun isLost(member: Member): Boolean {
        val session = sessions.state.sessions[member.instance] ?: return true
        return session.lost || session.report?.leaving == true
    }

    private fun missing(service: Service): AssignmentDefinition? {
        if (service.kind != ServiceKind.MODEL) return null
        return service.placements.entries.firstNotNullOfOrNull { (dataCentre, count) ->
            val present = node.state.assignments.values.count {
                it.service == service.name &&
                    it.dataCentre() == dataCentre
            }
            if (present < count) define(service, dataCentre) else null
        }
    }

    private fun Assignment.dataCentre() = sessions.state.sessions[first.instance]?.announcement?.dataCentre

    private fun define(service: Service, dataCentre: String): AssignmentDefinition? {
        val group = sessions.state.sessions.values
            .filter { it.announcement.dataCentre == dataCentre && it.isFree() }
            .groupBy { it.announcement.fabricDomain }
            .values
            .firstOrNull { it.size >= service.instancesPerReplica } ?: return null
        val members = group.take(service.instancesPerReplica).map { it.announcement }
        return AssignmentDefinition(
            replica = ReplicaId("r-${UUID.randomUUID()}"),
            service = service.name,
            model = service.model,
            version = service.version,
            adapters = service.adapters.toImmutableList(),
            members = members.map { Member(it.instance, it.address, it.backendAddress) }.toImmutableList(),
        )
    }

    private fun Session.isFree(): Boolean {
        val hello = announcement
        val used = node.state.assignments.values.any { a -> a.members.any { it.instance == hello.instance } }
        val current = report ?: return false
        val released = current.assignments.all { it.state == AssignmentState.RELEASED }
        return hello.backendKind == ServiceKind.MODEL && hello.fabricDomain.isNotEmpty() && !used && !lost &&
            current.backendHealthy && released && !current.leaving &&
            hello.instance !in node.state.configuration.drainedInstances
    }

    private companion object {
        const val DECIDE_MS = 250L
    }
}
