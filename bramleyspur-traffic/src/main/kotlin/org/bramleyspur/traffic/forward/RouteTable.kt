package org.bramleyspur.traffic.forward

import org.bramleyspur.core.document.Document
import org.bramleyspur.core.document.DocumentAccount
import org.bramleyspur.core.document.DocumentRoute

/** Finds routes and accounts of one [document]; built once for each version. */
class RouteTable(val document: Document) {
    private val byHost: Map<String, List<DocumentRoute>> = document.routes
        .groupBy { it.host.lowercase() }
        .mapValues { (_, routes) -> routes.sortedByDescending { it.pathPrefix.length } }
    private val byKey: Map<String, DocumentAccount> = document.accounts.orEmpty()
        .flatMap { account -> account.keys.map { it to account } }
        .toMap()

    /** Version of the document. */
    val version: Long get() = document.version

    /** Whether requests of routes that are not public need a key. */
    val keysRequired: Boolean get() = document.accounts != null

    /** The route with the longest prefix of [path] on [host], which may carry a port; null if there is none. */
    fun route(host: String, path: String): DocumentRoute? =
        byHost[host.substringBefore(':').lowercase()]?.firstOrNull { path.startsWith(it.pathPrefix) }

    /** The account that holds [key]. */
    fun account(key: String): DocumentAccount? = byKey[key]
}

/** Chooses a service of [route] by weight; [point] is uniform in 0 until 1. */
fun targetService(route: DocumentRoute, point: Double): String {
    val total = route.targets.sumOf { it.weight }
    var left = point * total
    for (target in route.targets) {
        left -= target.weight
        if (left < 0) return target.service
    }
    return route.targets.last { it.weight > 0 }.service
}
