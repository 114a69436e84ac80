package org.bramleyspur.cli

import io.grpc.Status
import org.bramleyspur.protocol.QueryReply
import org.bramleyspur.protocol.SubmitReply.Outcome
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotEqualTo
import strikt.assertions.startsWith
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import java.net.InetAddress
import java.net.ServerSocket
import java.nio.file.Path
import kotlin.io.path.writeText

/** Guards against commands that run twice, and against exit codes that do not match the outcome. */
class RunTest {
    private class RunResult(val code: ExitCode, val out: String, val err: String)

    private val first = FakeControlInstance()
    private val second = FakeControlInstance()

    @AfterEach
    fun stop() {
        first.close()
        second.close()
    }

    private fun run(
        vararg args: String,
        control: String = "${first.address},${second.address}",
        input: String = "",
        timeoutMs: Int = 3000,
    ): RunResult {
        val out = ByteArrayOutputStream()
        val err = ByteArrayOutputStream()
        val console = Console(PrintStream(out), PrintStream(err)) { input }
        val arguments = listOf("--timeout-ms", "$timeoutMs") + args
        return RunResult(run(arguments, mapOf(CONTROL_VARIABLE to control), console), out.toString(), err.toString())
    }

    private fun closedAddress(): String = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use {
        "127.0.0.1:${it.localPort}"
    }

    @Test
    fun `an accepted command ends with 0, a refused one with 1`() {
        first.onSubmit = { submitReply(Outcome.ACCEPTED, message = "accepted as revision 7") }
        expectThat(run("drain", "instance", "i1")) {
            get { code }.isEqualTo(ExitCode.DONE)
            get { out }.isEqualTo("accepted as revision 7\n")
        }
        first.onSubmit = { submitReply(Outcome.REFUSED, message = "no") }
        expectThat(run("drain instance i1")) {
            get { code }.isEqualTo(ExitCode.REFUSED)
            get { err }.isEqualTo("refused: no (current revision 7)\n")
        }
        expectThat(first.submitted[0]) {
            get { statements }.isEqualTo("drain instance i1;\n")
            get { expectedRevision }.isEqualTo(0)
            get { commandId.length }.isEqualTo(36)
        }
        expectThat(first.submitted[0].commandId).isNotEqualTo(first.submitted[1].commandId)
    }

    @Test
    fun `expected revision and command id are passed on, and the reply to a repeated command is marked`() {
        first.onSubmit = { submitReply(Outcome.ACCEPTED, repeated = true) }
        val result = run("--expect-revision", "6", "--command-id", "x", "drain instance i1")
        expectThat(result.out).isEqualTo("accepted as revision 7 (answer to an earlier delivery of this command)\n")
        expectThat(first.submitted.single()) {
            get { commandId }.isEqualTo("x")
            get { expectedRevision }.isEqualTo(6)
        }
    }

    @Test
    fun `a call is retried at the named leader, or at the next instance if no leader is named`() {
        second.onSubmit = { submitReply(Outcome.ACCEPTED) }
        first.onSubmit = { submitReply(Outcome.NOT_LEADER, leader = second.address) }
        expectThat(run("drain instance i1", control = first.address).code).isEqualTo(ExitCode.DONE)
        first.onSubmit = { submitReply(Outcome.NOT_LEADER) }
        expectThat(run("drain instance i1").code).isEqualTo(ExitCode.DONE)
        expectThat(second.submitted).hasSize(2)
    }

    @Test
    fun `two instances that name each other as leader are not called in a tight loop`() {
        first.onSubmit = { submitReply(Outcome.NOT_LEADER, leader = second.address) }
        second.onSubmit = { submitReply(Outcome.NOT_LEADER, leader = first.address) }
        expectThat(run("drain instance i1", timeoutMs = 1000).code).isEqualTo(ExitCode.UNAVAILABLE)
        expectThat(first.submitted.size + second.submitted.size < 40).isEqualTo(true)
    }

    @Test
    fun `an unfinished command is retried under the same id until it gets a final reply`() {
        first.onSubmit = { submitReply(Outcome.UNAVAILABLE, message = "no quorum") }
        second.onSubmit = {
            if (second.submitted.size < 3) throw Status.INTERNAL.asRuntimeException()
            submitReply(Outcome.ACCEPTED)
        }
        expectThat(run("drain instance i1").code).isEqualTo(ExitCode.DONE)
        expectThat((first.submitted + second.submitted).map { it.commandId }.toSet()).hasSize(1)
        expectThat(first.submitted.size).isGreaterThan(1)
    }

    @Test
    fun `a command that was sent and got no reply ends with 3 and prints the id to retry it with`() {
        expectThat(run("--command-id", "x", "drain instance i1", control = first.address, timeoutMs = 500)) {
            get { code }.isEqualTo(ExitCode.UNKNOWN)
            get { err }.contains("may have taken effect or not").contains("--command-id x")
        }
        val json = run("--output", "json", "drain instance i1", control = first.address, timeoutMs = 500)
        expectThat(json.out).startsWith("{\"outcome\":\"unknown\"").contains("commandId")
    }

    @Test
    fun `the outcome stays unknown after a lost reply when later instances cannot be reached`() {
        first.onSubmit = { first.close().let { null } }
        expectThat(run("drain instance i1", control = "${first.address},${closedAddress()}", timeoutMs = 1000).code)
            .isEqualTo(ExitCode.UNKNOWN)
    }

    @Test
    fun `a command that reached no instance ends with 4`() {
        expectThat(run("drain instance i1", control = closedAddress(), timeoutMs = 500)) {
            get { code }.isEqualTo(ExitCode.UNAVAILABLE)
            get { err }.contains("nothing was changed")
        }
        first.onSubmit = { submitReply(Outcome.NOT_LEADER) }
        expectThat(run("drain instance i1", control = first.address, timeoutMs = 500).code)
            .isEqualTo(ExitCode.UNAVAILABLE)
    }

    @Test
    fun `a query without a reply ends with 4, a refused one with 1`() {
        expectThat(run("show services", timeoutMs = 500).code).isEqualTo(ExitCode.UNAVAILABLE)
        first.onQuery = {
            QueryReply.newBuilder().setOutcome(QueryReply.Outcome.REFUSED).setMessage("no such service").build()
        }
        expectThat(run("why", "x", control = first.address)) {
            get { code }.isEqualTo(ExitCode.REFUSED)
            get { err }.contains("no such service")
        }
    }

    @Test
    fun `rows are written as a table or as JSON`() {
        first.onQuery = { queryReply(listOf("service", "kind"), listOf("recipes", "model"), listOf("b", "plain\nx")) }
        expectThat(run("show services").out).isEqualTo("service  kind\nrecipes  model\nb        plain x\n")
        expectThat(run("show services", "--output", "json").out).isEqualTo(
            """{"outcome":"answered","revision":7,"rows":[{"service":"recipes","kind":"model"},""" +
                """{"service":"b","kind":"plain\nx"}]}""" + "\n",
        )
    }

    @Test
    fun `several queries are sent one after the other, from standard input or a file`(@TempDir directory: Path) {
        first.onQuery = { queryReply(listOf("a"), listOf("1")) }
        val text = "show services;\n# all of them\nshow accounts"
        val file = directory.resolve("statements").apply { writeText(text) }
        expectThat(run(input = text).code).isEqualTo(ExitCode.DONE)
        expectThat(run("--file", "$file").code).isEqualTo(ExitCode.DONE)
        expectThat(
            first.queried.toList(),
        ).isEqualTo(listOf("show services", "show accounts", "show services", "show accounts"))
    }

    @Test
    fun `invalid statements end with 2 and are not sent`(@TempDir directory: Path) {
        val cases = listOf(
            run("drian instance i1"),
            run(input = ""),
            run("show services; drain instance i1"),
            run("--expect-revision", "3", "show services"),
            run("--file", "$directory/missing"),
            run("diff", "$directory/missing"),
            run("diff", input = "drop service a"),
            run("apply", input = "create service a plain; create service a plain"),
            run("apply", input = "roll out a to v2"),
        )
        expectThat(cases.map { it.code }.toSet()).isEqualTo(setOf(ExitCode.USAGE))
        expectThat(cases[0].err).contains("line 1, column 1: expected create or")
        expectThat(first.submitted + first.queried).isEmpty()
    }

    @Test
    fun `diff prints the statements and sends none`() {
        first.onQuery =
            { queryReply(listOf("statement"), listOf("create service a plain"), listOf("drain instance i1")) }
        val result = run("diff", input = "create service a plain timeout 1 s; drain instance i2")
        expectThat(result) {
            get { code }.isEqualTo(ExitCode.DONE)
            get { out }.isEqualTo("alter service a timeout 1 s;\nreturn instance i1;\ndrain instance i2;\n")
        }
        expectThat(first.queried.toList()).isEqualTo(listOf("show configuration"))
        expectThat(first.submitted).isEmpty()
    }

    @Test
    fun `apply submits the difference and expects the revision that it was computed from`() {
        first.onQuery = { queryReply(listOf("statement"), listOf("create service a plain")) }
        first.onSubmit = { submitReply(Outcome.ACCEPTED, revision = 8) }
        val result = run("apply", input = "create service a plain; drain instance i2")
        expectThat(result.out).isEqualTo("drain instance i2;\naccepted as revision 8\n")
        expectThat(first.submitted.single()) {
            get { statements }.isEqualTo("drain instance i2;\n")
            get { expectedRevision }.isEqualTo(7)
        }
        expectThat(run("apply", input = "create service a plain").out).isEqualTo("-- no difference at revision 7\n")
        expectThat(first.submitted).hasSize(1)
    }

    @Test
    fun `a change of the control members is sent alone and without an expected revision`() {
        first.onSubmit = { submitReply(Outcome.ACCEPTED, message = it.statements.trim()) }
        expectThat(run("remove control 'c1'")) {
            get { code }.isEqualTo(ExitCode.DONE)
            get { out }.contains("remove control 'c1';")
        }
        expectThat(run("remove control 'c1'; drain instance i1").code).isEqualTo(ExitCode.USAGE)
        expectThat(run("--expect-revision", "3", "remove control 'c1'").code).isEqualTo(ExitCode.USAGE)
    }
}
