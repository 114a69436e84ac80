package org.bramleyspur.core.document

/**
 * Validates the document; returns null when it is valid. Regions that it names must be among [knownRegions], if any are
 * known.
 */
fun Document.validate(knownRegions: Set<String> = emptySet()): DocumentError? {
    val error = routes.firstNotNullOfOrNull { routeError(it) }
        ?: firstDuplicate(routes.map { it.host.lowercase() to it.pathPrefix })
            ?.let { "two routes share host '${it.first}' and prefix '${it.second}'; keep one of them" }
        ?: firstDuplicate(accounts.orEmpty().flatMap { it.keys })?.let { "two accounts share a key; give each its own" }
        ?: regionError(knownRegions)
    return error?.let { DocumentError(it) }
}

private fun Document.regionError(knownRegions: Set<String>): String? {
    if (knownRegions.isEmpty()) return null
    val named = routes.map { "route '${it.name}'" to it.allowedRegions } +
        accounts.orEmpty().map { "account '${it.name}'" to it.allowedRegions }
    return named.firstNotNullOfOrNull { (owner, regions) ->
        regions?.firstOrNull { it !in knownRegions }
            ?.let { "$owner names the unknown region '$it'; give one of ${knownRegions.sorted().joinToString()}" }
    }
}

private fun Document.routeError(route: DocumentRoute): String? {
    val unknown = route.targets.firstOrNull { it.service !in services }
    return when {
        unknown != null -> "route '${route.name}' names the unknown service '${unknown.service}'; declare the service"
        route.targets.any { it.weight < 0 } -> "route '${route.name}' has a negative weight; give 0 or more"
        route.targets.sumOf {
            it.weight.toLong()
        } <= 0 -> "the weights of route '${route.name}' add up to 0; give one above 0"
        route.timeoutMs <= 0 -> "route '${route.name}' has a timeout of ${route.timeoutMs} ms; give more than 0"
        !route.pathPrefix.startsWith('/') || !route.pathPrefix.endsWith('/') ->
            "the prefix of route '${route.name}' must begin and end with a slash; correct '${route.pathPrefix}'"
        else -> null
    }
}

private fun <T> firstDuplicate(items: List<T>): T? {
    val seen = HashSet<T>()
    return items.firstOrNull { !seen.add(it) }
}
