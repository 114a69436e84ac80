package org.bramleyspur.control.state

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toImmutableMap
import org.bramleyspur.core.model.Account
import org.bramleyspur.core.model.Configuration
import org.bramleyspur.core.model.Service
import org.bramleyspur.core.model.ServiceKind
import org.bramleyspur.language.AccountProperties
import org.bramleyspur.language.Command
import org.bramleyspur.language.CreateAccount
import org.bramleyspur.language.CreateService
import org.bramleyspur.language.DrainInstance
import org.bramleyspur.language.RollOut
import org.bramleyspur.language.ServiceProperties

/** Statements that recreate the configuration in an empty deployment, ordered by kind and name. */
fun Configuration.toStatements(): ImmutableList<Command> {
    val sorted = services.values.sortedBy { it.name }
    val rollOuts = sorted.mapNotNull { service -> service.nextVersion?.let { RollOut(service.name, it) } }
    val creations = accounts.values.sortedBy { it.name }.map { it.toStatement() } + sorted.map { it.toStatement() }
    return (creations + rollOuts + drainedInstances.sorted().map { DrainInstance(it.value) }).toImmutableList()
}

private fun Account.toStatement() = CreateAccount(
    name,
    AccountProperties(keyDigest, maxConcurrent, weight, priority, patienceMs),
)

private fun Service.toStatement(): CreateService {
    val common = ServiceProperties(
        accounts = accounts.sorted().toImmutableList(),
        nonIdempotent = nonIdempotent,
        idempotencyRetentionMs = idempotencyRetentionMs,
        timeoutMs = timeoutMs,
    )
    if (kind == ServiceKind.PLAIN) return CreateService(name, plain = true, common)
    val properties = common.copy(
        model = model,
        version = version,
        adapters = adapters,
        instancesPerReplica = instancesPerReplica,
        placements = placements.toSortedMap().toImmutableMap(),
    )
    return CreateService(name, plain = false, properties)
}
