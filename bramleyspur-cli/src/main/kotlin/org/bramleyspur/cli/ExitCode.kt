package org.bramleyspur.cli

/** Exit codes of `bin/bramleyspur`; scripts depend on them. */
internal enum class ExitCode(val code: Int) {
    /** The command was accepted or the query answered. */
    DONE(0),

    /** The command or query was refused; nothing was changed. */
    REFUSED(1),

    /** The command line, the file or the statements are wrong; nothing was sent. */
    USAGE(2),

    /** The command may have taken effect or not. */
    UNKNOWN(3),

    /** No control instance answered; nothing was changed. */
    UNAVAILABLE(4),
}

/** A reason to end before anything is sent, with the message for the operator. */
internal data class UsageError(val message: String)
