package org.bramleyspur.daemon.process

import org.bramleyspur.core.settings.Setting
import org.bramleyspur.core.settings.SettingError
import org.bramleyspur.core.settings.Settings
import org.bramleyspur.core.settings.addressSetting
import org.bramleyspur.core.settings.choiceSetting
import org.bramleyspur.core.settings.numberSetting
import org.bramleyspur.core.settings.textSetting

/** Settings of the agent role. */
object AgentSettings {
    val BACKEND = addressSetting("backend", "Address of the backend server beside this agent.")
    val BACKEND_KIND = choiceSetting("backend-kind", "Kind of the backend server.", null, listOf("engine", "plain"))
    val SERVICE = textSetting("service", "Service that a plain backend server provides.", "name", "")
    val FABRIC_DOMAIN = textSetting("fabric-domain", "Fabric domain of an engine's instance.", "name", "")
    val ACCELERATORS =
        numberSetting("accelerators", "Accelerators of the instance.", "devices", 0, 0L..MAX_ACCELERATORS)
    val LOCK_PORT = numberSetting(
        "lock-port",
        "Loopback port that keeps a second agent off this backend server; 0 derives one from the backend's port.",
        "port",
        0,
        0L..MAX_PORT,
    )

    /** All settings of the role. */
    val ALL: List<Setting<*>> = CommonSettings.ALL +
        listOf(CommonSettings.CONTROL, BACKEND, BACKEND_KIND, SERVICE, FABRIC_DOMAIN, ACCELERATORS, LOCK_PORT)

    /** Returns the first contradiction among [settings], or null. */
    fun check(settings: Settings): SettingError? {
        val plain = settings[BACKEND_KIND] == "plain"
        return when {
            plain && settings[SERVICE].isEmpty() ->
                SettingError.Contradictory("--backend-kind plain needs --service; name the service it provides")

            plain && settings[FABRIC_DOMAIN].isNotEmpty() ->
                SettingError.Contradictory("--fabric-domain is for engines; remove it or use --backend-kind engine")

            !plain && settings[SERVICE].isNotEmpty() ->
                SettingError.Contradictory("--service is for plain backend servers; remove it")

            !plain && settings[FABRIC_DOMAIN].isEmpty() ->
                SettingError.Contradictory("--backend-kind engine needs --fabric-domain; name its fabric domain")

            else -> null
        }
    }

    private const val MAX_ACCELERATORS = 1_024L
    private const val MAX_PORT = 65_535L
}
