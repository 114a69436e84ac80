package org.bramleyspur.language

import com.github.michaelbull.result.getError
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.junit.jupiter.api.Assertions.assertTimeoutPreemptively
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotNull
import java.time.Duration

/** Guards against errors at the wrong position, and against texts that hang or crash the parser. */
class SyntaxErrorTest {
    class Case(val text: String, val line: Int, val column: Int, val message: String, vararg val expected: String) {
        override fun toString() = text
    }

    @ParameterizedTest
    @MethodSource("cases")
    fun `an error has the position and what was expected`(case: Case) {
        val error = parse(case.text).getError()
        expectThat(error).isNotNull().and {
            get { line to column }.isEqualTo(case.line to case.column)
            get { message }.contains(case.message)
            get { expected }.contains(*case.expected)
        }
    }

    @ParameterizedTest
    @MethodSource("largeTexts")
    fun `a large text is parsed or rejected within 20 seconds`(text: String) {
        assertTimeoutPreemptively(Duration.ofSeconds(20)) { parse(text) }
    }

    @Test
    fun `a text over the length limit is rejected`() {
        val text = " ".repeat(MAX_TEXT_LENGTH + 1)
        expectThat(parse(text).getError()).isNotNull().get { message }.contains("longer than")
    }

    @Property(seed = "20260101", tries = 500)
    fun `any text gives a result`(@ForAll text: String) {
        parse(text).getError()?.let { expectThat(it.line).isGreaterThan(0) }
    }

    /** Random sequences of keywords reach more of the grammar than random characters. */
    @Property(seed = "20260102", tries = 2000)
    fun `any sequence of words gives a result`(@ForAll indexes: List<Int>) {
        val text = indexes.joinToString(" ") { words[Math.floorMod(it, words.size)] }
        parse(text).getError()?.let { expectThat(it.column).isGreaterThan(0) }
    }

    private companion object {
        val words = (
            "create alter drop drain return roll out back to show why service services account accounts model " +
                "version adapters instances replicas plain non idempotent retention timeout key sha256 limit " +
                "weight priority patience none ms h 1 99999999999 'a' \"b\" a b , ; # -- ' \" % change of instance " +
                "admit remove control at in place"
            ).split(" ")

        @JvmStatic
        fun cases() = listOf(
            Case("crate service a", 1, 1, "found crate", "create", "show"),
            Case("create servce a", 1, 8, "found servce", "service", "account"),
            Case("create service", 1, 15, "found the end of the text", "a name"),
            Case("create service a modle 'm'", 1, 18, "found modle", "model", "plain", "';'"),
            Case("create service a plain\n accounts 'k',\n  ;", 3, 3, "expected a name, found ;", "a name"),
            Case("alter service a", 1, 16, "found the end of the text", "version"),
            Case("create service a version 'v1", 1, 26, "not closed", "a name"),
            Case("create account k weight heavy", 1, 25, "expected a number, found heavy", "a number"),
            Case("create account k patience 300", 1, 30, "expected a unit (ms, s, m, h, d)"),
            Case("create account k weight 2 weight 3", 1, 27, "the property weight is given twice"),
            Case("create account k weight 2147483648", 1, 25, "largest value here is 2147483647"),
            Case("create account k patience 9223372036854775807 h", 1, 27, "too large"),
            Case("create service a replicas d 1, d 2", 1, 32, "data centre d is given twice"),
            Case("show change 99999999999999999999", 1, 13, "too large"),
            Case("show services\ndrop service a", 2, 1, "found drop", "';'"),
            Case("show\tchange -1", 1, 13, "found the character -", "a number"),
            Case("admit control c4 to 'a:1'", 1, 18, "found to", "at"),
            Case("admit control c4 at 'a:1' in c1", 1, 30, "found c1", "place"),
            Case("admit service a", 1, 7, "found service", "control"),
            Case("drop service a;\n%", 2, 1, "found the character %"),
        )

        @JvmStatic
        fun largeTexts() = listOf(
            "'".repeat(100_000),
            "'" + "''".repeat(400_000),
            "a".repeat(1_000_000),
            "#\n".repeat(300_000) + "show",
            ";".repeat(300_000),
            "show services;".repeat(40_000),
            "create service a accounts " + "'k',".repeat(100_000),
            "create service a " + "weight ".repeat(100_000),
            "-".repeat(500_000),
            "1".repeat(500_000),
        )
    }
}
