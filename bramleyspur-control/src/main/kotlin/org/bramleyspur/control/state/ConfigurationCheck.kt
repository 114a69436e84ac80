/*
 * Validation of a complete configuration. Services and accounts are visited in the order of their names, so that every
 * member reports the same problem first.
 */
package org.bramleyspur.control.state

import org.bramleyspur.core.model.Account
import org.bramleyspur.core.model.Configuration
import org.bramleyspur.core.model.Service
import org.bramleyspur.core.model.ServiceKind

/** Longest name of a service, account, instance, data centre, model, version or adapter, in characters. */
private const val MAX_NAME_LENGTH = 128

/** Four times the accelerators of the largest planned replica, so that a typing error cannot stall placement. */
private const val MAX_INSTANCES_PER_REPLICA = 256

/** More than the number of instances in the largest planned deployment. */
private const val MAX_REPLICAS = 1000

/** One year; limits the number of idempotency records. */
private const val MAX_DURATION_MS = 365L * 24 * 60 * 60 * 1000

/** Path segments that the entry uses for other purposes than services. */
private val reservedNames = setOf("v1", "livez", "readyz", "metrics")

private val keyDigestPattern = Regex("[0-9a-f]{64}")

/** The first problem of the configuration as a message that names the remedy; null if there is none. */
internal fun Configuration.problem(): String? =
    accounts.values.sortedBy { it.name }.firstNotNullOfOrNull { problem(it) }
        ?: keyProblem()
        ?: services.values.sortedBy { it.name }.firstNotNullOfOrNull { problem(it) }
        ?: drainedInstances.sorted().firstNotNullOfOrNull { nameProblem("instance", it.value) }

private fun problem(account: Account): String? = with(account) {
    nameProblem("account", name) ?: when {
        !name.all { it.isLetterOrDigit() || it in "._-" } ->
            "the account name $name may hold only letters, digits, '.', '_' and '-'"
        !keyDigestPattern.matches(keyDigest) ->
            "the account $name needs key sha256 with the 64 hexadecimal digits of the digest of its API key"
        weight < 1 -> "the weight of the account $name must be at least 1"
        patienceMs > Int.MAX_VALUE -> "the patience of the account $name must be at most ${Int.MAX_VALUE} ms"
        else -> null
    }
}

private fun Configuration.keyProblem(): String? = accounts.values
    .groupBy { it.keyDigest }
    .values
    .filter { it.size > 1 }
    .map { group -> group.map { it.name }.sorted() }
    .minByOrNull { it.first() }
    ?.let { "the accounts ${it.joinToString(" and ")} have the same key; give each its own" }

private fun Configuration.problem(service: Service): String? =
    serviceNameProblem(service.name) ?: modelProblem(service) ?: durationProblem(service) ?: accountProblem(service)

private fun serviceNameProblem(name: String): String? = nameProblem("service", name) ?: when {
    name in reservedNames -> "the service name $name is a path of the entry; choose another one"
    !name.all { it in 'a'..'z' || it in 'A'..'Z' || it in '0'..'9' || it in "._-" } ->
        "the service name $name is part of a path and may hold only the letters a to z, digits, '.', '_' and '-'"
    else -> null
}

private fun modelProblem(service: Service): String? = with(service) {
    if (kind == ServiceKind.PLAIN) return null
    when {
        model.isBlank() -> "the service $name needs a model, or plain"
        version.isBlank() -> "the service $name needs a version"
        instancesPerReplica !in 1..MAX_INSTANCES_PER_REPLICA ->
            "instances of the service $name must be from 1 to $MAX_INSTANCES_PER_REPLICA"
        placements.values.any { it > MAX_REPLICAS } ->
            "replicas of the service $name must be at most $MAX_REPLICAS in a data centre"
        adapters.toSet().size < adapters.size -> "the service $name names an adapter twice; name it once"
        else ->
            nameProblem("model", model)
                ?: nameProblem("version", version)
                ?: nextVersion?.let { nameProblem("version", it) }
                ?: adapters.firstNotNullOfOrNull { nameProblem("adapter", it) }
                ?: placements.keys.sorted().firstNotNullOfOrNull { nameProblem("data centre", it) }
    }
}

private fun durationProblem(service: Service): String? = with(service) {
    when {
        timeoutMs !in 1..Int.MAX_VALUE -> "the timeout of the service $name must be from 1 to ${Int.MAX_VALUE} ms"
        idempotencyRetentionMs < timeoutMs ->
            "the retention of the service $name must not be shorter than its timeout of $timeoutMs ms, " +
                "or a resend could run beside the first request"
        idempotencyRetentionMs > MAX_DURATION_MS -> "the retention of the service $name must be at most 365 d"
        else -> null
    }
}

private fun Configuration.accountProblem(service: Service): String? = service.accounts
    .sorted()
    .firstOrNull { it !in accounts }
    ?.let { "the service ${service.name} names the account $it, which does not exist; create it or alter the service" }

private fun nameProblem(kind: String, name: String): String? = when {
    name.isBlank() -> "the name of the $kind is empty"
    name.length > MAX_NAME_LENGTH -> "the name of the $kind is longer than $MAX_NAME_LENGTH characters"
    name.any { it.isISOControl() } -> "the name of the $kind holds a control character"
    else -> null
}
