package org.bramleyspur.core.json

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against input whose nesting overflows the parser's stack, or whose size exhausts the memory of a process. */
class BoundedJsonTest {
    private class Case(val name: String, val text: String, val accepted: Boolean)

    private fun nested(levels: Int, open: String = "[", close: String = "]") =
        open.repeat(levels) + close.repeat(levels)

    private val cases = listOf(
        Case("arrays at the limit", nested(MAX_JSON_DEPTH), true),
        Case("arrays above the limit", nested(MAX_JSON_DEPTH + 1), false),
        Case(
            "objects above the limit",
            "{\"a\":".repeat(MAX_JSON_DEPTH + 1) + "1" + "}".repeat(MAX_JSON_DEPTH + 1),
            false,
        ),
        Case("mixed above the limit", "[{\"a\":".repeat(MAX_JSON_DEPTH) + "1" + "}]".repeat(MAX_JSON_DEPTH), false),
        Case("unfinished arrays", "[".repeat(500_000), false),
        Case("unfinished objects", "{\"a\":".repeat(100_000), false),
        Case("many side by side", "[" + List(1_000) { "[[]]" }.joinToString(",") + "]", true),
        Case("brackets in a string", "\"" + "[{".repeat(1_000) + "\"", true),
        Case("brackets after an escaped quote", "\"\\\"" + "[".repeat(1_000) + "\"", true),
        Case("brackets after an escaped backslash", "[\"\\\\\"," + nested(MAX_JSON_DEPTH) + "]", false),
        Case("too many values", "[" + "1,".repeat(MAX_JSON_VALUES) + "1]", false),
        Case("many commas in a string", "\"" + ",".repeat(MAX_JSON_VALUES + 1) + "\"", true),
    )

    @TestFactory
    fun `input beyond a limit is refused before it is parsed`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            expectThat(onSmallStack { parses(case.text) }).isEqualTo(Result.success(case.accepted))
        }
    }

    private fun parses(text: String): Boolean = try {
        Json.parseBounded(text)
        true
    } catch (_: SerializationException) {
        false
    }

    private fun <T> onSmallStack(action: () -> T): Result<T> {
        var result: Result<T>? = null
        val thread = Thread(null, { result = runCatching(action) }, "small-stack", SMALL_STACK_BYTES)
        thread.start()
        thread.join()
        return result!!
    }

    private companion object {
        /** Stack size of the deployed processes' threads. */
        const val SMALL_STACK_BYTES = 256 * 1024L
    }
}
