/*
 * Writes replies as a table for people, or as one JSON document per line for programs.
 */
package org.bramleyspur.cli

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import org.bramleyspur.core.check.Finding
import org.bramleyspur.protocol.QueryReply
import org.bramleyspur.protocol.SubmitReply
import java.io.PrintStream

/** Streams for replies ([out]) and errors ([err]), and the source of statements ([input]). */
internal class Console(val out: PrintStream, val err: PrintStream, val input: () -> String)

/** Writes replies in [format]. The table format writes errors to the error stream. */
internal class Output(private val format: OutputFormat, private val console: Console) {
    fun writeReply(reply: QueryReply) {
        val rows = reply.rowsList.map { it.cellsList.toList() }
        when (format) {
            OutputFormat.TABLE -> tableLines(reply.columnsList, rows).forEach { console.out.println(it) }
            OutputFormat.JSON -> writeJson("answered") {
                put("revision", JsonPrimitive(reply.revision))
                putJsonArray("rows") { rows.forEach { row -> addJsonObject { reply.columnsList.zip(row, ::put) } } }
            }
        }
    }

    fun writeAccepted(reply: SubmitReply, commandId: String) = when (format) {
        OutputFormat.TABLE -> {
            val repeated = if (reply.repeated) " (answer to an earlier delivery of this command)" else ""
            console.out.println(reply.message.ifBlank { "accepted as revision ${reply.revision}" } + repeated)
        }
        OutputFormat.JSON -> writeJson("accepted") { putSubmitReply(reply, commandId) }
    }

    fun writeRefused(reply: SubmitReply, commandId: String) = when (format) {
        OutputFormat.TABLE -> console.err.println("refused: ${reply.message} (current revision ${reply.revision})")
        OutputFormat.JSON -> writeJson("refused") { putSubmitReply(reply, commandId) }
    }

    /** Writes the statements that `diff` and `apply` computed at [revision]. */
    fun writeDifference(statements: List<String>, revision: Long) = when (format) {
        OutputFormat.TABLE -> {
            statements.forEach { console.out.println("$it;") }
            if (statements.isEmpty()) console.out.println("-- no difference at revision $revision") else Unit
        }
        OutputFormat.JSON -> writeJson("difference") {
            put("revision", JsonPrimitive(revision))
            putJsonArray("statements") { statements.forEach { add(it) } }
        }
    }

    /** Writes what `check` has found. */
    fun writeFindings(findings: List<Finding>) = when (format) {
        OutputFormat.TABLE -> when {
            findings.isEmpty() -> console.out.println("-- nothing found")
            else -> tableLines(listOf("kind", "finding"), findings.map { listOf(kindOf(it), it.message) })
                .forEach { console.out.println(it) }
        }
        OutputFormat.JSON -> writeJson("checked") {
            putJsonArray("findings") {
                findings.forEach {
                    addJsonObject {
                        put("kind", kindOf(it))
                        put("message", it.message)
                    }
                }
            }
        }
    }

    /** Writes why there is no reply to show; [outcome] is a fixed word that programs can match. */
    fun writeFailure(outcome: String, message: String, commandId: String? = null) = when (format) {
        OutputFormat.TABLE -> console.err.println("$outcome: $message")
        OutputFormat.JSON -> writeJson(outcome) {
            put("message", JsonPrimitive(message))
            if (commandId != null) put("commandId", JsonPrimitive(commandId))
        }
    }

    private fun writeJson(outcome: String, build: JsonObjectBuilder.() -> Unit) {
        val document: JsonObject = buildJsonObject {
            put("outcome", JsonPrimitive(outcome))
            build()
        }
        console.out.println(document)
    }
}

/** The fixed word of a kind of finding, which programs can match. */
private fun kindOf(finding: Finding): String = when (finding) {
    is Finding.Refused -> "refused"
    is Finding.NeverMatches -> "never-matches"
    is Finding.Contradiction -> "contradiction"
    is Finding.Difference -> "difference"
}

private fun JsonObjectBuilder.putSubmitReply(reply: SubmitReply, commandId: String) {
    put("revision", JsonPrimitive(reply.revision))
    put("message", JsonPrimitive(reply.message))
    put("repeated", JsonPrimitive(reply.repeated))
    put("commandId", JsonPrimitive(commandId))
}

/** Formats a table whose columns are as wide as their widest cells. */
internal fun tableLines(columns: List<String>, rows: List<List<String>>): List<String> {
    val cells = (listOf(columns) + rows).map { row -> row.map { it.replace(Regex("\\s"), " ") } }
    val widths = columns.indices.map { column -> cells.maxOf { it.getOrElse(column) { "" }.length } }
    return cells.map { row ->
        row.mapIndexed { i, cell -> cell.padEnd(widths.getOrElse(i) { 0 }) }.joinToString("  ").trimEnd()
    }
}
