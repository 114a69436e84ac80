package org.bramleyspur.daemon.session

import org.bramleyspur.control.session.AccountUse
import org.bramleyspur.control.session.AssignmentReport
import org.bramleyspur.control.session.HeartbeatReport
import org.bramleyspur.control.session.ProcessDescription
import org.bramleyspur.control.session.ProcessRole
import org.bramleyspur.control.session.SessionEvent
import org.bramleyspur.core.model.AssignmentState
import org.bramleyspur.core.model.FencingNumber
import org.bramleyspur.core.model.Incarnation
import org.bramleyspur.core.model.InstanceName
import org.bramleyspur.core.model.ReplicaId
import org.bramleyspur.core.model.Revision
import org.bramleyspur.core.model.ServiceKind
import org.bramleyspur.protocol.AssignmentStatus
import org.bramleyspur.protocol.Heartbeat
import org.bramleyspur.protocol.Hello
import org.bramleyspur.protocol.Service

internal fun Hello.toEvent(stream: Long) = SessionEvent.Hello(
    stream,
    ProcessDescription(
        role = if (role == Hello.Role.ENTRY) ProcessRole.ENTRY else ProcessRole.AGENT,
        instance = InstanceName(instance),
        incarnation = Incarnation(incarnation),
        address = address,
        region = region,
        dataCentre = dataCentre,
        fabricDomain = fabricDomain,
        backendKind = if (backendKind == Service.Kind.PLAIN) ServiceKind.PLAIN else ServiceKind.MODEL,
        plainService = plainService,
        accelerators = accelerators,
        backendAddress = backendAddress,
    ),
    Revision(revision),
)

internal fun Heartbeat.toEvent(stream: Long) = SessionEvent.Heartbeat(
    stream,
    HeartbeatReport(
        sequence = sequence,
        revision = Revision(revision),
        backendHealthy = backendHealthy,
        bootId = backendBootId,
        assignments = assignmentsList.map { it.toReport() },
        uses = demandsList.associate { it.account to AccountUse(it.inFlight, it.refused, it.share) },
        running = running,
        slots = slots,
        leaving = leaving,
    ),
)

private fun AssignmentStatus.toReport() = AssignmentReport(
    ReplicaId(replica),
    FencingNumber(fencingNumber),
    AssignmentState.entries.firstOrNull { it.name == state.name } ?: AssignmentState.FAILED,
    reason,
)
