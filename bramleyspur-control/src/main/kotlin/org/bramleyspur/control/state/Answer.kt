/*
 * Answers of the state machine, one kind for each command.
 */
package org.bramleyspur.control.state

import org.bramleyspur.core.model.FencingNumber
import org.bramleyspur.core.model.Incarnation
import org.bramleyspur.core.model.RequestId
import org.bramleyspur.core.model.Revision

/** Result of applying a command: the next state and the answer. */
data class Applied(val state: ControlState, val answer: Answer)

/** Answer to a command. */
sealed interface Answer

/**
 * Answer to [Submit].
 *
 * @property revision revision of the change when [accepted], else the current revision
 * @property repeated whether this repeats the answer to an earlier delivery of the same command
 */
data class SubmitAnswer(
    val accepted: Boolean,
    val revision: Revision,
    val message: String,
    val repeated: Boolean = false,
) : Answer

/** Answer to [Assign]. */
sealed interface AssignAnswer : Answer {
    /** All assignments were created with this fencing number. */
    data class Assigned(val fencingNumber: FencingNumber) : AssignAnswer

    /** No assignment was created. */
    data class Refused(val message: String) : AssignAnswer
}

/** Answer to [EndAssignment]; false if that assignment did not exist. */
data class AssignmentEnded(val ended: Boolean) : Answer

/** Answer to [FinishRollOut]; false if no roll-out to that version was in progress. */
data class RollOutFinished(val finished: Boolean, val revision: Revision) : Answer

/** Answer to [Claim]. */
sealed interface ClaimAnswer : Answer {
    /** The call may be sent, once. [grant] identifies the claim in [Complete]. */
    data class Granted(val grant: Long) : ClaimAnswer

    /**
     * The claim is held. If [request] is the caller's own, an earlier delivery of its claim was granted and the answer
     * was lost; only the caller knows whether it has sent the call since then.
     */
    data class InProgress(
        val grant: Long,
        val request: RequestId,
        val incarnation: Incarnation,
        val agentAddress: String,
    ) : ClaimAnswer

    /** The call was executed and answered. */
    data class Answered(val response: StoredResponse) : ClaimAnswer

    /** The key was used for another call. */
    data object DigestMismatch : ClaimAnswer

    /** It cannot be determined whether the call was executed. */
    data class UnknownOutcome(val request: RequestId, val incarnation: Incarnation, val agentAddress: String) :
        ClaimAnswer
}

/** Answer to [Complete]; false if the claim is no longer held, so that the outcome was ignored. */
data class Completed(val recorded: Boolean) : Answer

/** Answer to [ReplaceDocument] with the version that is in force after it. */
data class DocumentReplaced(val replaced: Boolean, val version: Long) : Answer

/** Answer to [ExpireClaims] with the number of removed records. */
data class ClaimsExpired(val count: Int) : Answer
