/*
 * Commands of the control log. Everything that a decision depends on is in the command or in the state: the leader
 * reads the clock before it replicates a command, so that all members decide alike.
 */
package org.bramleyspur.control.state

import com.google.protobuf.ByteString
import kotlinx.collections.immutable.ImmutableList
import org.bramleyspur.core.model.FencingNumber
import org.bramleyspur.core.model.Incarnation
import org.bramleyspur.core.model.Member
import org.bramleyspur.core.model.ReplicaId
import org.bramleyspur.core.model.RequestId
import org.bramleyspur.core.model.Revision

/** A command of the control log. */
sealed interface ControlCommand

/**
 * Operators' statements that take effect together or not at all.
 *
 * @property commandId id chosen by the operator's tool; a resend has the same id
 * @property expectedRevision revision that must be current; [Revision.NONE] for any
 * @property submittedAtMs wall-clock milliseconds of the leader
 */
data class Submit(
    val commandId: String,
    val expectedRevision: Revision,
    val statements: String,
    val submittedAtMs: Long,
) : ControlCommand

/** An assignment that has no fencing number yet. */
data class AssignmentDefinition(
    val replica: ReplicaId,
    val service: String,
    val model: String,
    val version: String,
    val adapters: ImmutableList<String>,
    val members: ImmutableList<Member>,
)

/** Creates assignments, all or none; the log index of the command becomes their fencing number. */
data class Assign(val assignments: ImmutableList<AssignmentDefinition>) : ControlCommand

/** Ends an assignment; its instances can then be assigned to other replicas. */
data class EndAssignment(val replica: ReplicaId, val fencingNumber: FencingNumber) : ControlCommand

/** Makes [version] the serving version of [service], once the roll-out to it has reached every replica. */
data class FinishRollOut(val service: String, val version: String) : ControlCommand

/** Identity of an idempotency record. */
data class ClaimKey(val account: String, val service: String, val key: String)

/**
 * Requests the right to send a non-idempotent call once.
 *
 * @property digest digest of method, path and body
 * @property incarnation incarnation of the agent that will execute the call
 * @property agentAddress `host:port` of that agent
 * @property retentionMs time for which the key is retained
 * @property claimedAtMs wall-clock milliseconds of the leader
 */
data class Claim(
    val key: ClaimKey,
    val digest: ByteString,
    val request: RequestId,
    val incarnation: Incarnation,
    val agentAddress: String,
    val retentionMs: Long,
    val claimedAtMs: Long,
) : ControlCommand

/** How a claimed call ended. */
sealed interface ClaimOutcome {
    /** The backend server responded. */
    data class Responded(val response: StoredResponse) : ClaimOutcome

    /** The call is proved not to have been executed, and never will be. */
    data object NotRun : ClaimOutcome

    /** It cannot be determined whether the call was executed. */
    data object Unknown : ClaimOutcome
}

/**
 * Ends the claim that was granted at the log index [grant]. The claim is identified by the index rather than the
 * request, because a request can claim again after [ClaimOutcome.NotRun], and a late copy of that outcome must not
 * release the second claim.
 */
data class Complete(val key: ClaimKey, val grant: Long, val outcome: ClaimOutcome) : ControlCommand

/** Activates [document] unless the active one has the same or a higher version. */
data class ReplaceDocument(val document: StoredDocument) : ControlCommand

/**
 * Begins the evacuation of a data centre, or ends it if not [evacuated].
 *
 * @property submittedAtMs wall-clock milliseconds of the leader
 */
data class EvacuateDataCentre(val dataCentre: String, val evacuated: Boolean, val submittedAtMs: Long) : ControlCommand

/** Removes idempotency records whose retention has ended at [nowMs], the wall-clock time of the leader. */
data class ExpireClaims(val nowMs: Long) : ControlCommand
