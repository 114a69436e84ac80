package org.bramleyspur.traffic.admission

/** Why an agent refused an attempt before it began. */
enum class RefusalReason {
    /** The replica is incomplete, or the agent's lease has ended. */
    NOT_SERVING,

    /** The predicted wait exceeds the patience of the attempt. */
    QUEUE_FULL,

    /** The deadline passed before the attempt began. */
    EXPIRED,

    /** The attempt names another incarnation of the agent. */
    WRONG_INCARNATION,

    /** The backend server is leaving. */
    LEAVING,

    /** The attempt was cancelled before it began. */
    CANCELLED,

    /** The agent has already received this attempt; it may be running, so this does not prove that it has not begun. */
    DUPLICATE,
}

/** State of an attempt, as its agent knows it. */
enum class LookupState {
    /** Unknown to this incarnation of the agent, or still queued. */
    NOT_BEGUN,

    /** The backend server is running it. */
    RUNNING,

    /** It ran and has ended. */
    ENDED,
}
