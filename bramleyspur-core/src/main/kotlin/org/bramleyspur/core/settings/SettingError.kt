package org.bramleyspur.core.settings

/** An error in the settings of a program. Each message names the setting, the value and the remedy. */
sealed interface SettingError {
    val message: String

    /** A flag or environment variable that the program does not know. */
    data class Unknown(val name: String, val known: List<String>) : SettingError {
        override val message: String
            get() = "unknown setting $name; remove it or use one of: ${known.joinToString()}"
    }

    /** A mandatory setting is absent. */
    data class Missing(val name: String, val environmentName: String, val unit: String) : SettingError {
        override val message: String get() = "--$name is missing; give --$name $unit or set $environmentName"
    }

    /** A value cannot be parsed. */
    data class Invalid(val name: String, val value: String, val problem: String) : SettingError {
        override val message: String get() = "--$name: '$value' $problem"
    }

    /** Settings that exclude each other, or of which one requires another. */
    data class Contradictory(override val message: String) : SettingError
}
