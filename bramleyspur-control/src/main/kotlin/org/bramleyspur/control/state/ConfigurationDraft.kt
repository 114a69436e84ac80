/*
 * Applies statements to the configuration one after the other. A draft takes effect only if every statement and the
 * validation of the resulting configuration have succeeded.
 */
package org.bramleyspur.control.state

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import com.github.michaelbull.result.toResultOr
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.toPersistentSet
import org.bramleyspur.control.evacuation.Evacuations
import org.bramleyspur.core.model.Account
import org.bramleyspur.core.model.Configuration
import org.bramleyspur.core.model.InstanceName
import org.bramleyspur.core.model.Service
import org.bramleyspur.core.model.ServiceKind
import org.bramleyspur.language.AccountProperties
import org.bramleyspur.language.AlterAccount
import org.bramleyspur.language.AlterService
import org.bramleyspur.language.Command
import org.bramleyspur.language.CreateAccount
import org.bramleyspur.language.CreateService
import org.bramleyspur.language.DrainInstance
import org.bramleyspur.language.DropAccount
import org.bramleyspur.language.DropService
import org.bramleyspur.language.ReturnDataCentre
import org.bramleyspur.language.ReturnInstance
import org.bramleyspur.language.RollBack
import org.bramleyspur.language.RollOut
import org.bramleyspur.language.ServiceProperties
import org.bramleyspur.language.EvacuateDataCentre as EvacuateInLanguage

/**
 * A configuration that is being modified, with the evacuations beside it. Errors are messages for the operator.
 *
 * @property index log index of the statements
 * @property submittedAtMs wall-clock milliseconds of the leader
 */
internal data class ConfigurationDraft(
    val configuration: Configuration,
    val previousVersions: PersistentMap<String, String>,
    val evacuations: Evacuations = Evacuations(),
    private val index: Long = 0,
    private val submittedAtMs: Long = 0,
) {
    private val services get() = configuration.services
    private val accounts get() = configuration.accounts
    private val drained get() = configuration.drainedInstances

    /** This draft after [command]. */
    fun apply(command: Command): Result<ConfigurationDraft, String> = when (command) {
        is CreateService -> create(command)
        is AlterService -> alter(command)
        is DropService -> service(command.name).map { withoutService(command.name) }
        is CreateAccount -> create(command)
        is AlterAccount -> account(command.name).map { with(it.set(command.properties)) }
        is DropAccount -> account(command.name).map { withAccounts(accounts.remove(command.name)) }
        is DrainInstance -> drain(InstanceName(command.instance))
        is ReturnInstance -> returnInstance(InstanceName(command.instance))
        is EvacuateInLanguage -> evacuate(command.dataCentre)
        is ReturnDataCentre -> returnDataCentre(command.dataCentre)
        is RollOut -> rollOut(command)
        is RollBack -> rollBack(command)
    }

    private fun create(command: CreateService): Result<ConfigurationDraft, String> {
        if (command.name in
            services
        ) {
            return Err("the service ${command.name} exists; use alter service or another name")
        }
        val kind = if (command.plain) ServiceKind.PLAIN else ServiceKind.MODEL
        return Service(command.name, kind).set(command.properties).map { with(it) }
    }

    private fun alter(command: AlterService): Result<ConfigurationDraft, String> {
        val properties = command.properties
        val fixed = if (properties.model != null) "the model" else "the version".takeIf { properties.version != null }
        return when {
            command.name !in services -> Err(unknownService(command.name))
            fixed == null -> services.getValue(command.name).set(properties).map { with(it) }
            else -> Err("$fixed of a service cannot be altered; use roll out for a version, a new service for a model")
        }
    }

    private fun create(command: CreateAccount): Result<ConfigurationDraft, String> {
        if (command.name in
            accounts
        ) {
            return Err("the account ${command.name} exists; use alter account or another name")
        }
        return Ok(with(Account(command.name, keyDigest = "").set(command.properties)))
    }

    private fun drain(instance: InstanceName): Result<ConfigurationDraft, String> = if (instance in
        drained
    ) {
        Err("the instance $instance is already drained")
    } else {
        Ok(withDrained(drained.add(instance)))
    }

    private fun returnInstance(instance: InstanceName): Result<ConfigurationDraft, String> = if (instance in
        drained
    ) {
        Ok(withDrained(drained.remove(instance)))
    } else {
        Err("the instance $instance is not drained")
    }

    private fun evacuate(dataCentre: String): Result<ConfigurationDraft, String> {
        if (dataCentre in evacuations.byDataCentre) return Err("the data centre $dataCentre is already evacuated")
        return Ok(copy(evacuations = evacuations.start(dataCentre, index, submittedAtMs)))
    }

    private fun returnDataCentre(dataCentre: String): Result<ConfigurationDraft, String> {
        if (dataCentre !in evacuations.byDataCentre) return Err("the data centre $dataCentre is not evacuated")
        return Ok(copy(evacuations = evacuations.finish(dataCentre, index)))
    }

    private fun rollOut(command: RollOut): Result<ConfigurationDraft, String> {
        val service = services[command.service] ?: return Err(unknownService(command.service))
        return when {
            service.kind == ServiceKind.PLAIN -> Err("the service ${service.name} is plain and has no version")
            command.version == service.nextVersion -> Err("the roll-out to ${command.version} is already in progress")
            command.version != service.version -> Ok(with(service.copy(nextVersion = command.version)))
            service.nextVersion != null -> Err("${command.version} still serves; use roll back ${service.name}")
            else -> Err("the service ${service.name} already serves version ${command.version}")
        }
    }

    private fun rollBack(command: RollBack): Result<ConfigurationDraft, String> {
        val service = services[command.service] ?: return Err(unknownService(command.service))
        val previous = previousVersions[service.name]
        return when {
            service.nextVersion != null -> Ok(with(service.copy(nextVersion = null)))
            previous != null && previous != service.version -> Ok(with(service.copy(nextVersion = previous)))
            else -> Err("the service ${service.name} has no earlier version; use roll out to name one")
        }
    }

    private fun service(name: String) = services[name].toResultOr { unknownService(name) }

    private fun account(name: String) =
        accounts[name].toResultOr { "the account $name does not exist; show accounts lists them" }

    private fun with(service: Service) =
        copy(configuration = configuration.copy(services = services.put(service.name, service)))

    private fun with(account: Account) = withAccounts(accounts.put(account.name, account))

    private fun withoutService(name: String) = copy(
        configuration = configuration.copy(services = services.remove(name)),
        previousVersions = previousVersions.remove(name),
    )

    private fun withAccounts(changed: PersistentMap<String, Account>) =
        copy(configuration = configuration.copy(accounts = changed))

    private fun withDrained(changed: PersistentSet<InstanceName>) =
        copy(configuration = configuration.copy(drainedInstances = changed))
}

private fun unknownService(name: String) = "the service $name does not exist; show services lists them"

private fun Service.set(properties: ServiceProperties): Result<Service, String> {
    val modelProperties = listOf(
        properties.model,
        properties.version,
        properties.adapters,
        properties.instancesPerReplica,
        properties.placements,
    )
    if (kind == ServiceKind.PLAIN && modelProperties.any { it != null }) {
        return Err("the plain service $name has no model, version, adapters, instances or replicas; leave them out")
    }
    return Ok(
        copy(
            model = properties.model ?: model,
            version = properties.version ?: version,
            adapters = properties.adapters ?: adapters,
            instancesPerReplica = properties.instancesPerReplica ?: instancesPerReplica,
            placements = properties.placements ?: placements,
            accounts = properties.accounts?.toPersistentSet() ?: accounts,
            nonIdempotent = properties.nonIdempotent ?: nonIdempotent,
            idempotencyRetentionMs = properties.idempotencyRetentionMs ?: idempotencyRetentionMs,
            timeoutMs = properties.timeoutMs ?: timeoutMs,
        ),
    )
}

private fun Account.set(properties: AccountProperties) = copy(
    keyDigest = properties.keyDigest?.lowercase() ?: keyDigest,
    maxConcurrent = properties.maxConcurrent ?: maxConcurrent,
    weight = properties.weight ?: weight,
    priority = properties.priority ?: priority,
    patienceMs = properties.patienceMs ?: patienceMs,
)
