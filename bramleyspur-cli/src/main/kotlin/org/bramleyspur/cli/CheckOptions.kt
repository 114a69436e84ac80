package org.bramleyspur.cli

import org.bramleyspur.traffic.check.DeploymentFacts

/** What a configuration is compared with. */
internal sealed interface Against {
    data class File(val path: String) : Against

    /** The version in force, which must have the number [version] unless that is null. */
    data class InForce(val version: Long?) : Against
}

/** Interprets the value of `--against`; a file whose name is a number or `in-force` is given as `./NAME`. */
internal fun parseAgainst(text: String): Against = when {
    text == "in-force" -> Against.InForce(null)
    text.all { it.isDigit() } && text.toLongOrNull() != null -> Against.InForce(text.toLong())
    else -> Against.File(text)
}

/**
 * Options of `check`.
 *
 * @property strict whether entries that never match and contradictions fail the check
 */
internal data class CheckOptions(
    val against: Against? = null,
    val strict: Boolean = false,
    val facts: DeploymentFacts = DeploymentFacts(),
)
