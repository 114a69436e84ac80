package org.bramleyspur.cli

/** Exit codes of `bin/bramleyspur`; scripts depend on them. */
internal enum class ExitCode(val code: Int) {
    /** The command was accepted, or the query was executed. */
    DONE(0),

    /** The command or query was refused; nothing was changed. */
    REFUSED(1),

    /** The command line, the file or the statements are invalid; nothing was sent. */
    USAGE(2),

    /** No final reply arrived; the command may have taken effect or not. */
    UNKNOWN(3),

    /** No control leader replied; nothing was changed. */
    UNAVAILABLE(4),
}

/** An error in the command line, the file or the statements, with a [message] for the operator. */
internal data class UsageError(val message: String)
