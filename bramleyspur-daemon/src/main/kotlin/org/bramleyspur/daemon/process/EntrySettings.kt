package org.bramleyspur.daemon.process

import org.bramleyspur.core.settings.Setting
import org.bramleyspur.core.settings.SettingError
import org.bramleyspur.core.settings.Settings
import org.bramleyspur.core.settings.addressSetting
import org.bramleyspur.core.settings.textSetting

/** Settings of the entry role. */
object EntrySettings {
    val CALLER_LISTEN = addressSetting("caller-listen", "Address that callers connect to.")
    val TLS_CERTIFICATE =
        textSetting("tls-certificate", "Certificate chain for callers; empty for no TLS.", "PEM file", "")
    val TLS_KEY = textSetting("tls-key", "Private key of the certificate.", "PEM file", "")

    /** All settings of the role. */
    val ALL: List<Setting<*>> =
        CommonSettings.ALL.filter { it !== CommonSettings.LISTEN } +
            listOf(CommonSettings.CONTROL, CALLER_LISTEN, TLS_CERTIFICATE, TLS_KEY)

    /** The first contradiction among [settings], or null. */
    fun check(settings: Settings): SettingError? {
        if (settings[TLS_CERTIFICATE].isEmpty() == settings[TLS_KEY].isEmpty()) return null
        return SettingError.Contradictory("--tls-certificate and --tls-key go together; give both or neither")
    }
}
