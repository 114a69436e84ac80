package org.bramleyspur.core.settings

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo

private val LISTEN = addressSetting("listen", "Listener.")
private val GRACE = numberSetting("grace", "Grace period.", "ms", 500, 0L..10_000L)
private val FORMAT = choiceSetting("log-format", "Log format.", "plain", listOf("plain", "json"))
private val ALL = listOf(LISTEN, GRACE, FORMAT)

/** Guards against invalid settings that pass unnoticed or are reported without name, value and remedy. */
class SettingsTest {
    data class Case(val arguments: List<String>, val environment: Map<String, String>, val error: List<String>)

    @ParameterizedTest
    @MethodSource("wrongSettings")
    fun `names the setting, the value and the remedy`(case: Case) {
        val error = readSettings("test", ALL, case.arguments, case.environment).getError()
        case.error.forEach { expectThat(error?.message.orEmpty()).contains(it) }
    }

    @ParameterizedTest
    @MethodSource("rightSettings")
    fun `flags take precedence over environment variables, and those over defaults`(
        arguments: List<String>,
        environment: Map<String, String>,
        grace: Long,
    ) {
        val settings = readSettings("test", ALL, arguments, environment).get()
        expectThat(settings?.get(GRACE)).isEqualTo(grace)
        expectThat(settings?.get(LISTEN)).isEqualTo(Address("127.0.0.1", 80))
    }

    companion object {
        private val listen = listOf("--listen", "127.0.0.1:80")

        @JvmStatic
        fun wrongSettings(): List<Case> = listOf(
            Case(emptyList(), emptyMap(), listOf("--listen", "missing", "BRAMLEYSPUR_LISTEN")),
            Case(listOf("--listen", "localhost"), emptyMap(), listOf("--listen", "'localhost'", "IP:PORT")),
            Case(listOf("--listen", "127.0.0.1:99999"), emptyMap(), listOf("127.0.0.1:99999", "65535")),
            Case(listen + listOf("--grace", "soon"), emptyMap(), listOf("--grace", "'soon'", "whole number")),
            Case(listen + listOf("--grace", "-1"), emptyMap(), listOf("--grace", "'-1'", "between 0 and 10000")),
            Case(listen + listOf("--log-format", "xml"), emptyMap(), listOf("--log-format", "'xml'", "json")),
            Case(listen + listOf("--lisen", "1"), emptyMap(), listOf("--lisen", "unknown", "--listen")),
            Case(listen, mapOf("BRAMLEYSPUR_GRAZE" to "1"), listOf("BRAMLEYSPUR_GRAZE", "BRAMLEYSPUR_GRACE")),
        )

        @JvmStatic
        fun rightSettings(): List<Array<Any>> = listOf(
            arrayOf(listen, emptyMap<String, String>(), 500L),
            arrayOf(listen, mapOf("BRAMLEYSPUR_GRACE" to "7"), 7L),
            arrayOf(listen + listOf("--grace", "9"), mapOf("BRAMLEYSPUR_GRACE" to "7"), 9L),
        )
    }
}
