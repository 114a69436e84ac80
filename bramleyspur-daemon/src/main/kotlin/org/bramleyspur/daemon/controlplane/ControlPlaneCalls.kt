/*
 * Serves the calls of backend servers and operators to a control instance of a deployment without agents. Confined to
 * the control thread.
 */
package org.bramleyspur.daemon.controlplane

import com.github.michaelbull.result.fold
import org.bramleyspur.control.state.EvacuateDataCentre
import org.bramleyspur.control.state.ReplaceDocument
import org.bramleyspur.control.state.StoredDocument
import org.bramleyspur.core.backend.validate
import org.bramleyspur.core.telemetry.DecisionLog
import org.bramleyspur.daemon.directory.ControlDirectory
import org.bramleyspur.daemon.member.ControlNode
import org.bramleyspur.log.consensus.ProposeError

/**
 * Serves calls to the control instance at [self] (`host:port`).
 *
 * @property dataCentres names of the known data centres; empty if they are not known
 * @property node returns the member of the control log; null while the log is not open
 */
internal class ControlPlaneCalls(
    private val self: String,
    private val directory: ControlDirectory,
    private val log: DecisionLog,
    private val dataCentres: Set<String>,
    private val node: () -> ControlNode?,
) {
    /** Handles [call] and calls [respond] exactly once. */
    fun handle(call: ControlPlaneCall, respond: (ControlPlaneResponse) -> Unit) = when (call) {
        is ControlPlaneCall.Announce -> {
            directory.recordOwn(call.announcement)
            respond(ControlPlaneResponse.Accepted)
        }
        is ControlPlaneCall.Deregister -> respond(deregister(call))
        is ControlPlaneCall.Replace -> replace(call, respond)
        is ControlPlaneCall.Read -> read(respond)
        is ControlPlaneCall.Evacuate -> evacuate(call, respond)
        is ControlPlaneCall.Invalid -> {
            log.write("call-refused", "reason" to call.message)
            respond(ControlPlaneResponse.Refused(call.message))
        }
        ControlPlaneCall.Unknown -> respond(ControlPlaneResponse.NotFound)
    }

    /** A deregistered engine may serve for some time, so its place in a group is free only once the head has left. */
    private fun deregister(call: ControlPlaneCall.Deregister): ControlPlaneResponse {
        val tombstone = directory.backends.tombstone(call.id, call.startedAtMs) ?: return ControlPlaneResponse.Accepted
        val error = tombstone.validate(System.currentTimeMillis())
        if (error != null) {
            val reason = "${error.field.name} ${error.reason}"
            log.write("call-refused", "reason" to reason)
            return ControlPlaneResponse.Refused(reason)
        }
        directory.recordOwn(tombstone)
        return ControlPlaneResponse.Accepted
    }

    private fun replace(call: ControlPlaneCall.Replace, respond: (ControlPlaneResponse) -> Unit) {
        val current = node() ?: return respond(LOG_NOT_OPEN)
        if (current.leadingTerm() == null) return respond(redirectToLeader(current))
        val document = StoredDocument(call.version, call.content)
        current.propose(ReplaceDocument(document)) { result ->
            val outcome = result.fold({ "accepted" }, { it.message })
            log.write("document", "version" to call.version, "outcome" to outcome)
            respond(result.fold({ ControlPlaneResponse.Accepted }, ::refusalOf))
        }
    }

    private fun evacuate(call: ControlPlaneCall.Evacuate, respond: (ControlPlaneResponse) -> Unit) {
        if (dataCentres.isNotEmpty() && call.dataCentre !in dataCentres) {
            log.write("call-refused", "reason" to "unknown data centre ${call.dataCentre}")
            val known = dataCentres.sorted().joinToString(", ")
            return respond(
                ControlPlaneResponse.Refused("there is no data centre '${call.dataCentre}'; name one of $known"),
            )
        }
        val current = node() ?: return respond(LOG_NOT_OPEN)
        if (current.leadingTerm() == null) return respond(redirectToLeader(current))
        current.propose(EvacuateDataCentre(call.dataCentre, call.evacuated, System.currentTimeMillis())) { result ->
            val outcome = result.fold({ "accepted" }, { it.message })
            log.write(
                "evacuation-call",
                "data_centre" to call.dataCentre,
                "evacuated" to call.evacuated,
                "outcome" to outcome,
            )
            respond(result.fold({ ControlPlaneResponse.Accepted }, ::refusalOf))
        }
    }

    /** Only an entry that is too large is refused for good; all other errors may pass. */
    private fun refusalOf(error: ProposeError): ControlPlaneResponse = when (error) {
        is ProposeError.TooLarge -> ControlPlaneResponse.Refused(error.message)
        else -> ControlPlaneResponse.Unavailable(error.message)
    }

    private fun read(respond: (ControlPlaneResponse) -> Unit) {
        val current = node() ?: return respond(LOG_NOT_OPEN)
        val document = current.state.document
        respond(
            when {
                current.leadingTerm() == null -> redirectToLeader(current)
                document == null -> ControlPlaneResponse.Unavailable("no document has been accepted; send one")
                else -> ControlPlaneResponse.Content(document.content)
            },
        )
    }

    /** Redirects to the leader; after its own lease has ended, this instance may still be the last known leader. */
    private fun redirectToLeader(current: ControlNode): ControlPlaneResponse {
        val leader = current.leaderAddress()
        val known = leader.isNotEmpty() && leader != self
        return if (known) {
            ControlPlaneResponse.Redirect(leader.substringBeforeLast(':'))
        } else {
            ControlPlaneResponse.Unavailable("no leader is known; send again")
        }
    }

    private companion object {
        val LOG_NOT_OPEN = ControlPlaneResponse.Unavailable("the log is not open; ask another instance")
    }
}
