/*
 * Check of a document before it is sent. What the system refuses is told by its validation, and what an entry would do
 * by the code with which entries select routes, bound regions and predict times.
 */
package org.bramleyspur.traffic.check

import org.bramleyspur.core.check.Finding
import org.bramleyspur.core.check.Finding.NeverMatches
import org.bramleyspur.core.check.Finding.Refused
import org.bramleyspur.core.document.Document
import org.bramleyspur.core.document.DocumentAccount
import org.bramleyspur.core.document.DocumentRoute
import org.bramleyspur.core.document.errors
import org.bramleyspur.traffic.forward.RouteTable
import org.bramleyspur.traffic.homes.homesOf

/** All findings of the document by itself, the most severe kind first. */
fun Document.findings(facts: DeploymentFacts = DeploymentFacts()): List<Finding> =
    errors(facts.regions).map { Refused(it.message) }.toList() +
        neverMatching(facts).map { NeverMatches(it) } +
        contradictions(facts).map { Finding.Contradiction(it) }

private fun Document.neverMatching(facts: DeploymentFacts): List<String> = unselectedRoutes() +
    routes.flatMap { zeroWeights(it) + listOfNotNull(kindMismatch(it)) } +
    unusedServices() +
    accountsWithoutUse() +
    modelsWithoutGroup(facts)

private fun zeroWeights(route: DocumentRoute): List<String> = route.targets.filter { it.weight == 0 }.map {
    "route '${route.name}' gives service '${it.service}' the weight 0; raise it or leave the service out"
}

/** Routes that an entry does not select even for a request that has exactly their host and prefix. */
private fun Document.unselectedRoutes(): List<String> {
    val table = RouteTable(this)
    return routes.filter { route ->
        val selected = table.route(route.host, route.pathPrefix)
        // Of routes with an equal host and prefix, which validation reports, the first one is selected.
        val equal = selected?.host.equals(route.host, ignoreCase = true) && selected?.pathPrefix == route.pathPrefix
        !equal || route.host.isBlank() || UNMATCHED_IN_PATH.containsMatchIn(route.pathPrefix)
    }.map {
        "route '${it.name}' matches no request with host '${it.host}' and prefix '${it.pathPrefix}'; give a host " +
            "name without port and a prefix without query, fragment and spaces"
    }
}

/** Characters that no path of a request has, since they are encoded or end the path. */
private val UNMATCHED_IN_PATH = Regex("[?#\\s]")

private fun kindMismatch(route: DocumentRoute): String? = when {
    route.streams -> null
    route.resumable ->
        "route '${route.name}' is resumable but no stream, so nothing is resumed; make it a stream or leave this out"
    route.targetEventIntervalMs != null ->
        "route '${route.name}' has a target interval of events but is no stream; make it a stream or leave this out"
    else -> null
}

private fun Document.unusedServices(): List<String> {
    val named = routes.flatMap { route -> route.targets.map { it.service } }.toSet()
    return (services.keys - named).map { "no route names service '$it'; add a route or drop the service" }
}

private fun Document.accountsWithoutUse(): List<String> {
    val all = accounts ?: return emptyList()
    val keyed = routes.filterNot { it.isPublic }
    val withoutKey = all.filter { account -> account.keys.none { it.isNotBlank() } }
        .map { "account '${it.name}' has no key, so no request is made for it; give it a key or drop it" }
    val withoutRoute = all.filter { account -> keyed.none { admits(it, account) } }
        .map { "no route with keys admits account '${it.name}'; let one share a region with it, or drop the account" }
    val withoutAccount = keyed.filter { route -> all.none { admits(route, it) } }
        .map { "route '${it.name}' needs a key but admits no account; let one share a region, or make it public" }
    return withoutKey + withoutRoute + withoutAccount
}

private fun admits(route: DocumentRoute, account: DocumentAccount): Boolean =
    homesOf(route, account).regions?.isNotEmpty() ?: true

private fun Document.modelsWithoutGroup(facts: DeploymentFacts): List<String> = services.values.flatMap { service ->
    val servers = facts.servers[service.name] ?: return@flatMap emptyList()
    service.models.filter { it.groupSize > servers }.map {
        "model '${it.name}' of service '${service.name}' forms no group, since it needs ${it.groupSize} engines of " +
            "$servers; add engines or choose a smaller group"
    }
}
