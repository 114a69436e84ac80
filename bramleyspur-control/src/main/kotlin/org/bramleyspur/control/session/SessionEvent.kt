package org.bramleyspur.control.session

import org.bramleyspur.core.model.Assignment
import org.bramleyspur.core.model.AssignmentState
import org.bramleyspur.core.model.Configuration
import org.bramleyspur.core.model.FencingNumber
import org.bramleyspur.core.model.Incarnation
import org.bramleyspur.core.model.InstanceName
import org.bramleyspur.core.model.ReplicaId
import org.bramleyspur.core.model.Revision
import org.bramleyspur.core.model.ServiceKind

/** Kind of process that has a session. */
enum class ProcessRole { ENTRY, AGENT }

/** Self-description of a process; see the message `Hello`. */
data class ProcessDescription(
    val role: ProcessRole,
    val instance: InstanceName,
    val incarnation: Incarnation,
    val address: String,
    val region: String = "",
    val dataCentre: String = "",
    val fabricDomain: String = "",
    val backendKind: ServiceKind = ServiceKind.MODEL,
    val plainService: String = "",
    val accelerators: Int = 0,
    val backendAddress: String = "",
)

/** An assignment's state on the instance that reports it. */
data class AssignmentReport(
    val replica: ReplicaId,
    val fencingNumber: FencingNumber,
    val state: AssignmentState,
    val reason: String = "",
)

/**
 * An entry's use of a client account.
 *
 * @property inFlight number of running requests
 * @property refused requests refused since the last heartbeat because the share was used up
 * @property share concurrent requests that the entry considers itself allowed; it must report 0 once its lease has
 *   expired, since its share may then be in use elsewhere
 */
data class AccountUse(val inFlight: Int, val refused: Int, val share: Int)

/** Content of a heartbeat; see the message `Heartbeat`. */
data class HeartbeatReport(
    val sequence: Long,
    val revision: Revision,
    val backendHealthy: Boolean = true,
    val bootId: String = "",
    val assignments: List<AssignmentReport> = emptyList(),
    val uses: Map<String, AccountUse> = emptyMap(),
    val running: Int = 0,
    val slots: Int = 1,
    val leaving: Boolean = false,
)

/** Input of the leader's session state. A leader never reuses stream numbers. */
sealed interface SessionEvent {
    /** This control instance has become leader; it starts from an empty session state. */
    data class BecameLeader(val term: Long, val configuration: Configuration, val assignments: List<Assignment>) :
        SessionEvent

    /** The log has committed a change of the configuration or of the assignments. */
    data class Committed(val configuration: Configuration, val assignments: List<Assignment>) : SessionEvent

    /** A process has opened [stream] and has [revision] of the configuration. */
    data class Hello(val stream: Long, val process: ProcessDescription, val revision: Revision) : SessionEvent

    /** A process has sent a heartbeat on [stream]. */
    data class Heartbeat(val stream: Long, val report: HeartbeatReport) : SessionEvent

    /** The stream was closed by either side. */
    data class StreamClosed(val stream: Long) : SessionEvent

    /** Time has passed; expected at least every 250 ms. */
    data object Tick : SessionEvent
}
