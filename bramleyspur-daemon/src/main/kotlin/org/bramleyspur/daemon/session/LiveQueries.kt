package org.bramleyspur.daemon.session

import org.bramleyspur.control.session.Session
import org.bramleyspur.control.session.changeStatus
import org.bramleyspur.core.model.Assignment
import org.bramleyspur.core.model.Revision
import org.bramleyspur.core.time.TimerService
import org.bramleyspur.daemon.member.ControlNode
import org.bramleyspur.daemon.operator.LiveTable
import org.bramleyspur.language.Query
import org.bramleyspur.language.Show
import org.bramleyspur.language.ShowChange
import org.bramleyspur.language.Subject
import org.bramleyspur.language.Why
import org.bramleyspur.log.MemberRole

/** Answers operators' queries about what is running, from the leader's sessions. */
class LiveQueries(
    private val node: ControlNode,
    private val sessions: SessionService,
    private val placement: PlacementDriver,
    private val timers: TimerService,
) {
    /** Answers [query], null when it names something that does not exist. */
    fun answer(query: Query): LiveTable? = when (query) {
        is ShowChange -> change(query.revision)
        is Why -> why(query.service)
        is Show -> show(query)
    }

    private fun show(query: Show): LiveTable? = when (query.subject) {
        Subject.REPLICAS -> replicas(query.service)
        Subject.INSTANCES -> instances()
        Subject.CONTROL -> control()
        else -> null
    }

    private fun replicas(service: String?): LiveTable? {
        if (service != null && service !in node.state.configuration.services) return null
        val rows = node.state.assignments.values
            .filter { service == null || it.service == service }
            .sortedBy { it.fencingNumber }
            .map { replicaRow(it) }
        return LiveTable(
            listOf("replica", "service", "version", "data centre", "state", "members", "fencing number"),
            rows,
        )
    }

    private fun replicaRow(assignment: Assignment): List<String> {
        val first = sessions.state.sessions[assignment.firstMember.instance]
        return listOf(
            assignment.replica.value,
            assignment.service,
            assignment.version,
            first?.process?.dataCentre.orEmpty(),
            stateOf(assignment, first),
            assignment.members.joinToString(" ") { it.instance.value },
            assignment.fencingNumber.toString(),
        )
    }

    private fun stateOf(assignment: Assignment, first: Session?): String {
        val report = first?.report?.assignments?.firstOrNull { it.fencingNumber == assignment.fencingNumber }
        return when {
            first == null || first.lost -> "first member lost"
            report == null -> "waiting"
            report.reason.isEmpty() -> report.state.name.lowercase()
            else -> "${report.state.name.lowercase()}: ${report.reason}"
        }
    }

    private fun instances(): LiveTable {
        val rows = sessions.state.sessions.values
            .sortedBy { it.process.instance }
            .map { instanceRow(it) }
        return LiveTable(
            listOf("instance", "role", "data centre", "fabric domain", "state", "revision", "running", "assignment"),
            rows,
        )
    }

    private fun instanceRow(session: Session): List<String> {
        val hello = session.process
        val report = session.report
        return listOf(
            hello.instance.value,
            hello.role.name.lowercase(),
            hello.dataCentre,
            hello.fabricDomain,
            healthOf(session),
            session.revision.toString(),
            (report?.running ?: 0).toString(),
            report?.assignments.orEmpty().joinToString(" ") { "${it.replica}:${it.state.name.lowercase()}" },
        )
    }

    private fun healthOf(session: Session): String = when {
        session.lost -> "lost"
        session.report?.leaving == true -> "leaving"
        session.process.instance in node.state.configuration.drainedInstances -> "drained"
        session.report?.backendHealthy == false -> "unhealthy"
        else -> "live"
    }

    private fun control(): LiveTable {
        val status = node.status()
        val rows = status.members.map { member ->
            val role = when {
                member.id == status.memberId -> status.role
                member.voter -> MemberRole.FOLLOWER
                else -> MemberRole.LEARNER
            }
            listOf(
                member.id,
                member.address,
                if (member.voter) "voter" else "learner",
                role.name.lowercase(),
                member.lag?.toString().orEmpty(),
            )
        }
        return LiveTable(listOf("member", "address", "vote", "role", "lag"), rows)
    }

    private fun change(revision: Long): LiveTable {
        val status = sessions.state.changeStatus(Revision(revision), timers.nowMs())
        return LiveTable(
            listOf("revision", "in force", "missing", "lease expired"),
            listOf(
                listOf(
                    revision.toString(),
                    "${status.inForceCount} of ${status.processCount}",
                    status.missing.joinToString(" "),
                    status.leaseExpired.joinToString(" "),
                ),
            ),
        )
    }

    private fun why(service: String): LiveTable? {
        if (service !in node.state.configuration.services) return null
        val rows = placement.reasons.filter { it.service == service }.map { listOf(it.service, it.subject, it.reason) }
        return LiveTable(listOf("service", "replica or data centre", "reason"), rows)
    }
}
