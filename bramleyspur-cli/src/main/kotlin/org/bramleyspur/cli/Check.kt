/*
 * `check`: prints what the system would refuse in a configuration, what can never take effect, what contradicts itself,
 * and what differs from another configuration. A file whose first character is a brace or bracket is a document, any
 * other one has statements.
 */
package org.bramleyspur.cli

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError
import org.bramleyspur.control.check.statementFindings
import org.bramleyspur.core.check.Finding
import org.bramleyspur.core.document.Document
import org.bramleyspur.core.document.DocumentForm
import org.bramleyspur.language.toText
import org.bramleyspur.traffic.check.differencesFrom
import org.bramleyspur.traffic.check.findings
import java.io.File
import java.io.IOException

/** Why a check has no result. */
internal sealed interface CheckFailure {
    val message: String

    /** A file cannot be read, or the configuration to compare with is not the expected one. */
    data class InvalidInput(override val message: String) : CheckFailure

    /** No control instance told the configuration in force. */
    data class Unavailable(override val message: String) : CheckFailure
}

/** A configuration in force, as documents or statements, with its version or revision. */
internal class InForce(val version: Long, val content: ByteArray)

/**
 * Checks configurations as [options] say.
 *
 * @property form form of documents; null if the tool has none
 * @property readDocument returns the document in force
 * @property readStatements returns the statements in force
 */
internal class Check(
    private val options: CheckOptions,
    private val form: DocumentForm?,
    private val readDocument: (path: String) -> Result<ByteArray, CheckFailure>,
    private val readStatements: () -> Result<InForce, CheckFailure>,
) {
    /** All findings in the configuration [content]. */
    fun findings(content: ByteArray): Result<List<Finding>, CheckFailure> =
        if (isDocument(content)) documentFindings(content) else statementsFindings(content.decodeToString())

    private fun isDocument(content: ByteArray): Boolean =
        content.firstOrNull { !it.toInt().toChar().isWhitespace() }?.toInt()?.toChar() in setOf('{', '[')

    private fun documentFindings(content: ByteArray): Result<List<Finding>, CheckFailure> {
        val documents = form ?: return invalid(
            "this tool cannot read documents; build the module of the platform, or give a file of statements",
        )
        if (content.size > Document.MAX_BYTES) {
            return refused("the document has ${content.size} bytes; shorten it to ${Document.MAX_BYTES} at most")
        }
        val document = documents.decode(content).getOrElse { return refused(it.message) }
        return compared(documents).map { other ->
            document.findings(options.facts) + other?.let { document.differencesFrom(it) }.orEmpty()
        }
    }

    /** The document to compare with; null if none is asked for. */
    private fun compared(documents: DocumentForm): Result<Document?, CheckFailure> {
        val content = when (val against = options.against) {
            null -> return Ok(null)
            is Against.File -> readConfiguration(against.path)
            is Against.InForce -> readDocument(documents.readPath)
        }
        return content.andThen { bytes -> documents.decode(bytes).mapError { comparisonError(it.message) } }
            .andThen { document -> expectVersion(document.version).map { document } }
    }

    private fun statementsFindings(text: String): Result<List<Finding>, CheckFailure> {
        val findings = statementFindings(text)
        val against = options.against
        if (against == null || findings.any { it is Finding.Refused }) return Ok(findings)
        val running = when (against) {
            is Against.File -> readConfiguration(against.path)
            is Against.InForce -> readStatements().andThen { expectVersion(it.version).map { _ -> it.content } }
        }
        return running
            .andThen { bytes -> declarationOf(bytes.decodeToString()).mapError { comparisonError(it.message) } }
            .andThen { before ->
                declarationOf(text).mapError { CheckFailure.InvalidInput(it.message) }
                    .map { after -> findings + difference(before, after).map { Finding.Difference(it.toText()) } }
            }
    }

    private fun expectVersion(version: Long): Result<Unit, CheckFailure> {
        val expected = (options.against as? Against.InForce)?.version ?: return Ok(Unit)
        return if (version == expected) {
            Ok(Unit)
        } else {
            invalid("version $version is in force, not $expected; control keeps no other, so compare with a file of it")
        }
    }
}

private fun declarationOf(text: String) = parseStatements(text, null).andThen { Declaration.of(it) }

private fun comparisonError(reason: String) =
    CheckFailure.InvalidInput("the configuration to compare with is invalid: $reason")

private fun refused(reason: String): Result<List<Finding>, CheckFailure> = Ok(listOf(Finding.Refused(reason)))

private fun <T> invalid(message: String): Result<T, CheckFailure> = Err(CheckFailure.InvalidInput(message))

/** The content of the file [path]. */
internal fun readConfiguration(path: String): Result<ByteArray, CheckFailure> = try {
    Ok(File(path).readBytes())
} catch (e: IOException) {
    Err(CheckFailure.InvalidInput("the file $path cannot be read: ${e.message}"))
}

/** The exit code for [findings]; warnings fail only a strict check, and differences none. */
internal fun exitCodeOf(findings: List<Finding>, strict: Boolean): ExitCode {
    val failing = findings.any { it is Finding.Refused || (strict && it !is Finding.Difference) }
    return if (failing) ExitCode.REFUSED else ExitCode.DONE
}
