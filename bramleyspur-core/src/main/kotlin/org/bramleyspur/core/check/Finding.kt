package org.bramleyspur.core.check

/** What the check of a configuration has found; [message] names the entry and, except for a difference, the remedy. */
sealed interface Finding {
    val message: String

    /** The system would refuse the configuration. */
    data class Refused(override val message: String) : Finding

    /** The system accepts the entry, which can never take effect. */
    data class NeverMatches(override val message: String) : Finding

    /** The system accepts the limits, which cannot all be kept. */
    data class Contradiction(override val message: String) : Finding

    /** The configuration differs from the one that it is compared with. */
    data class Difference(override val message: String) : Finding
}
