package org.bramleyspur.cli

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull

/** Guards against command lines that are misread, and against exit codes other than 2 for invalid ones. */
class OptionsTest {
    private val environment = mapOf(CONTROL_VARIABLE to "127.0.0.1:1")

    @ParameterizedTest
    @MethodSource("invalidCommandLines")
    fun `an error message for an invalid command line names the flag and the allowed values`(
        case: Pair<List<String>, String>,
    ) {
        expectThat(parseOptions(case.first, environment).getError())
            .isA<EarlyExit.InvalidUsage>()
            .get { error.message }
            .contains(case.second)
    }

    @Test
    fun `without control addresses the error message names the flag and the variable`() {
        expectThat(parseOptions(listOf("show services"), emptyMap()).getError())
            .isA<EarlyExit.InvalidUsage>()
            .get { error.message }
            .contains("--control host:port,host:port or set BRAMLEYSPUR_CONTROL")
    }

    @Test
    fun `all flags are parsed, and flags override the environment`() {
        val args = "--control [::1]:5,h:6 --output json --expect-revision 4 --command-id x --timeout-ms 9 diff f".split(
            " ",
        )
        expectThat(parseOptions(args, environment).get()).isEqualTo(
            Options(
                action = Action.DIFF,
                statementArguments = emptyList(),
                file = "f",
                control = listOf(ControlAddress("::1", 5), ControlAddress("h", 6)),
                output = OutputFormat.JSON,
                expectedRevision = 4,
                commandId = "x",
                timeoutMs = 9,
            ),
        )
    }

    @Test
    fun `defaults are used for flags that are not given`() {
        expectThat(parseOptions(listOf("show", "services"), environment).get()).isNotNull().and {
            get { action }.isEqualTo(Action.SEND)
            get { statementArguments }.isEqualTo(listOf("show", "services"))
            get { output }.isEqualTo(OutputFormat.TABLE)
            get { timeoutMs }.isEqualTo(DEFAULT_TIMEOUT_MS)
        }
    }

    @Test
    fun `help states units and defaults`() {
        expectThat(parseOptions(listOf("--help"), emptyMap()).getError())
            .isA<EarlyExit.Help>()
            .get { text }
            .contains("Milliseconds")
            .contains("10000")
    }

    private companion object {
        @JvmStatic
        fun invalidCommandLines() = listOf(
            listOf("--unknown") to "--unknown",
            listOf("--timeout-ms") to "timeout-ms",
            listOf("--timeout-ms", "x") to "--timeout-ms is x; give a whole number from 1",
            listOf("--timeout-ms", "0") to "--timeout-ms is 0",
            listOf("--timeout-ms", "2147483648") to "to 2147483647",
            listOf("--expect-revision", "-1") to "--expect-revision",
            listOf("--command-id", "") to "--command-id is empty",
            listOf("--output", "xml") to "output",
            listOf("--control", "host") to "\"host\" in --control is not an address",
            listOf("--control", "a:1,b:70000") to "\"b:70000\" in --control",
            listOf("--control", "") to "no control instance is given",
            listOf("--file", "f", "show services") to "both --file and statements",
            listOf("--file", "f", "diff", "g") to "both --file and statements",
            listOf("diff", "f", "g") to "take one file",
        )
    }
}
