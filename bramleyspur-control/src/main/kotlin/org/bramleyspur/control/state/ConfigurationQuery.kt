/*
 * Queries that need only the replicated state. The leader executes the others from its sessions.
 */
package org.bramleyspur.control.state

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList
import org.bramleyspur.core.model.Account
import org.bramleyspur.core.model.Revision
import org.bramleyspur.core.model.Service
import org.bramleyspur.language.Query
import org.bramleyspur.language.Show
import org.bramleyspur.language.ShowChange
import org.bramleyspur.language.Subject
import org.bramleyspur.language.Why
import org.bramleyspur.language.toText
import java.time.Instant

/** A row of a result. */
sealed interface QueryRow {
    val cells: ImmutableList<String>
}

/** A row of `show services`. */
data class ServiceRow(val service: Service) : QueryRow {
    override val cells: ImmutableList<String> get() = with(service) {
        persistentListOf(
            name,
            kind.name.lowercase(),
            model,
            version,
            nextVersion.orEmpty(),
            adapters.joinToString(", "),
            instancesPerReplica.toString(),
            placements.toSortedMap().entries.joinToString { "${it.key} ${it.value}" },
            accounts.sorted().joinToString(", "),
            if (nonIdempotent) "non idempotent" else "idempotent",
            "$idempotencyRetentionMs ms",
            "$timeoutMs ms",
        )
    }
}

/** A row of `show accounts`. */
data class AccountRow(val account: Account) : QueryRow {
    override val cells: ImmutableList<String> get() = with(account) {
        val limit = if (maxConcurrent == 0) "none" else maxConcurrent.toString()
        persistentListOf(name, keyDigest, limit, weight.toString(), priority.toString(), "$patienceMs ms")
    }
}

/** A row of `show changes`: an accepted operators' command. */
data class ChangeRow(val revision: Revision, val submittedAtMs: Long, val commandId: String, val summary: String) :
    QueryRow {
    override val cells: ImmutableList<String>
        get() = persistentListOf(
            revision.toString(),
            Instant.ofEpochMilli(submittedAtMs).toString(),
            commandId,
            summary,
        )
}

/** A row of `show configuration`. */
data class StatementRow(val statement: String) : QueryRow {
    override val cells: ImmutableList<String> get() = persistentListOf(statement)
}

/** Result of a query. */
sealed interface QueryResult {
    /** Rows in display order; each has one cell for each of [columns]. */
    data class Table(val columns: ImmutableList<String>, val rows: ImmutableList<QueryRow>) : QueryResult

    /** The query names something that does not exist. */
    data class Refused(val message: String) : QueryResult

    /** The query concerns runtime state, which is not part of the replicated state. */
    data object NotInState : QueryResult
}

/** Executes [query] on the replicated state. */
fun ControlState.execute(query: Query): QueryResult = when (query) {
    is Show -> show(query)
    is ShowChange, is Why -> QueryResult.NotInState
}

private fun ControlState.show(query: Show): QueryResult = when (query.subject) {
    Subject.SERVICES -> services(query.service)
    Subject.ACCOUNTS -> accounts()
    Subject.CHANGES -> changes()
    Subject.CONFIGURATION -> statements()
    Subject.REPLICAS, Subject.INSTANCES, Subject.CONTROL, Subject.EVACUATIONS -> QueryResult.NotInState
}

private fun ControlState.services(name: String?): QueryResult {
    val services = configuration.services.values.filter { name == null || it.name == name }.sortedBy { it.name }
    if (name != null && services.isEmpty()) {
        return QueryResult.Refused("the service $name does not exist; show services lists them")
    }
    return QueryResult.Table(
        persistentListOf(
            "service",
            "kind",
            "model",
            "version",
            "rolling out",
            "adapters",
            "instances",
            "replicas",
            "accounts",
            "calls",
            "retention",
            "timeout",
        ),
        services.map { ServiceRow(it) }.toImmutableList(),
    )
}

private fun ControlState.accounts() = QueryResult.Table(
    persistentListOf("account", "key sha256", "limit", "weight", "priority", "patience"),
    configuration.accounts.values.sortedBy { it.name }.map { AccountRow(it) }.toImmutableList(),
)

private fun ControlState.changes() = QueryResult.Table(
    persistentListOf("revision", "submitted", "command id", "statements"),
    commands.entries
        .filter { it.value.accepted }
        .map { (id, record) -> ChangeRow(record.revision, record.submittedAtMs, id, record.summary) }
        .sortedByDescending { it.revision }
        .toImmutableList(),
)

private fun ControlState.statements() = QueryResult.Table(
    persistentListOf("statement"),
    configuration.toStatements().map { StatementRow(it.toText()) }.toImmutableList(),
)
