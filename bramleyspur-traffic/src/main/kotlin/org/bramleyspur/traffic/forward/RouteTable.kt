package org.bramleyspur.traffic.forward

import org.bramleyspur.core.document.Document
import org.bramleyspur.core.document.DocumentAccount
import org.bramleyspur.core.document.DocumentRoute

/** Index of the routes and accounts of one version of the [document]. */
class RouteTable(val document: Document) {
    private val byHost: Map<String, List<DocumentRoute>> = document.routes
        .groupBy { it.host.lowercase() }
        .mapValues { (_, routes) -> routes.sortedByDescending { it.pathPrefix.length } }
    private val byKey: Map<String, DocumentAccount> = document.accounts.orEmpty()
        .flatMap { account -> account.keys.map { it to account } }
        .toMap()

    /** Version of the document. */
    val version: Long get() = document.version

    /** Whether requests to non-public routes need a key. */
    val keysRequired: Boolean get() = document.accounts != null

    /** Returns the route with the longest prefix of [path], or null; [host] may include a port. */
    fun route(host: String, path: String): DocumentRoute? =
        byHost[host.substringBefore(':').lowercase()]?.firstOrNull { path.startsWith(it.pathPrefix) }

    /** Returns the account to which [key] belongs. */
    fun account(key: String): DocumentAccount? = byKey[key]
}

/** Chooses a service of [route] by weight; [fraction] is uniform in 0 until 1. */
fun targetService(route: DocumentRoute, fraction: Double): String {
    val total = route.targets.sumOf { it.weight.toLong() }
    var remaining = fraction * total
    for (target in route.targets) {
        remaining -= target.weight
        if (remaining < 0) return target.service
    }
    return route.targets.last { it.weight > 0 }.service
}
