package org.bramleyspur.core.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.combine

/**
 * One setting of a program, given as the flag `--name` or as the environment variable [environmentName].
 *
 * @property unit unit or format of the value, shown in the help text
 * @property default value used when the setting is absent; null makes the setting mandatory
 * @property parse parses the value, or returns what is wrong with it and the remedy
 */
class Setting<T>(
    val name: String,
    val help: String,
    val unit: String,
    val default: String?,
    val parse: (String) -> Result<T, String>,
) {
    /** Name of the environment variable that can be used instead of the flag. */
    val environmentName: String = ENVIRONMENT_PREFIX + name.uppercase().replace('-', '_')

    companion object {
        /** Prefix of all environment variables that the programs read. */
        const val ENVIRONMENT_PREFIX = "BRAMLEYSPUR_"
    }
}

/** A setting that accepts any text; an empty [default] makes it optional. */
fun textSetting(name: String, help: String, unit: String = "text", default: String? = null): Setting<String> =
    Setting(name, help, unit, default) { Ok(it) }

/** A setting that accepts an integer within [range]. */
fun numberSetting(name: String, help: String, unit: String, default: Long?, range: LongRange): Setting<Long> =
    Setting(name, help, unit, default?.toString()) { text ->
        val number = text.toLongOrNull()
        when {
            number == null -> Err("is not a whole number; give $unit between ${range.first} and ${range.last}")
            number !in range -> Err("is out of range; give $unit between ${range.first} and ${range.last}")
            else -> Ok(number)
        }
    }

/** A setting that accepts one of [choices]. */
fun choiceSetting(name: String, help: String, default: String?, choices: List<String>): Setting<String> =
    Setting(name, help, choices.joinToString("|"), default) { text ->
        if (text in choices) Ok(text) else Err("is not allowed; give one of ${choices.joinToString()}")
    }

/** A setting that accepts `IP:PORT`. */
fun addressSetting(name: String, help: String, default: String? = null): Setting<Address> =
    Setting(name, help, "IP:PORT", default) { Address.parse(it) }

/** A setting that accepts a comma-separated list of `IP:PORT`. */
fun addressListSetting(name: String, help: String, default: String? = null): Setting<List<Address>> =
    Setting(name, help, "IP:PORT,...", default) { text ->
        val addresses = text.split(',').filter { it.isNotBlank() }.map { Address.parse(it.trim()) }
        if (addresses.isEmpty()) Err("is empty; give at least one IP:PORT") else addresses.combine()
    }
