/*
 * Commands of the control log. Everything that a decision depends on is in the command or in the state: the leader
 * chooses times before it replicates a command, so that all members decide alike.
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
 * @property commandId identity that the operator's tool chose; a resend has the same one
 * @property expectedRevision revision that must be current, [Revision.NONE] for any
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

/** Ends an assignment; its instances become free for others. */
data class EndAssignment(val replica: ReplicaId, val fencingNumber: FencingNumber) : ControlCommand

/** Makes [version] the serving version of [service], once the roll-out to it has reached every replica. */
data class FinishRollOut(val service: String, val version: String) : ControlCommand

/** Identity of an idempotency record. */
data class ClaimKey(val account: String, val service: String, val key: String)

/**
 * Asks for the right to send a non-idempotent call once.
 *
 * @property digest digest of method, path and body
 * @property incarnation agent incarnation that will run the call
 * @property agentAddress `host:port` of that agent
 * @property retentionMs time in milliseconds for which the key is kept
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
    /** The backend server answered. */
    data class Answered(val response: StoredResponse) : ClaimOutcome

    /** The call was proved not to have begun, and never will. */
    data object NotRun : ClaimOutcome

    /** It cannot be found out whether the call ran. */
    data object Unknown : ClaimOutcome
}

/**
 * Ends the claim that was granted at the log index [grant]. The index and not the request identifies the claim: a
 * request can claim again after a not-run proof, and a late copy of that proof must not release the second claim.
 */
data class Complete(val key: ClaimKey, val grant: Long, val outcome: ClaimOutcome) : ControlCommand

/** Puts [document] in force unless the one in force has the same or a higher version. */
data class ReplaceDocument(val document: StoredDocument) : ControlCommand

/** Removes idempotency records whose retention has passed at the wall-clock time [nowMs] of the leader. */
data class ExpireClaims(val nowMs: Long) : ControlCommand
