/*
 * Computes the statements that change a running configuration into a declared one. The control instances check
 * references after the last statement, so only the order of the statements about one service matters.
 */
package org.bramleyspur.cli

import org.bramleyspur.language.AccountProperties
import org.bramleyspur.language.AlterAccount
import org.bramleyspur.language.AlterService
import org.bramleyspur.language.Command
import org.bramleyspur.language.CreateAccount
import org.bramleyspur.language.CreateService
import org.bramleyspur.language.DrainInstance
import org.bramleyspur.language.DropAccount
import org.bramleyspur.language.DropService
import org.bramleyspur.language.ReturnInstance
import org.bramleyspur.language.RollBack
import org.bramleyspur.language.RollOut
import org.bramleyspur.language.ServiceProperties

/** The statements that change [running] into [declared]; empty if there is no difference. */
internal fun difference(running: Declaration, declared: Declaration): List<Command> =
    droppedServices(running, declared) +
        accountChanges(running, declared) +
        serviceChanges(running, declared) +
        versionChanges(running, declared) +
        (running.accounts.keys - declared.accounts.keys).sorted().map { DropAccount(it) } +
        (running.drainedInstances - declared.drainedInstances).sorted().map { ReturnInstance(it) } +
        (declared.drainedInstances - running.drainedInstances).sorted().map { DrainInstance(it) }

private fun droppedServices(running: Declaration, declared: Declaration): List<Command> = running.services.keys
    .filter { it !in declared.services || isReplaced(running, declared, it) }
    .sorted()
    .map { DropService(it) }

/** The kind and model of a service cannot be altered, so a change of either replaces the service. */
private fun isReplaced(running: Declaration, declared: Declaration, name: String): Boolean {
    val current = running.services[name]
    val desired = declared.services[name]
    return current != null && desired != null &&
        (current.plain != desired.plain || current.properties.model != desired.properties.model)
}

private fun accountChanges(running: Declaration, declared: Declaration): List<Command> =
    declared.accounts.entries.sortedBy { it.key }.mapNotNull { (name, desired) ->
        val current = running.accounts[name]
        when (current) {
            null -> CreateAccount(name, desired)
            desired -> null
            else -> AlterAccount(name, changedProperties(current, desired))
        }
    }

private fun serviceChanges(running: Declaration, declared: Declaration): List<Command> =
    declared.services.values.sortedBy { it.name }.mapNotNull { desired ->
        val current = running.services[desired.name].takeUnless { isReplaced(running, declared, desired.name) }
        if (current == null) desired else serviceAlteration(current, desired)
    }

private fun serviceAlteration(current: CreateService, desired: CreateService): Command? {
    val changes = changedProperties(current.properties, desired.properties)
    return if (changes == ServiceProperties()) null else AlterService(desired.name, changes)
}

/** Compares only the target versions of services, so that a finished roll-out is not a difference. */
private fun versionChanges(running: Declaration, declared: Declaration): List<Command> =
    declared.services.keys.sorted().mapNotNull { name ->
        val replaced = name !in running.services || isReplaced(running, declared, name)
        val currentVersion = if (replaced) declared.services[name]?.properties?.version else running.targetVersion(name)
        val targetVersion = declared.targetVersion(name)
        when {
            targetVersion == null || targetVersion == currentVersion -> null
            !replaced && targetVersion == running.services[name]?.properties?.version -> RollBack(name)
            else -> RollOut(name, targetVersion)
        }
    }

private fun changedProperties(current: AccountProperties, desired: AccountProperties) = AccountProperties(
    keyDigest = desired.keyDigest.takeIf { it != current.keyDigest },
    maxConcurrent = desired.maxConcurrent.takeIf { it != current.maxConcurrent },
    weight = desired.weight.takeIf { it != current.weight },
    priority = desired.priority.takeIf { it != current.priority },
    patienceMs = desired.patienceMs.takeIf { it != current.patienceMs },
)

private fun changedProperties(current: ServiceProperties, desired: ServiceProperties) = ServiceProperties(
    adapters = desired.adapters.takeIf { it != current.adapters },
    instancesPerReplica = desired.instancesPerReplica.takeIf { it != current.instancesPerReplica },
    placements = desired.placements.takeIf { it != current.placements },
    accounts = desired.accounts.takeIf { it != current.accounts },
    nonIdempotent = desired.nonIdempotent.takeIf { it != current.nonIdempotent },
    idempotencyRetentionMs = desired.idempotencyRetentionMs.takeIf { it != current.idempotencyRetentionMs },
    timeoutMs = desired.timeoutMs.takeIf { it != current.timeoutMs },
)
