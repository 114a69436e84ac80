package org.bramleyspur.cli

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.optional
import kotlinx.cli.vararg
import org.bramleyspur.traffic.check.DeploymentFacts

/** Environment variable for the default value of `--control`. */
internal const val CONTROL_VARIABLE = "BRAMLEYSPUR_CONTROL"

/** Default timeout of a call, long enough for several leader changes of up to 3 s each. */
internal const val DEFAULT_TIMEOUT_MS = 10_000

internal enum class OutputFormat {
    TABLE,
    JSON,
}

/** What the program does with the statements. */
internal enum class Action {
    /** Sends them to the control instances. */
    SEND,

    /** Prints the statements that change the running configuration into the one that they declare. */
    DIFF,

    /** Prints the same statements as [DIFF] and submits them. */
    APPLY,

    /** Prints what is wrong with a configuration, without sending it. */
    CHECK,
}

/**
 * Options and arguments of the command line.
 *
 * @property file file of statements, `-` for standard input, null if not given
 * @property statementArguments statements given as arguments
 * @property expectedRevision revision that must be current for a command to be accepted, 0 for any
 * @property check options of [Action.CHECK]
 */
internal data class Options(
    val action: Action,
    val statementArguments: List<String>,
    val file: String?,
    val control: List<ControlAddress>,
    val output: OutputFormat,
    val expectedRevision: Long,
    val commandId: String?,
    val timeoutMs: Int,
    val check: CheckOptions = CheckOptions(),
)

/** Why the program ends after reading the command line. */
internal sealed interface EarlyExit {
    /** `--help` was given; [text] is the help text. */
    data class Help(val text: String) : EarlyExit

    /** The command line is invalid. */
    data class InvalidUsage(val error: UsageError) : EarlyExit
}

/** Parses the command line [args]; [environment] has the default value of `--control`. */
internal fun parseOptions(args: List<String>, environment: Map<String, String>): Result<Options, EarlyExit> {
    val commandLine = CommandLine()
    val earlyExit = commandLine.parse(args)
    if (earlyExit != null) return Err(earlyExit)
    val addresses = commandLine.control ?: environment[CONTROL_VARIABLE]
    return try {
        Ok(commandLine.toOptions(addresses))
    } catch (e: IllegalArgumentException) {
        Err(EarlyExit.InvalidUsage(UsageError(e.message.orEmpty())))
    }
}

private class CommandLine {
    private val parser = ArgParser("bramleyspur")
    val control by parser.option(
        ArgType.String,
        description = "Control instances as host:port,host:port; default: environment variable $CONTROL_VARIABLE",
    )
    val file by parser.option(ArgType.String, description = "File of statements, - for standard input")
    val output by parser.option(
        ArgType.Choice<OutputFormat>(),
        description = "Format of the output",
    ).default(OutputFormat.TABLE)
    val expectRevision by parser.option(
        ArgType.String,
        "expect-revision",
        description = "Refuse the command unless this revision is current",
    )
    val commandId by parser.option(
        ArgType.String,
        "command-id",
        description = "Identity of the command, to retry one whose outcome is unknown; default: a new one",
    )
    val timeoutMs by parser.option(
        ArgType.String,
        "timeout-ms",
        description = "Milliseconds until a call times out; default: $DEFAULT_TIMEOUT_MS",
    )
    val against by parser.option(
        ArgType.String,
        description = "For check: compare with this file, in-force, or the version in force by its number",
    )
    val strict by parser.option(
        ArgType.Boolean,
        description = "For check: exit with 1 also for entries that never match and for contradictions",
    ).default(false)
    val regions by parser.option(
        ArgType.String,
        description = "For check of a document: regions of the deployment, R1,R2",
    )
    val servers by parser.option(
        ArgType.String,
        description = "For check of a document: number of backend servers of services, SERVICE=NUMBER,SERVICE=NUMBER",
    )
    val statementArguments by parser
        .argument(
            ArgType.String,
            "statements",
            description = "Statements separated by ';', or diff, apply or check with a file; default: standard input",
        ).vararg()
        .optional()

    fun parse(args: List<String>): EarlyExit? = try {
        parser.replaceExitHandler { message, code -> throw ParserExit(message, code) }
        parser.parse(args.toTypedArray())
        null
    } catch (e: ParserExit) {
        if (e.code == 0) EarlyExit.Help(e.text) else EarlyExit.InvalidUsage(UsageError(e.text.trim()))
    }

    /**
     * kotlinx-cli treats unknown flags as arguments. No word of a statement starts with a hyphen, so such an argument
     * is an unknown flag.
     */
    private fun rejectUnknownFlags() {
        val unknownFlag = statementArguments.firstOrNull { it.length > 1 && it.startsWith("-") && ' ' !in it }
        require(unknownFlag == null) { "$unknownFlag is not a flag; --help lists the flags" }
    }

    fun toOptions(addresses: String?): Options {
        rejectUnknownFlags()
        val action = actionOf(statementArguments.firstOrNull())
        val operands = if (action == Action.SEND) statementArguments else statementArguments.drop(1)
        val path = if (action == Action.SEND) file else file ?: operands.singleOrNull()
        require(action == Action.SEND || operands.size <= 1) { "diff, apply and check take one file" }
        require(file == null || operands.isEmpty()) {
            "both --file and statements as arguments are given; leave one out"
        }
        val check = checkOptions(action)
        val offline = action == Action.CHECK && check.against !is Against.InForce
        return Options(
            action = action,
            statementArguments = if (action == Action.SEND) operands else emptyList(),
            file = path,
            control = if (offline) emptyList() else parseControlAddresses(addresses),
            output = output,
            expectedRevision = number("--expect-revision", expectRevision, 0, Long.MAX_VALUE),
            commandId = commandId?.also {
                require(it.isNotBlank()) { "--command-id is empty; leave it out for a new one" }
            },
            timeoutMs = number("--timeout-ms", timeoutMs, DEFAULT_TIMEOUT_MS.toLong(), Int.MAX_VALUE.toLong()).toInt(),
            check = check,
        )
    }

    private fun actionOf(word: String?): Action = when (word) {
        "diff" -> Action.DIFF
        "apply" -> Action.APPLY
        "check" -> Action.CHECK
        else -> Action.SEND
    }

    private fun checkOptions(action: Action): CheckOptions {
        val facts = DeploymentFacts(
            regions = regions?.split(',').orEmpty().map { it.trim() }.filter { it.isNotEmpty() }.toSet(),
            servers = servers?.split(',').orEmpty().associate { parseServers(it.trim()) },
        )
        val check = CheckOptions(against?.let { parseAgainst(it) }, strict, facts)
        require(action == Action.CHECK || check == CheckOptions()) {
            "--against, --strict, --regions and --servers are for check; leave them out"
        }
        return check
    }

    private fun parseServers(text: String): Pair<String, Int> {
        val count = text.substringAfterLast('=', "").toIntOrNull()
        require(count != null && count >= 0) { "\"$text\" in --servers is no number of servers; give SERVICE=NUMBER" }
        return text.substringBeforeLast('=') to count
    }

    private fun number(name: String, text: String?, default: Long, largest: Long): Long {
        if (text == null) return default
        val value = text.toLongOrNull()
        require(value != null && value in 1..largest) { "$name is $text; give a whole number from 1 to $largest" }
        return value
    }
}

/** Thrown where kotlinx-cli would print its help or an error and end the process. */
private class ParserExit(val text: String, val code: Int) : RuntimeException()

/**
 * Replaces the handler that ends the process. kotlinx-cli exits with code 127 on errors and has no public way to change
 * that, so this calls its internal setter by reflection.
 */
private fun ArgParser.replaceExitHandler(handler: (String, Int) -> Nothing) {
    ArgParser::class.java
        .getMethod("setOutputAndTerminate\$kotlinx_cli", Function2::class.java)
        .invoke(this, handler)
}
