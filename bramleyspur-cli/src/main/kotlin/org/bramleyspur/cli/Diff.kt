/*
 * The statements that bring a running configuration to a declared one. The control instances check references after
 * the last statement, so only the statements about one service have to be in order.
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

/** Statements that bring [running] to [declared], empty when there is no difference. */
internal fun difference(running: Declaration, declared: Declaration): List<Command> =
    droppedServices(running, declared) +
        accounts(running, declared) +
        services(running, declared) +
        versions(running, declared) +
        (running.accounts.keys - declared.accounts.keys).sorted().map { DropAccount(it) } +
        (running.drained - declared.drained).sorted().map { ReturnInstance(it) } +
        (declared.drained - running.drained).sorted().map { DrainInstance(it) }

private fun droppedServices(running: Declaration, declared: Declaration): List<Command> = running.services.keys
    .filter { it !in declared.services || isReplaced(running, declared, it) }
    .sorted()
    .map { DropService(it) }

/** Kind and model of a service are fixed, so another kind or model needs another service. */
private fun isReplaced(running: Declaration, declared: Declaration, name: String): Boolean {
    val present = running.services[name]
    val wanted = declared.services[name]
    return present != null && wanted != null &&
        (present.plain != wanted.plain || present.properties.model != wanted.properties.model)
}

private fun accounts(running: Declaration, declared: Declaration): List<Command> =
    declared.accounts.entries.sortedBy { it.key }.mapNotNull { (name, wanted) ->
        val present = running.accounts[name]
        when (present) {
            null -> CreateAccount(name, wanted)
            wanted -> null
            else -> AlterAccount(name, changed(present, wanted))
        }
    }

private fun services(running: Declaration, declared: Declaration): List<Command> =
    declared.services.values.sortedBy { it.name }.mapNotNull { wanted ->
        val present = running.services[wanted.name].takeUnless { isReplaced(running, declared, wanted.name) }
        if (present == null) wanted else altered(present, wanted)
    }

private fun altered(present: CreateService, wanted: CreateService): Command? {
    val changes = changed(present.properties, wanted.properties)
    return if (changes == ServiceProperties()) null else AlterService(wanted.name, changes)
}

/** Only the version that a service ends at is compared: a roll-out that has finished is no difference. */
private fun versions(running: Declaration, declared: Declaration): List<Command> =
    declared.services.keys.sorted().mapNotNull { name ->
        val replaced = name !in running.services || isReplaced(running, declared, name)
        val start = if (replaced) declared.services[name]?.properties?.version else running.targetVersion(name)
        val target = declared.targetVersion(name)
        when {
            target == null || target == start -> null
            !replaced && target == running.services[name]?.properties?.version -> RollBack(name)
            else -> RollOut(name, target)
        }
    }

private fun changed(present: AccountProperties, wanted: AccountProperties) = AccountProperties(
    keyDigest = wanted.keyDigest.takeIf { it != present.keyDigest },
    maxConcurrent = wanted.maxConcurrent.takeIf { it != present.maxConcurrent },
    weight = wanted.weight.takeIf { it != present.weight },
    priority = wanted.priority.takeIf { it != present.priority },
    patienceMs = wanted.patienceMs.takeIf { it != present.patienceMs },
)

private fun changed(present: ServiceProperties, wanted: ServiceProperties) = ServiceProperties(
    adapters = wanted.adapters.takeIf { it != present.adapters },
    instancesPerReplica = wanted.instancesPerReplica.takeIf { it != present.instancesPerReplica },
    placements = wanted.placements.takeIf { it != present.placements },
    accounts = wanted.accounts.takeIf { it != present.accounts },
    nonIdempotent = wanted.nonIdempotent.takeIf { it != present.nonIdempotent },
    idempotencyRetentionMs = wanted.idempotencyRetentionMs.takeIf { it != present.idempotencyRetentionMs },
    timeoutMs = wanted.timeoutMs.takeIf { it != present.timeoutMs },
)
