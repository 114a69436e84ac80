/*
 * The daemon. Its first argument names the role that the process takes.
 */
package org.bramleyspur.daemon.process

import com.github.michaelbull.result.getOrElse
import org.bramleyspur.core.settings.Setting
import org.bramleyspur.core.settings.SettingError
import org.bramleyspur.core.settings.Settings
import org.bramleyspur.core.settings.readSettings
import org.bramleyspur.core.telemetry.configureLogging
import kotlin.system.exitProcess

private const val PROGRAM = "bramleyspurd"
private const val EXIT_USAGE = 2
private const val USAGE = "usage: $PROGRAM control|entry|agent|initialize [--help | settings]"

/** Starts the daemon. */
fun main(arguments: Array<String>) {
    val rest = arguments.drop(1)
    when (arguments.firstOrNull()) {
        "control" -> runRole(rest, "control", ControlSettings.ALL, { null }) { ControlProcess(it).apply { start() } }

        "entry" -> runRole(rest, "entry", EntrySettings.ALL, EntrySettings::check) {
            EntryProcess(it).apply { start() }
        }

        "agent" -> runRole(rest, "agent", AgentSettings.ALL, AgentSettings::check) {
            AgentProcess(it).apply { start() }
        }

        "initialize" -> initialize(settingsOf(rest, "initialize", InitializeSettings.ALL) { null })

        else -> fail(USAGE)
    }
}

private fun runRole(
    arguments: List<String>,
    role: String,
    allowed: List<Setting<*>>,
    check: (Settings) -> SettingError?,
    start: (Settings) -> RoleProcess,
) {
    val settings = settingsOf(arguments, role, allowed, check)
    configureLogging(settings.logFormat(), settings[CommonSettings.LOG_LEVEL])
    val process = startOrExit { start(settings) }
    awaitPlannedStop(process, settings[CommonSettings.GRACE], settings[CommonSettings.DRAIN_TIMEOUT])
}

private fun settingsOf(
    arguments: List<String>,
    role: String,
    allowed: List<Setting<*>>,
    check: (Settings) -> SettingError?,
): Settings {
    val settings = readSettings("$PROGRAM $role", allowed, arguments, System.getenv()).getOrElse { fail(it.message) }
    check(settings)?.let { fail(it.message) }
    return settings
}

private fun fail(message: String): Nothing {
    System.err.println("$PROGRAM: $message")
    exitProcess(EXIT_USAGE)
}
