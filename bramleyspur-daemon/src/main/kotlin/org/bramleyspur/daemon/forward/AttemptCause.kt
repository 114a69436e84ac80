package org.bramleyspur.daemon.forward

/** What makes an attempt begin. */
internal enum class AttemptCause {
    /** The request was received. */
    FIRST,

    /** An attempt ended, or none could be sent. */
    END,

    /** The running attempts are silent. */
    SILENCE,

    /** A cold backend server takes a request again. */
    COLD,

    /** A wait for any backend server is over. */
    BACKEND,

    /** A wait for room beside competing requests is over. */
    ROOM,

    /** A wait for room after an outage is over. */
    RETURN,
}
