package org.bramleyspur.cli

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.map
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toImmutableList
import org.bramleyspur.core.model.Account
import org.bramleyspur.core.model.Service
import org.bramleyspur.language.AccountProperties
import org.bramleyspur.language.CreateAccount
import org.bramleyspur.language.CreateService
import org.bramleyspur.language.DrainInstance
import org.bramleyspur.language.RollOut
import org.bramleyspur.language.ServiceProperties
import org.bramleyspur.language.Statement
import org.bramleyspur.language.toText

/** A configuration that statements declare, with default values for properties that they leave out. */
internal data class Declaration(
    val accounts: PersistentMap<String, AccountProperties> = persistentMapOf(),
    val services: PersistentMap<String, CreateService> = persistentMapOf(),
    val rollOuts: PersistentMap<String, String> = persistentMapOf(),
    val drainedInstances: PersistentSet<String> = persistentSetOf(),
) {
    /** The version that the service [name] serves, or that it is rolled out to. */
    fun targetVersion(name: String): String? = rollOuts[name] ?: services[name]?.properties?.version

    private fun withStatement(statement: Statement): Result<Declaration, UsageError> = when (statement) {
        is CreateAccount -> if (statement.name in accounts) repeatedError(statement) else Ok(withAccount(statement))
        is CreateService -> if (statement.name in services) repeatedError(statement) else Ok(withService(statement))
        is RollOut -> if (statement.service in rollOuts) repeatedError(statement) else withRollOut(statement)
        is DrainInstance ->
            if (statement.instance in drainedInstances) repeatedError(statement) else Ok(withDrained(statement))
        else -> Err(
            UsageError(
                "\"${statement.toText()}\" is not a declaration; a file for diff or apply holds only create service, " +
                    "create account, roll out and drain instance",
            ),
        )
    }

    private fun withAccount(statement: CreateAccount) =
        copy(accounts = accounts.put(statement.name, statement.properties.withDefaults()))

    private fun withService(statement: CreateService) =
        copy(services = services.put(statement.name, statement.withDefaults()))

    private fun withRollOut(statement: RollOut): Result<Declaration, UsageError> = when (statement.service) {
        in services -> Ok(copy(rollOuts = rollOuts.put(statement.service, statement.version)))
        else -> Err(UsageError("\"${statement.toText()}\" refers to a service that the file does not create before it"))
    }

    private fun withDrained(statement: DrainInstance) =
        copy(drainedInstances = drainedInstances.add(statement.instance))

    private fun repeatedError(statement: Statement) =
        Err(UsageError("\"${statement.toText()}\" declares something that the file already declares; leave one out"))

    companion object {
        /** The configuration that [statements] declare, or the first error in them. */
        fun of(statements: List<Statement>): Result<Declaration, UsageError> {
            val empty: Result<Declaration, UsageError> = Ok(Declaration())
            return statements.fold(empty) { declaration, statement ->
                declaration.andThen { it.withStatement(statement) }
            }
        }
    }
}

private fun AccountProperties.withDefaults() = AccountProperties(
    keyDigest = keyDigest?.lowercase(),
    maxConcurrent = maxConcurrent ?: 0,
    weight = weight ?: 1,
    priority = priority ?: 0,
    patienceMs = patienceMs ?: Account.DEFAULT_PATIENCE_MS,
)

private fun CreateService.withDefaults(): CreateService {
    val common = properties.copy(
        accounts = properties.accounts.orEmpty().distinct().sorted().toImmutableList(),
        nonIdempotent = properties.nonIdempotent ?: false,
        idempotencyRetentionMs = properties.idempotencyRetentionMs ?: Service.DEFAULT_IDEMPOTENCY_RETENTION_MS,
        timeoutMs = properties.timeoutMs ?: Service.DEFAULT_TIMEOUT_MS,
    )
    return copy(properties = if (plain) common else common.withModelDefaults())
}

private fun ServiceProperties.withModelDefaults() = copy(
    adapters = adapters ?: persistentListOf(),
    instancesPerReplica = instancesPerReplica ?: 1,
    placements = placements ?: persistentMapOf(),
)
