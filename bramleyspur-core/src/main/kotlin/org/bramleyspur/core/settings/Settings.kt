/*
 * Parsing of a program's settings from flags and environment variables. A flag takes precedence over its environment
 * variable. Unknown, missing and invalid settings are errors, so that a misspelt setting never passes unnoticed.
 */
package org.bramleyspur.core.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType

/** Values of all settings of a program. */
class Settings internal constructor(private val values: Map<String, Any?>) {
    /** The value of [setting], which must be one of the settings that were read. */
    @Suppress("UNCHECKED_CAST") // readSettings stores each value as returned by the parser of its setting.
    operator fun <T> get(setting: Setting<T>): T = values.getValue(setting.name) as T
}

/** Parses [settings] of [program] from [arguments] and [environment]; `--help` prints the settings and exits. */
fun readSettings(
    program: String,
    settings: List<Setting<*>>,
    arguments: List<String>,
    environment: Map<String, String>,
): Result<Settings, SettingError> {
    findUnknownSetting(settings, arguments, environment)?.let { return Err(it) }
    val flags = parseFlags(program, settings, arguments)
    val values = mutableMapOf<String, Any?>()
    for (setting in settings) {
        val text = flags[setting.name] ?: environment[setting.environmentName] ?: setting.default
        if (text == null) return Err(SettingError.Missing(setting.name, setting.environmentName, setting.unit))
        values[setting.name] =
            setting.parse(text).getOrElse { return Err(SettingError.Invalid(setting.name, text, it)) }
    }
    return Ok(Settings(values))
}

private fun findUnknownSetting(
    settings: List<Setting<*>>,
    arguments: List<String>,
    environment: Map<String, String>,
): SettingError.Unknown? {
    val flags = settings.map { "--${it.name}" } + listOf("--help", "-h")
    val variables = settings.map { it.environmentName }
    val flag = arguments.firstOrNull { it.startsWith("--") && it.substringBefore('=') !in flags }
    if (flag != null) return SettingError.Unknown(flag, flags)
    val variable =
        environment.keys.firstOrNull { it.startsWith(Setting.ENVIRONMENT_PREFIX) && it !in variables }
    return variable?.let { SettingError.Unknown(it, variables) }
}

private fun parseFlags(program: String, settings: List<Setting<*>>, arguments: List<String>): Map<String, String> {
    val parser = ArgParser(program)
    val options = settings.associate { it.name to parser.option(ArgType.String, it.name, description = describe(it)) }
    parser.parse(arguments.toTypedArray())
    return options.mapNotNull { (name, option) -> option.value?.let { name to it } }.toMap()
}

private fun describe(setting: Setting<*>): String {
    val default = setting.default?.let { "default '$it'" } ?: "mandatory"
    return "${setting.help} [${setting.unit}; $default; ${setting.environmentName}]"
}
