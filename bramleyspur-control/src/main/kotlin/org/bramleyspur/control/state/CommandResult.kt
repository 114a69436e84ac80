/*
 * Results of commands, one kind for each command.
 */
package org.bramleyspur.control.state

import org.bramleyspur.core.model.FencingNumber
import org.bramleyspur.core.model.Incarnation
import org.bramleyspur.core.model.RequestId
import org.bramleyspur.core.model.Revision

/** Outcome of applying a command: the next state and the result. */
data class Applied(val state: ControlState, val result: CommandResult)

/** Result of a command. */
sealed interface CommandResult

/**
 * Result of [Submit].
 *
 * @property revision revision of the change when [accepted], else the current revision
 * @property repeated whether this repeats the result of an earlier delivery of the same command
 */
data class SubmitResult(
    val accepted: Boolean,
    val revision: Revision,
    val message: String,
    val repeated: Boolean = false,
) : CommandResult

/** Result of [Assign]. */
sealed interface AssignResult : CommandResult {
    /** All assignments were created with this fencing number. */
    data class Assigned(val fencingNumber: FencingNumber) : AssignResult

    /** No assignment was created. */
    data class Refused(val message: String) : AssignResult
}

/** Result of [EndAssignment]; false if that assignment did not exist. */
data class AssignmentEnded(val ended: Boolean) : CommandResult

/** Result of [FinishRollOut]; false if no roll-out to that version was in progress. */
data class RollOutFinished(val finished: Boolean, val revision: Revision) : CommandResult

/** Result of [Claim]. */
sealed interface ClaimResult : CommandResult {
    /** The call may be sent, once. [grant] identifies the claim in [Complete]. */
    data class Granted(val grant: Long) : ClaimResult

    /**
     * The claim is held. If [request] is the caller's own, an earlier delivery of its claim was granted and the result
     * was lost; only the caller knows whether it has sent the call since then.
     */
    data class InProgress(
        val grant: Long,
        val request: RequestId,
        val incarnation: Incarnation,
        val agentAddress: String,
    ) : ClaimResult

    /** The call was executed and the backend server responded. */
    data class Responded(val response: StoredResponse) : ClaimResult

    /** The key was used for another call. */
    data object DigestMismatch : ClaimResult

    /** It cannot be determined whether the call was executed. */
    data class UnknownOutcome(val request: RequestId, val incarnation: Incarnation, val agentAddress: String) :
        ClaimResult
}

/** Result of [Complete]; false if the claim is no longer held, so that the outcome was ignored. */
data class Completed(val recorded: Boolean) : CommandResult

/** Result of [ReplaceDocument] with the version that is active after it. */
data class DocumentReplaced(val replaced: Boolean, val version: Long) : CommandResult

/** Result of [EvacuateDataCentre] with the [revision] of the evacuations after it. */
data class EvacuationChanged(val changed: Boolean, val revision: Long) : CommandResult

/** Result of [ExpireClaims] with the number of removed records. */
data class ClaimsExpired(val count: Int) : CommandResult
