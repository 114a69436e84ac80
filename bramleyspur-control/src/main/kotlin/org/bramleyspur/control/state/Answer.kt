/*
 * Answers of the state machine, one kind for each command.
 */
package org.bramleyspur.control.state

import org.bramleyspur.core.model.FencingNumber
import org.bramleyspur.core.model.Incarnation
import org.bramleyspur.core.model.RequestId
import org.bramleyspur.core.model.Revision

/** What applying a command gives: the next state and the answer. */
data class Applied(val state: ControlState, val answer: Answer)

/** Answer to a command. */
sealed interface Answer

/**
 * Answer to [Submit].
 *
 * @property revision revision of the change when [accepted], else the current revision
 * @property repeated whether an earlier delivery of the same command was answered so
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

/** Answer to [EndAssignment]; false when that assignment did not exist. */
data class AssignmentEnded(val ended: Boolean) : Answer

/** Answer to [FinishRollOut]; false when no roll-out to that version was in progress. */
data class RollOutFinished(val finished: Boolean, val revision: Revision) : Answer

/** Answer to [Claim]. */
sealed interface ClaimAnswer : Answer {
    /** The call may be sent, once. [grant] identifies the claim in [Complete]. */
    data class Granted(val grant: Long) : ClaimAnswer

    /**
     * The claim is held. When [request] is the asker's own, an earlier delivery of its claim was granted and the
     * answer was lost: only the asker knows whether it has sent the call since.
     */
    data class InProgress(
        val grant: Long,
        val request: RequestId,
        val incarnation: Incarnation,
        val agentAddress: String,
    ) : ClaimAnswer

    /** The call ran and was answered. */
    data class Answered(val response: StoredResponse) : ClaimAnswer

    /** The key was used for another call. */
    data object DigestMismatch : ClaimAnswer

    /** It cannot be found out whether the call ran. */
    data class UnknownOutcome(val request: RequestId, val incarnation: Incarnation, val agentAddress: String) :
        ClaimAnswer
}

/** Answer to [Complete]; false when the claim is not held any more, so that the outcome changed nothing. */
data class Completed(val recorded: Boolean) : Answer

/** Answer to [ReplaceDocument] with the version that is in force after it. */
data class DocumentReplaced(val replaced: Boolean, val version: Long) : Answer

/** Answer to [ExpireClaims] with the number of removed records. */
data class ClaimsExpired(val count: Int) : Answer
