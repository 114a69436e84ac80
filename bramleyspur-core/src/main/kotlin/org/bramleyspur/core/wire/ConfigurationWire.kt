/*
 * Conversions between the configuration and the generated Protocol Buffers messages.
 */
package org.bramleyspur.core.wire

import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import org.bramleyspur.core.model.Account
import org.bramleyspur.core.model.Configuration
import org.bramleyspur.core.model.InstanceName
import org.bramleyspur.core.model.Revision
import org.bramleyspur.core.model.Service
import org.bramleyspur.core.model.ServiceKind
import org.bramleyspur.protocol.Placement
import org.bramleyspur.protocol.Account as AccountMessage
import org.bramleyspur.protocol.Configuration as ConfigurationMessage
import org.bramleyspur.protocol.Service as ServiceMessage

/** Converts to the generated message. */
fun Configuration.toMessage(): ConfigurationMessage = ConfigurationMessage
    .newBuilder()
    .setRevision(revision.value)
    .addAllServices(services.values.sortedBy { it.name }.map { it.toMessage() })
    .addAllAccounts(accounts.values.sortedBy { it.name }.map { it.toMessage() })
    .addAllDrainedInstances(drainedInstances.map { it.value }.sorted())
    .build()

/** Converts from the generated message. */
fun ConfigurationMessage.toModel(): Configuration = Configuration(
    revision = Revision(revision),
    services = servicesList.map { it.toModel() }.associateBy { it.name }.toPersistentMap(),
    accounts = accountsList.map { it.toModel() }.associateBy { it.name }.toPersistentMap(),
    drainedInstances = drainedInstancesList.map { InstanceName(it) }.toPersistentSet(),
)

/** Converts to the generated message. */
fun Service.toMessage(): ServiceMessage = ServiceMessage
    .newBuilder()
    .setName(name)
    .setKind(if (kind == ServiceKind.MODEL) ServiceMessage.Kind.MODEL else ServiceMessage.Kind.PLAIN)
    .setModel(model)
    .setVersion(version)
    .setNextVersion(nextVersion.orEmpty())
    .addAllAdapters(adapters)
    .setInstancesPerReplica(instancesPerReplica)
    .addAllPlacements(placements.entries.sortedBy { it.key }.map { it.toMessage() })
    .addAllAccounts(accounts.sorted())
    .setNonIdempotent(nonIdempotent)
    .setIdempotencyRetentionMs(idempotencyRetentionMs)
    .setTimeoutMs(timeoutMs)
    .build()

/** Converts from the generated message. */
fun ServiceMessage.toModel(): Service = Service(
    name = name,
    kind = if (kind == ServiceMessage.Kind.MODEL) ServiceKind.MODEL else ServiceKind.PLAIN,
    model = model,
    version = version,
    nextVersion = nextVersion.ifEmpty { null },
    adapters = adaptersList.toImmutableList(),
    instancesPerReplica = instancesPerReplica,
    placements = placementsList.associate { it.dataCentre to it.replicas }.toPersistentMap(),
    accounts = accountsList.toPersistentSet(),
    nonIdempotent = nonIdempotent,
    idempotencyRetentionMs = idempotencyRetentionMs,
    timeoutMs = timeoutMs,
)

/** Converts to the generated message. */
fun Account.toMessage(): AccountMessage = AccountMessage
    .newBuilder()
    .setName(name)
    .setKeyDigest(keyDigest)
    .setMaxConcurrent(maxConcurrent)
    .setWeight(weight)
    .setPriority(priority)
    .setPatienceMs(patienceMs.toInt())
    .build()

/** Converts from the generated message. */
fun AccountMessage.toModel(): Account = Account(
    name = name,
    keyDigest = keyDigest,
    maxConcurrent = maxConcurrent,
    weight = weight,
    priority = priority,
    patienceMs = patienceMs.toLong(),
)

private fun Map.Entry<String, Int>.toMessage(): Placement = Placement
    .newBuilder()
    .setDataCentre(key)
    .setReplicas(value)
    .build()
