package org.bramleyspur.daemon.process

import org.bramleyspur.core.settings.Setting
import org.bramleyspur.core.settings.SettingError
import org.bramleyspur.core.settings.Settings
import org.bramleyspur.core.settings.addressSetting
import org.bramleyspur.core.settings.numberSetting
import org.bramleyspur.core.settings.textSetting

/** Settings of the entry role. */
object EntrySettings {
    val CALLER_LISTEN = addressSetting("caller-listen", "Address that callers connect to.")
    val TLS_CERTIFICATE =
        textSetting("tls-certificate", "Certificate chain for callers; empty for no TLS.", "PEM file", "")
    val TLS_KEY = textSetting("tls-key", "Private key of the certificate.", "PEM file", "")
    val REMOTE_ROUND_TRIP = numberSetting(
        "remote-round-trip-ms",
        "Round trip to other data centres, as routing counts it.",
        "ms",
        DEFAULT_ROUND_TRIP_MS,
        0L..MAX_LINK_MS,
    )
    val REMOTE_PENALTY = numberSetting(
        "remote-penalty-ms",
        "Extra cost of a link to another data centre, as waiting time that routing would accept to avoid it.",
        "ms",
        DEFAULT_PENALTY_MS,
        0L..MAX_LINK_MS,
    )

    /** All settings of the role. */
    val ALL: List<Setting<*>> =
        CommonSettings.ALL.filter { it !== CommonSettings.LISTEN } +
            listOf(CommonSettings.CONTROL, CALLER_LISTEN, TLS_CERTIFICATE, TLS_KEY, REMOTE_ROUND_TRIP, REMOTE_PENALTY)

    /** Returns the first contradiction among [settings], or null. */
    fun check(settings: Settings): SettingError? {
        if (settings[TLS_CERTIFICATE].isEmpty() == settings[TLS_KEY].isEmpty()) return null
        return SettingError.Contradictory("--tls-certificate and --tls-key go together; give both or neither")
    }

    private const val DEFAULT_ROUND_TRIP_MS = 6L
    private const val DEFAULT_PENALTY_MS = 10L
    private const val MAX_LINK_MS = 10_000L
}
