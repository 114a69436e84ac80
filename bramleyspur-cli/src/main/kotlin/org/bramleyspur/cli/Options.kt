package org.bramleyspur.cli

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.optional
import kotlinx.cli.vararg

/** Environment variable with the default of `--control`. */
internal const val CONTROL_VARIABLE = "BRAMLEYSPUR_CONTROL"

/** Several leader changes of up to 3 s fit into it. */
internal const val DEFAULT_TIMEOUT_MS = 10_000

/** How answers are written. */
internal enum class OutputFormat {
    TABLE,
    JSON,
}

/** What the program does with the statements that it reads. */
internal enum class Action {
    /** Sends them. */
    SEND,

    /** Prints the statements that bring the configuration to them. */
    DIFF,

    /** Prints those statements and submits them. */
    APPLY,
}

/**
 * The command line.
 *
 * @property file file of statements, `-` for standard input, null when not given
 * @property words statements given as arguments
 * @property expectedRevision 0 for any
 */
internal data class Options(
    val action: Action,
    val words: List<String>,
    val file: String?,
    val control: List<ControlAddress>,
    val output: OutputFormat,
    val expectedRevision: Long,
    val commandId: String?,
    val timeoutMs: Int,
)

/** What reading the command line gives when the program is not to run. */
internal sealed interface NoOptions {
    /** The text of `--help`. */
    data class Help(val text: String) : NoOptions

    /** The command line is wrong. */
    data class Wrong(val error: UsageError) : NoOptions
}

/** Reads the command line [args]; [environment] gives the default of `--control`. */
internal fun readOptions(args: List<String>, environment: Map<String, String>): Result<Options, NoOptions> {
    val flags = Flags()
    val ended = flags.parse(args)
    if (ended != null) return Err(ended)
    val addresses = flags.control ?: environment[CONTROL_VARIABLE]
    return try {
        Ok(flags.toOptions(addresses))
    } catch (e: IllegalArgumentException) {
        Err(NoOptions.Wrong(UsageError(e.message.orEmpty())))
    }
}

private class Flags {
    private val parser = ArgParser("bramleyspur")
    val control by parser.option(
        ArgType.String,
        description = "Control instances as host:port,host:port; default: environment variable $CONTROL_VARIABLE",
    )
    val file by parser.option(ArgType.String, description = "File of statements, - for standard input")
    val output by parser.option(
        ArgType.Choice<OutputFormat>(),
        description = "Form of the answer",
    ).default(OutputFormat.TABLE)
    val expectRevision by parser.option(
        ArgType.String,
        "expect-revision",
        description = "Refuse the command unless this revision is current",
    )
    val commandId by parser.option(
        ArgType.String,
        "command-id",
        description = "Identity of the command, to resend one whose outcome is unknown; default: a new one",
    )
    val timeoutMs by parser.option(
        ArgType.String,
        "timeout-ms",
        description = "Milliseconds until the program gives up; default: $DEFAULT_TIMEOUT_MS",
    )
    val words by parser
        .argument(
            ArgType.String,
            "statements",
            description = "Statements separated by ';', or diff or apply with a file; default: standard input",
        ).vararg()
        .optional()

    fun parse(args: List<String>): NoOptions? = try {
        parser.endWith { message, code -> throw Ended(message, code) }
        parser.parse(args.toTypedArray())
        null
    } catch (e: Ended) {
        if (e.code == 0) NoOptions.Help(e.text) else NoOptions.Wrong(UsageError(e.text.trim()))
    }

    /** kotlinx-cli takes unknown flags for arguments. No word of a statement starts with a hyphen. */
    private fun requireNoUnknownFlag() {
        val unknown = words.firstOrNull { it.length > 1 && it.startsWith("-") && ' ' !in it }
        require(unknown == null) { "$unknown is not a flag; --help lists the flags" }
    }

    fun toOptions(addresses: String?): Options {
        requireNoUnknownFlag()
        val action = when (words.firstOrNull()) {
            "diff" -> Action.DIFF
            "apply" -> Action.APPLY
            else -> Action.SEND
        }
        val rest = if (action == Action.SEND) words else words.drop(1)
        val path = if (action == Action.SEND) file else file ?: rest.singleOrNull()
        require(action == Action.SEND || rest.size <= 1) { "diff and apply take one file of statements" }
        require(file == null || rest.isEmpty()) { "both --file and statements as arguments are given; leave one out" }
        return Options(
            action = action,
            words = if (action == Action.SEND) rest else emptyList(),
            file = path,
            control = controlAddresses(addresses),
            output = output,
            expectedRevision = number("--expect-revision", expectRevision, 0, Long.MAX_VALUE),
            commandId = commandId?.also {
                require(it.isNotBlank()) { "--command-id is empty; leave it out for a new one" }
            },
            timeoutMs = number("--timeout-ms", timeoutMs, DEFAULT_TIMEOUT_MS.toLong(), Int.MAX_VALUE.toLong()).toInt(),
        )
    }

    private fun number(name: String, text: String?, default: Long, largest: Long): Long {
        if (text == null) return default
        val value = text.toLongOrNull()
        require(value != null && value in 1..largest) { "$name is $text; give a whole number from 1 to $largest" }
        return value
    }
}

/** Thrown instead of ending the process when kotlinx-cli prints its help or finds an error. */
private class Ended(val text: String, val code: Int) : RuntimeException()

/**
 * Replaces how the parser ends the process. kotlinx-cli exits with code 127 on errors and offers no public way to
 * change that, so its internal setter is called by reflection.
 */
private fun ArgParser.endWith(handler: (String, Int) -> Nothing) {
    ArgParser::class.java
        .getMethod("setOutputAndTerminate\$kotlinx_cli", Function2::class.java)
        .invoke(this, handler)
}
