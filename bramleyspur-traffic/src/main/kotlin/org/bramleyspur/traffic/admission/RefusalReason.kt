package org.bramleyspur.traffic.admission

/** Why an agent refused an attempt before it began. */
enum class RefusalReason {
    /** The replica is incomplete, or the agent's lease has ended. */
    NOT_SERVING,

    /** The predicted wait is longer than the account's patience. */
    QUEUE_FULL,

    /** The deadline passed before the attempt began. */
    EXPIRED,

    /** The attempt is meant for another run of the agent. */
    WRONG_INCARNATION,

    /** The backend server is leaving. */
    LEAVING,

    /** The attempt was cancelled before it began. */
    CANCELLED,

    /** The agent already has this attempt; the earlier delivery may be running, so this is no proof. */
    DUPLICATE,
}

/** What an agent knows of an attempt. */
enum class LookupState {
    /** Unknown to this run of the agent, or still queued. */
    NOT_BEGUN,

    /** The backend server is running it. */
    RUNNING,

    /** It ran and has ended. */
    ENDED,
}
