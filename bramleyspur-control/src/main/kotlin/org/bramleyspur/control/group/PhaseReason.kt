package org.bramleyspur.control.group

/** What made a group enter a phase. */
enum class PhaseCause {
    /** The plan wants the group. */
    WANTED,

    /** A new leader took the group over from the announcements of its members. */
    ADOPTED,

    /** The head announced that it is open. */
    OPENED,

    /** The single engine of a warming group is ready. */
    WARMED,

    /** The head announced that a member has failed. */
    BROKEN,

    /** The head has finished its requests, or serves the group no more. */
    FINISHED,

    /** Members of the group are not known. */
    INCOMPLETE,

    /** The member has started anew, or is not known any more. */
    MEMBER_ENDED,

    /** The member's address refuses connections. */
    MEMBER_CRASHED,

    /** The member announces another group or none, or is about to join another. */
    MEMBER_LEFT,

    /** The member is draining or has deregistered. */
    MEMBER_LEAVING,

    /** The member has sent nothing for longer than a sound one does: no announcement and no response to probes. */
    MEMBER_SILENT,

    /** A group within one domain takes the place of the group. */
    REPLACED,

    /** The measured demand moves the engines to another model. */
    DEMAND_MOVED,

    /** The member slows the group down, and spares make it faster. */
    MEMBER_SLOW,

    /** The configuration does not name the model any more. */
    MODEL_REMOVED,

    /** The phase has lasted too long. */
    OVERDUE,
}

/**
 * Why a group entered its phase.
 *
 * @property member id of the member that caused it; null where it is none
 * @property durationMs how long the cause had lasted: the member's silence, or the phase that is overdue
 */
data class PhaseReason(val cause: PhaseCause, val member: String? = null, val durationMs: Long? = null)
