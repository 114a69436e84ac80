package org.bramleyspur.daemon.process

import org.bramleyspur.core.settings.Setting
import org.bramleyspur.core.settings.Settings
import org.bramleyspur.core.settings.addressListSetting
import org.bramleyspur.core.settings.addressSetting
import org.bramleyspur.core.settings.choiceSetting
import org.bramleyspur.core.settings.numberSetting
import org.bramleyspur.core.settings.textSetting
import org.bramleyspur.core.telemetry.LogFormat
import org.bramleyspur.core.telemetry.Tracing

/** Settings that all roles share. */
object CommonSettings {
    val INSTANCE = textSetting("instance", "Name of this instance, unique in the deployment.", "name")
    val LISTEN = addressSetting("listen", "Address that other processes of the system connect to.")
    val PLATFORM_LISTEN = addressSetting("platform-listen", "Address of /livez, /readyz and /metrics.")
    val REGION = textSetting("region", "Region of this instance.", "name", "default")
    val DATA_CENTRE = textSetting("data-centre", "Data centre of this instance.", "name")
    val CONTROL = addressListSetting("control", "Addresses of the control instances.")
    val LOG_FORMAT = choiceSetting("log-format", "Form of log lines.", "plain", listOf("plain", "json"))
    val LOG_LEVEL =
        choiceSetting("log-level", "Lowest level that is logged.", "info", listOf("debug", "info", "warn", "error"))
    val OTLP_ENDPOINT =
        textSetting("otlp-endpoint", "OTLP/HTTP endpoint for traces; empty records none.", "URL", "")
    val GRACE =
        numberSetting(
            "grace-ms",
            "Time between failing /readyz and closing the listeners on a planned stop.",
            "ms",
            DEFAULT_GRACE_MS,
            0L..MAX_GRACE_MS,
        )
    val DRAIN_TIMEOUT =
        numberSetting(
            "drain-timeout-ms",
            "Longest time that a planned stop waits for running requests.",
            "ms",
            DEFAULT_DRAIN_TIMEOUT_MS,
            0L..MAX_DRAIN_TIMEOUT_MS,
        )

    /** Settings of every role. */
    val ALL: List<Setting<*>> =
        listOf(
            INSTANCE,
            LISTEN,
            PLATFORM_LISTEN,
            REGION,
            DATA_CENTRE,
            LOG_FORMAT,
            LOG_LEVEL,
            OTLP_ENDPOINT,
            GRACE,
            DRAIN_TIMEOUT,
        )

    private const val DEFAULT_GRACE_MS = 2_000L
    private const val MAX_GRACE_MS = 120_000L
    private const val DEFAULT_DRAIN_TIMEOUT_MS = 300_000L
    private const val MAX_DRAIN_TIMEOUT_MS = 3_600_000L
}

/** Log format chosen by the settings. */
internal fun Settings.logFormat(): LogFormat =
    if (this[CommonSettings.LOG_FORMAT] == "json") LogFormat.JSON else LogFormat.PLAIN

/** Tracing for a process in [role]; disabled without an OTLP endpoint. */
internal fun Settings.tracing(role: String): Tracing {
    val endpoint = this[CommonSettings.OTLP_ENDPOINT]
    if (endpoint.isEmpty()) return Tracing.disabled()
    return Tracing.exporting(endpoint, role, this[CommonSettings.INSTANCE])
}
