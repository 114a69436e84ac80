package org.bramleyspur.cli

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.sun.net.httpserver.HttpServer
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.bramleyspur.core.document.ClientLimits
import org.bramleyspur.core.document.Document
import org.bramleyspur.core.document.DocumentAccount
import org.bramleyspur.core.document.DocumentError
import org.bramleyspur.core.document.DocumentForm
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import java.net.InetSocketAddress
import java.nio.file.Path
import kotlin.io.path.writeText

private const val KEY = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"
private const val ACCOUNT = "create account kitchen key sha256 '$KEY';"
private const val STATEMENTS = "$ACCOUNT create service book plain accounts 'kitchen';"

/** Documents of the test: a version, and an account without keys if the text has an A. */
private object TestForm : DocumentForm {
    override val readPath = "/"

    override fun decode(bytes: ByteArray) = when (val version = bytes.decodeToString().filter { it.isDigit() }) {
        "" -> Err(DocumentError("no version"))
        else -> Ok(
            Document(
                version.toLong(),
                persistentListOf(),
                persistentMapOf(),
                if ('A' in bytes.decodeToString()) ACCOUNTS else null,
                ClientLimits(),
            ),
        )
    }

    private val ACCOUNTS = persistentListOf(DocumentAccount("a", persistentListOf(), null))
}

/** Guards against exit codes with which a script sends what the system refuses, and against a wrong comparison. */
class CheckTest {
    @TempDir
    lateinit var directory: Path

    private class Case(
        val content: String,
        val flags: String,
        val code: ExitCode,
        val text: String,
        val against: String? = null,
    )

    private val cases = listOf(
        Case("{7}", "", ExitCode.DONE, "nothing found"),
        Case("[]", "", ExitCode.REFUSED, "no version"),
        Case("{7A}", "", ExitCode.DONE, "account 'a' has no key"),
        Case("{7A}", "--strict", ExitCode.REFUSED, "account 'a' has no key"),
        Case("{7}", "--strict", ExitCode.DONE, "nothing found", against = "{7}"),
        Case("{8}", "--strict", ExitCode.DONE, "account 'a' is removed", against = "{7A}"),
        Case("{7}", "--strict", ExitCode.REFUSED, "version 7 is not above 7", against = "{7A}"),
        Case("{7}", "", ExitCode.USAGE, "to compare with is invalid: no version", against = "[]"),
        Case("{7}", "--against in-force --timeout-ms 500", ExitCode.UNAVAILABLE, "127.0.0.1:1"),
        Case(STATEMENTS, "--strict", ExitCode.DONE, "nothing found"),
        Case("creat", "", ExitCode.REFUSED, "line 1, column 1"),
        Case("create service book plain accounts 'bar'", "", ExitCode.REFUSED, "account bar, which does not exist"),
        Case(ACCOUNT, "--strict", ExitCode.REFUSED, "no service names the account kitchen"),
        Case("create service book plain", "", ExitCode.DONE, "names no account, so nobody may call it"),
        Case(STATEMENTS.replaceFirst("';", "' patience 3 m;"), "", ExitCode.DONE, "is above the timeout of"),
        Case(STATEMENTS, "", ExitCode.DONE, "difference  create service book", against = ACCOUNT),
    )

    private fun run(args: List<String>, control: String = "127.0.0.1:1"): Pair<ExitCode, String> {
        val out = ByteArrayOutputStream()
        val stream = PrintStream(out)
        val code = run(args, mapOf(CONTROL_VARIABLE to control), Console(stream, stream) { "" }, TestForm)
        return code to out.toString()
    }

    private fun file(name: String, content: String) = directory.resolve(name).also { it.writeText(content) }.toString()

    @TestFactory
    fun `each result has its exit code`() = cases.mapIndexed { i, case ->
        DynamicTest.dynamicTest("${case.content} ${case.flags}") {
            val against = case.against?.let { listOf("--against", file("against-$i", it)) }.orEmpty()
            val flags = case.flags.split(' ').filter { it.isNotEmpty() }
            val result = run(listOf("check", file("checked-$i", case.content)) + flags + against)
            expectThat(result).get { first }.isEqualTo(case.code)
            expectThat(result).get { second }.contains(case.text)
        }
    }

    @Test
    fun `a missing file and flags of other commands are usage errors`() {
        expectThat(run(listOf("check", "$directory/none"))).get { first }.isEqualTo(ExitCode.USAGE)
        expectThat(run(listOf("show services", "--strict"))).get { first }.isEqualTo(ExitCode.USAGE)
    }

    /** The first instance is not in reach, and the second one redirects to the leader. */
    @Test
    fun `a document is compared with the one in force at the leader`() {
        val server = HttpServer.create(InetSocketAddress("127.0.0.1", 0), 0)
        try {
            val address = "127.0.0.1:${server.address.port}"
            server.createContext("/") { exchange ->
                exchange.responseHeaders.add("Location", "http://$address/leader")
                exchange.sendResponseHeaders(307, -1)
            }
            server.createContext("/leader") { exchange ->
                exchange.sendResponseHeaders(200, 4)
                exchange.responseBody.use { it.write("{7A}".encodeToByteArray()) }
            }
            server.start()
            val result = run(listOf("check", file("next", "{8}"), "--against", "7"), "127.0.0.1:1,$address")
            expectThat(result).get { first }.isEqualTo(ExitCode.DONE)
            expectThat(result).get { second }.contains("account 'a' is removed")
        } finally {
            server.stop(0)
        }
    }

    @Test
    fun `statements are compared with the revision in force, and only with the expected one`() {
        FakeControlInstance().use { control ->
            control.onQuery = { queryReply(listOf("statement"), listOf(STATEMENTS.trimEnd(';'))) }
            val file = file("statements", "$STATEMENTS drain instance i1")
            val json = run(listOf("check", file, "--against", "7", "--output", "json"), control.address)
            expectThat(json).isEqualTo(
                ExitCode.DONE to
                    """{"outcome":"checked","findings":[{"kind":"difference","message":"drain instance i1"}]}""" + "\n",
            )
            val other = run(listOf("check", file, "--against", "6"), control.address)
            expectThat(other).get { first }.isEqualTo(ExitCode.USAGE)
            expectThat(other).get { second }.contains("version 7 is in force, not 6")
        }
    }
}
