/*
 * Operators' commands: compare-and-set on the revision, all statements or none, and the same result for every resend.
 */
package org.bramleyspur.control.state

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError
import kotlinx.collections.immutable.persistentMapOf
import org.bramleyspur.core.model.Configuration
import org.bramleyspur.core.model.Revision
import org.bramleyspur.language.Command
import org.bramleyspur.language.MemberCommand
import org.bramleyspur.language.Query
import org.bramleyspur.language.Statement
import org.bramleyspur.language.parse
import org.bramleyspur.language.toText
import java.nio.ByteBuffer

/** Minimum number of commands whose results are retained. */
const val MIN_RETAINED_COMMANDS = 10_000

/** Minimum time for which results are retained: 24 h. */
const val MIN_COMMAND_RETENTION_MS = 24L * 60 * 60 * 1000

/** Maximum length of a command id; a UUID has 36 characters. */
private const val MAX_COMMAND_ID_LENGTH = 128

/** Number of characters of the statements that `show changes` lists. */
private const val SUMMARY_LENGTH = 200

/** Applies an operators' command, or repeats its first result. */
internal fun ControlState.submit(index: Long, command: Submit): Applied {
    val id = command.commandId
    if (id.isBlank() || id.length > MAX_COMMAND_ID_LENGTH) {
        return Applied(this, refusal("the command id must have 1 to $MAX_COMMAND_ID_LENGTH characters"))
    }
    val recorded = commands[id] ?: return decide(index, command)
    if (recorded.commandDigest == command.digest()) return Applied(this, recorded.repeatedResult())
    return Applied(this, refusal("the command id $id was used for another command; choose a new one"))
}

private fun ControlState.decide(index: Long, command: Submit): Applied = draftOf(index, command).fold(
    success = { draft ->
        val revision = Revision(index)
        val next = copy(
            configuration = draft.configuration.copy(revision = revision),
            previousVersions = draft.previousVersions,
            evacuations = draft.evacuations,
        )
        next.recorded(command, SubmitResult(true, revision, "accepted as revision $revision"))
    },
    failure = { recorded(command, refusal(it)) },
)

private fun ControlState.refusal(message: String) = SubmitResult(false, configuration.revision, message.wellFormed())

/** Replaces unpaired surrogates left by truncation, since snapshots cannot represent them. */
private fun String.wellFormed(): String = encodeToByteArray().decodeToString()

private fun ControlState.draftOf(index: Long, command: Submit): Result<ConfigurationDraft, String> {
    val current = configuration.revision
    if (command.expectedRevision != Revision.NONE && command.expectedRevision != current) {
        return Err(
            "the configuration is at revision $current, not ${command.expectedRevision}; " +
                "look at the changes since and submit with the current revision",
        )
    }
    val draft = ConfigurationDraft(configuration, previousVersions, evacuations, index, command.submittedAtMs)
    return commandsIn(command.statements).andThen { applyAll(it, draft) }
}

/** The configuration that [statements] create in an empty deployment, or why the system refuses them. */
fun configurationOf(statements: String): Result<Configuration, String> = commandsIn(statements)
    .andThen { applyAll(it, ConfigurationDraft(Configuration(), persistentMapOf())) }
    .map { it.configuration }

private fun commandsIn(statements: String): Result<List<Command>, String> = parse(statements)
    .mapError { "line ${it.line}, column ${it.column}: ${it.message}" }
    .andThen { commandsOf(it) }

private fun commandsOf(statements: List<Statement>): Result<List<Command>, String> {
    val query = statements.filterIsInstance<Query>().firstOrNull()
    val member = statements.filterIsInstance<MemberCommand>().firstOrNull()
    return when {
        query != null -> Err("\"${query.toText()}\" changes nothing; send it as a query")
        member != null -> Err("\"${member.toText()}\" changes the control members; send it alone, without a revision")
        statements.isEmpty() -> Err("the command holds no statement")
        else -> Ok(statements.filterIsInstance<Command>())
    }
}

private fun applyAll(commands: List<Command>, draft: ConfigurationDraft): Result<ConfigurationDraft, String> {
    val initial: Result<ConfigurationDraft, String> = Ok(draft)
    return commands
        .foldIndexed(initial) { position, draft, command ->
            draft.andThen { d -> d.apply(command).mapError { "statement ${position + 1}: $it" } }
        }.andThen { draft -> draft.configuration.problem()?.let { Err(it) } ?: Ok(draft) }
}

/** Records the first result, and drops the oldest results whose retention has ended. */
private fun ControlState.recorded(command: Submit, result: SubmitResult): Applied {
    val record = CommandRecord(
        accepted = result.accepted,
        revision = result.revision,
        message = result.message,
        submittedAtMs = command.submittedAtMs,
        commandDigest = command.digest(),
        summary = command.statements.trim().replace(Regex("\\s+"), " ").take(SUMMARY_LENGTH).wellFormed(),
    )
    var retained = commands.put(command.commandId, record)
    while (retained.size > MIN_RETAINED_COMMANDS) {
        val oldest = retained.entries.first()
        if (oldest.value.submittedAtMs > command.submittedAtMs - MIN_COMMAND_RETENTION_MS) break
        retained = retained.remove(oldest.key)
    }
    return Applied(copy(commands = retained), result)
}

private fun CommandRecord.repeatedResult() = SubmitResult(accepted, revision, message, repeated = true)

private fun Submit.digest() = sha256(
    listOf(ByteBuffer.wrap("${expectedRevision.value}\n".toByteArray()), ByteBuffer.wrap(statements.toByteArray())),
)
