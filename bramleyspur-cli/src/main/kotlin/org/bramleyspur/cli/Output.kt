/*
 * Answers as a table for people or as one JSON document a line for programs.
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
import org.bramleyspur.protocol.QueryReply
import org.bramleyspur.protocol.SubmitReply
import java.io.PrintStream

/** Where the program writes answers ([out]) and errors ([err]), and where it reads statements from ([input]). */
internal class Console(val out: PrintStream, val err: PrintStream, val input: () -> String)

/** Writes answers in the chosen [format]. Errors of the table format go to the error stream. */
internal class Output(private val format: OutputFormat, private val console: Console) {
    /** Writes the answer to a query. */
    fun answered(reply: QueryReply) {
        val rows = reply.rowsList.map { it.cellsList.toList() }
        when (format) {
            OutputFormat.TABLE -> tableLines(reply.columnsList, rows).forEach { console.out.println(it) }
            OutputFormat.JSON -> json("answered") {
                put("revision", JsonPrimitive(reply.revision))
                putJsonArray("rows") { rows.forEach { row -> addJsonObject { reply.columnsList.zip(row, ::put) } } }
            }
        }
    }

    /** Writes that the command was accepted. */
    fun accepted(reply: SubmitReply, commandId: String) = when (format) {
        OutputFormat.TABLE -> {
            val repeated = if (reply.repeated) " (answer to an earlier delivery of this command)" else ""
            console.out.println(reply.message.ifBlank { "accepted as revision ${reply.revision}" } + repeated)
        }
        OutputFormat.JSON -> json("accepted") { putCommand(reply, commandId) }
    }

    /** Writes that the command was refused. */
    fun refused(reply: SubmitReply, commandId: String) = when (format) {
        OutputFormat.TABLE -> console.err.println("refused: ${reply.message} (current revision ${reply.revision})")
        OutputFormat.JSON -> json("refused") { putCommand(reply, commandId) }
    }

    /** Writes the statements of a difference. */
    fun difference(statements: List<String>, revision: Long) = when (format) {
        OutputFormat.TABLE -> {
            statements.forEach { console.out.println("$it;") }
            if (statements.isEmpty()) console.out.println("-- no difference at revision $revision") else Unit
        }
        OutputFormat.JSON -> json("difference") {
            put("revision", JsonPrimitive(revision))
            putJsonArray("statements") { statements.forEach { add(it) } }
        }
    }

    /** Writes why there is no answer; [outcome] is a word for programs. */
    fun failed(outcome: String, message: String, commandId: String? = null) = when (format) {
        OutputFormat.TABLE -> console.err.println("$outcome: $message")
        OutputFormat.JSON -> json(outcome) {
            put("message", JsonPrimitive(message))
            if (commandId != null) put("commandId", JsonPrimitive(commandId))
        }
    }

    private fun json(outcome: String, build: JsonObjectBuilder.() -> Unit) {
        val document: JsonObject = buildJsonObject {
            put("outcome", JsonPrimitive(outcome))
            build()
        }
        console.out.println(document)
    }
}

private fun JsonObjectBuilder.putCommand(reply: SubmitReply, commandId: String) {
    put("revision", JsonPrimitive(reply.revision))
    put("message", JsonPrimitive(reply.message))
    put("repeated", JsonPrimitive(reply.repeated))
    put("commandId", JsonPrimitive(commandId))
}

/** Lines of a table whose columns are as wide as their widest cell. */
internal fun tableLines(columns: List<String>, rows: List<List<String>>): List<String> {
    val shown = (listOf(columns) + rows).map { row -> row.map { it.replace(Regex("\\s"), " ") } }
    val widths = columns.indices.map { column -> shown.maxOf { it.getOrElse(column) { "" }.length } }
    return shown.map { row ->
        row.mapIndexed { i, cell -> cell.padEnd(widths.getOrElse(i) { 0 }) }.joinToString("  ").trimEnd()
    }
}
