/*
 * Differences between two documents. Routes are identified by host and prefix, which select them; services and accounts
 * by their names. Keys are secrets, so they are only counted.
 */
package org.bramleyspur.traffic.check

import org.bramleyspur.core.check.Finding
import org.bramleyspur.core.document.Document
import org.bramleyspur.core.document.DocumentAccount
import org.bramleyspur.core.document.DocumentRoute
import org.bramleyspur.core.document.DocumentService

/** A property of an entry as it is shown. */
private typealias Properties = List<Pair<String, Any?>>

/** What differs from [inForce]; a document that would change nothing because of its version is found as well. */
fun Document.differencesFrom(inForce: Document): List<Finding> {
    val differences = changes("route", inForce.routes.byMatch(), routes.byMatch()) { properties(it) } +
        changes("service", inForce.services, services) { properties(it) } +
        changes("account", inForce.accounts.byName(), accounts.byName()) { properties(it) } +
        changedKeys(inForce) +
        listOfNotNull(
            "requests ${if (accounts == null) "no longer need" else "now need"} keys"
                .takeIf { (accounts == null) != (inForce.accounts == null) },
            "the limits of clients change from ${inForce.limits} to $limits".takeIf { limits != inForce.limits },
        )
    val stale = Finding.NeverMatches(
        "the version $version is not above ${inForce.version}, so the changes would be ignored; give a higher version",
    )
    return listOfNotNull(stale.takeIf { differences.isNotEmpty() && version <= inForce.version }) +
        differences.map { Finding.Difference(it) }
}

private fun List<DocumentRoute>.byMatch() = associateBy { it.host.lowercase() + it.pathPrefix }

private fun List<DocumentAccount>?.byName() = orEmpty().associateBy { it.name }

private fun <T> changes(
    kind: String,
    before: Map<String, T>,
    after: Map<String, T>,
    properties: (T) -> Properties,
): List<String> = (after.keys - before.keys).sorted().map { "$kind '$it' is added" } +
    (before.keys - after.keys).sorted().map { "$kind '$it' is removed" } +
    after.keys.filter { it in before }.sorted().flatMap { name ->
        properties(before.getValue(name)).zip(properties(after.getValue(name)))
            .filter { (old, new) -> old != new }
            .map { (old, new) -> "$kind '$name' changes ${old.first} from ${old.second} to ${new.second}" }
    }

private fun Document.changedKeys(inForce: Document): List<String> {
    val before = inForce.accounts.byName()
    return accounts.orEmpty().mapNotNull { account ->
        val old = before[account.name]?.keys?.toSet() ?: return@mapNotNull null
        val new = account.keys.toSet()
        "account '${account.name}' changes keys: ${(new - old).size} added, ${(old - new).size} removed"
            .takeIf { old != new }
    }
}

private fun properties(route: DocumentRoute): Properties = with(route) {
    listOf(
        "name" to name,
        "kind" to kind,
        "timeout in ms" to timeoutMs,
        "target latency in ms" to targetLatencyMs,
        "priority" to priority,
        "services by weight" to targets.joinToString { "${it.service}=${it.weight}" },
        "attempts" to maxAttempts,
        "public" to isPublic,
        "resumable" to resumable,
        "target interval of events in ms" to targetEventIntervalMs,
        "regions" to allowedRegions?.sorted(),
    )
}

private fun properties(service: DocumentService): Properties = with(service) {
    listOf(
        "connections" to maxConnections,
        "cost model" to costs,
        "models" to models,
        "time cold in ms" to coldStartMs,
        "cold requests per second" to coldRequestsPerSecond,
    )
}

private fun properties(account: DocumentAccount): Properties =
    listOf("priority" to account.priority, "regions" to account.allowedRegions?.sorted())
