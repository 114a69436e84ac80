package org.bramleyspur.cli

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.mapError
import org.bramleyspur.core.document.DocumentForm
import org.bramleyspur.language.Command
import org.bramleyspur.language.MemberCommand
import org.bramleyspur.language.Query
import org.bramleyspur.language.Show
import org.bramleyspur.language.Statement
import org.bramleyspur.language.Subject
import org.bramleyspur.language.parse
import org.bramleyspur.language.toText
import org.bramleyspur.protocol.QueryReply
import org.bramleyspur.protocol.QueryRequest
import org.bramleyspur.protocol.SubmitReply
import org.bramleyspur.protocol.SubmitRequest
import java.io.File
import java.io.IOException
import java.util.UUID

/** Runs the program with the command line [args]; [form] is the form of documents, null if none is known. */
internal fun run(
    args: List<String>,
    environment: Map<String, String>,
    console: Console,
    form: DocumentForm? = null,
): ExitCode = parseOptions(args, environment).fold(
    success = { options ->
        ControlClient(options.control, options.timeoutMs).use { Program(options, it, console, form).run() }
    },
    failure = { earlyExit ->
        when (earlyExit) {
            is EarlyExit.Help -> ExitCode.DONE.also { console.out.println(earlyExit.text) }
            is EarlyExit.InvalidUsage -> ExitCode.USAGE.also { console.err.println(earlyExit.error.message) }
        }
    },
)

/** One run of the program. */
private class Program(
    private val options: Options,
    private val client: ControlClient,
    private val console: Console,
    private val form: DocumentForm?,
) {
    private val output = Output(options.output, console)
    private val commandId = options.commandId ?: UUID.randomUUID().toString()

    fun run(): ExitCode = if (options.action == Action.CHECK) check() else runStatements()

    private fun runStatements(): ExitCode = readText()
        .andThen { parseStatements(it, options.file) }
        .andThen { execute(it) }
        .fold(
            success = { it },
            failure = { ExitCode.USAGE.also { _ -> output.writeFailure("usage", it.message) } },
        )

    private fun readText(): Result<String, UsageError> = try {
        when {
            options.statementArguments.isNotEmpty() -> Ok(options.statementArguments.joinToString(" "))
            options.file == null || options.file == "-" -> Ok(console.input())
            else -> Ok(File(options.file).readText())
        }
    } catch (e: IOException) {
        Err(UsageError("the file ${options.file} cannot be read: ${e.message}"))
    }

    private fun execute(statements: List<Statement>): Result<ExitCode, UsageError> =
        if (options.action == Action.SEND) send(statements) else Declaration.of(statements).andThen { diffOrApply(it) }

    private fun check(): ExitCode {
        val content = when (val file = options.file) {
            null, "-" -> Ok(console.input().encodeToByteArray())
            else -> readConfiguration(file)
        }
        return content.andThen { Check(options.check, form, ::readDocument, ::readStatements).findings(it) }.fold(
            success = { findings ->
                output.writeFindings(findings)
                exitCodeOf(findings, options.check.strict)
            },
            failure = {
                when (it) {
                    is CheckFailure.InvalidInput ->
                        ExitCode.USAGE.also { _ -> output.writeFailure("usage", it.message) }
                    is CheckFailure.Unavailable -> reportUnavailable(it.message)
                }
            },
        )
    }

    private fun readDocument(path: String): Result<ByteArray, CheckFailure> =
        readDocumentInForce(options.control, path, options.timeoutMs).mapError { CheckFailure.Unavailable(it) }

    private fun readStatements(): Result<InForce, CheckFailure> {
        val request = QueryRequest.newBuilder().setStatement(Show(Subject.CONFIGURATION).toText()).build()
        return when (val result = client.query(request)) {
            is CallResult.Replied -> when (result.reply.outcome) {
                QueryReply.Outcome.ANSWERED ->
                    Ok(InForce(result.reply.revision, statementsOf(result.reply).encodeToByteArray()))
                else -> Err(CheckFailure.InvalidInput(result.reply.message))
            }
            is CallResult.Unavailable -> Err(CheckFailure.Unavailable(result.reason))
            is CallResult.OutcomeUnknown -> Err(CheckFailure.Unavailable(result.reason))
        }
    }

    private fun send(statements: List<Statement>): Result<ExitCode, UsageError> {
        val commands = statements.filterIsInstance<Command>()
        val queries = statements.filterIsInstance<Query>()
        val memberCommands = statements.filterIsInstance<MemberCommand>()
        val hasCommandFlag = options.commandId != null || options.expectedRevision != 0L
        return when {
            statements.isEmpty() -> Err(UsageError("no statement is given"))
            memberCommands.isNotEmpty() -> submitMemberCommand(memberCommands, statements.size)
            queries.isEmpty() -> Ok(submit(commands, options.expectedRevision))
            commands.isNotEmpty() -> Err(UsageError("commands and queries are mixed; send them separately"))
            hasCommandFlag -> Err(UsageError("--command-id and --expect-revision are for commands; leave them out"))
            else -> Ok(
                queries.firstNotNullOfOrNull {
                    runQuery(it).takeIf { code -> code != ExitCode.DONE }
                } ?: ExitCode.DONE,
            )
        }
    }

    private fun submitMemberCommand(commands: List<MemberCommand>, statementCount: Int): Result<ExitCode, UsageError> =
        when {
            statementCount > 1 ->
                Err(UsageError("a change of the control members is sent alone; send the statements separately"))
            options.expectedRevision != 0L ->
                Err(UsageError("--expect-revision is for configuration commands; the control members have no revision"))
            else -> Ok(submit(commands, expectedRevision = 0))
        }

    private fun runQuery(query: Query): ExitCode = sendQuery(query) { reply ->
        output.writeReply(reply)
        Ok(ExitCode.DONE)
    }.fold({ it }, { ExitCode.USAGE })

    private fun diffOrApply(declared: Declaration): Result<ExitCode, UsageError> =
        sendQuery(Show(Subject.CONFIGURATION)) { reply ->
            parseStatements(statementsOf(reply), "show configuration")
                .andThen { Declaration.of(it) }
                .andThen { Ok(printAndApply(difference(it, declared), reply.revision)) }
        }

    private fun printAndApply(commands: List<Command>, revision: Long): ExitCode {
        output.writeDifference(commands.map { it.toText() }, revision)
        if (options.action == Action.DIFF || commands.isEmpty()) return ExitCode.DONE
        return submit(commands, if (options.expectedRevision == 0L) revision else options.expectedRevision)
    }

    private fun sendQuery(
        query: Query,
        onReply: (QueryReply) -> Result<ExitCode, UsageError>,
    ): Result<ExitCode, UsageError> {
        val request = QueryRequest.newBuilder().setStatement(query.toText()).build()
        return when (val result = client.query(request)) {
            is CallResult.Replied ->
                if (result.reply.outcome ==
                    QueryReply.Outcome.ANSWERED
                ) {
                    onReply(result.reply)
                } else {
                    Ok(reportRefused(result.reply))
                }
            is CallResult.Unavailable -> Ok(reportUnavailable(result.reason))
            is CallResult.OutcomeUnknown -> Ok(reportUnavailable(result.reason))
        }
    }

    private fun reportRefused(reply: QueryReply): ExitCode {
        output.writeFailure("refused", reply.message)
        return ExitCode.REFUSED
    }

    private fun submit(commands: List<Statement>, expectedRevision: Long): ExitCode {
        val request = SubmitRequest
            .newBuilder()
            .setStatements(commands.toText())
            .setCommandId(commandId)
            .setExpectedRevision(expectedRevision)
            .build()
        return when (val result = client.submit(request)) {
            is CallResult.Replied -> reportReply(result.reply)
            is CallResult.Unavailable -> reportUnavailable(result.reason)
            is CallResult.OutcomeUnknown -> reportUnknownOutcome(result.reason)
        }
    }

    private fun reportReply(reply: SubmitReply): ExitCode {
        val accepted = reply.outcome == SubmitReply.Outcome.ACCEPTED
        if (accepted) output.writeAccepted(reply, commandId) else output.writeRefused(reply, commandId)
        return if (accepted) ExitCode.DONE else ExitCode.REFUSED
    }

    private fun reportUnavailable(reason: String): ExitCode {
        output.writeFailure(
            "unavailable",
            "no control leader answered within ${options.timeoutMs} ms; nothing was changed; $reason",
        )
        return ExitCode.UNAVAILABLE
    }

    private fun reportUnknownOutcome(reason: String): ExitCode {
        val message = "the command may have taken effect or not; resend it with --command-id $commandId to get its " +
            "answer, it does not run twice under that id; $reason"
        output.writeFailure("unknown", message, commandId)
        return ExitCode.UNKNOWN
    }
}

/** The statements of a reply to `show configuration`. */
private fun statementsOf(reply: QueryReply): String =
    reply.rowsList.joinToString(";\n") { it.cellsList.joinToString("") }

internal fun parseStatements(text: String, source: String?): Result<List<Statement>, UsageError> =
    parse(text).mapError {
        UsageError("${source?.let { name -> "$name, " }.orEmpty()}line ${it.line}, column ${it.column}: ${it.message}")
    }
